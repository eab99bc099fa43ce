#pragma once

#include "socketaddress.h"

#include <functional>
#include <memory>
#include <string_view>

namespace Net {
class Reactor;
}

namespace Http1 {

/// How a connection ended on the peer's side.
enum class StreamEnd {
    Finished, ///< The peer closed its side in order.
    Broken, ///< Reset, timed out, or never connected.
};

/// One non-blocking TCP connection on the reactor. Dropping the object closes the connection;
/// callbacks never come after that.
class TcpStream
{
public:
    struct Events
    {
        std::function<void(std::string_view)> onData;
        std::function<void(StreamEnd)> onEnd; ///< At most once.
        /// Asked when a connection stands at last, before what was written meanwhile is sent. False
        /// ends it: this process may have stood still, and what it was to send be out of date.
        std::function<bool()> maySend = nullptr;
    };

    /// Starts to connect; what is written meanwhile is sent once the connection stands.
    static auto connect(Net::Reactor &reactor, const SocketAddress &peer)
        -> Utils::Result<std::unique_ptr<TcpStream>, std::string>;
    /// Takes over an accepted descriptor.
    static auto adopt(Net::Reactor &reactor, int fd) -> std::unique_ptr<TcpStream>;
    ~TcpStream();

    auto setEvents(Events events) -> void;
    auto write(std::string_view data) -> void;
    /// Sends what is left, ends the own side and drops what still comes, for a while; the peer then
    /// gets the last answer instead of a reset. No callback comes any more.
    auto closeGracefully() -> void;

    /// Closes at once; no callback comes any more.
    auto closeNow() -> void;
    /// The same with a reset, so that what was sent can't look complete.
    auto reset() -> void;

    /// Looks whether the peer's end or a reset has arrived, without reading anything.
    auto peerHasClosed() const -> bool;
    auto isConnected() const -> bool;
    /// True once any byte was handed to the network.
    auto hasSent() const -> bool;
    auto unsentBytes() const -> size_t;

private:
    struct Private;
    explicit TcpStream(std::shared_ptr<Private> data);
    std::shared_ptr<Private> d;
};

} // namespace Http1
