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

/// A TCP proxy that limits the total rate at which bytes flow from its target to its clients.
class ThrottledWire
{
public:
    static auto create(Net::Reactor &reactor, const Http1::SocketAddress &target)
        -> Utils::Result<std::unique_ptr<ThrottledWire>, std::string>;
    ~ThrottledWire();

    auto address() const -> Http1::SocketAddress;
    /// Sets the rate; 0 means no limit.
    auto setMbitPerSecond(double rate) -> void;
    /// Time for which bytes have been waiting without interruption.
    auto backlogTime() const -> Utils::Duration;

private:
    struct Private;
    explicit ThrottledWire(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Soak
