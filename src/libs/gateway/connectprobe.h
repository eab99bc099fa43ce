#pragma once

#include <http1/socketaddress.h>
#include <utils/timepoint.h>

#include <functional>
#include <memory>

namespace Net {
class Reactor;
}

namespace Gateway {

/// Opens one connection, without sending anything, to learn whether a server still listens.
class ConnectProbe
{
public:
    enum class Outcome {
        Accepted,
        Refused, ///< Nothing listens at the address.
        Unknown, ///< No answer in time, or no path to the address.
    };

    /// `onEnd` is called once, never from within `start`; not after the probe is destroyed.
    static auto start(Net::Reactor &reactor, const Http1::SocketAddress &address,
                      Utils::Duration timeout, std::function<void(Outcome)> onEnd)
        -> std::unique_ptr<ConnectProbe>;
    ~ConnectProbe();

private:
    struct Private;
    explicit ConnectProbe(std::shared_ptr<Private> data);
    std::shared_ptr<Private> d;
};

} // namespace Gateway
