#pragma once

#include <http1/socketaddress.h>
#include <utils/result.h>
#include <utils/timepoint.h>

#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace Soak {

/// A link that carries so many bytes a second from its target, over all connections together.
class ThrottledWire
{
public:
    static auto create(Net::Reactor &reactor, const Http1::SocketAddress &target)
        -> Utils::Result<std::unique_ptr<ThrottledWire>, std::string>;
    ~ThrottledWire();

    auto address() const -> Http1::SocketAddress;
    /// 0 means no limit.
    auto setMbitPerSecond(double rate) -> void;
    /// Bytes have waited without a break for so long.
    auto backlogTime() const -> Utils::Duration;

private:
    struct Private;
    explicit ThrottledWire(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Soak
