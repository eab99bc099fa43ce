#pragma once

#include "socketaddress.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Net {
class Reactor;
}

namespace Http1 {

/// How a connection ended.
enum class StreamEnd {
    Finished, ///< Orderly close by the peer.
    Broken, ///< Reset, timed out, or never established.
};

/// One non-blocking TCP connection on the reactor. Deleting the object closes the connection, and
/// no callback is called after that.
class TcpStream
{
public:
    struct Events
    {
        std::function<void(std::string_view)> onData;
        std::function<void(StreamEnd)> onEnd; ///< Called at most once.
        /// Called when the connection is established, before the data written until then is sent.
        /// Returning false ends the connection: this process may have been suspended, so that the
        /// data is out of date.
        std::function<bool()> maySend = nullptr;
        std::function<void()> onSent = nullptr; ///< Called after a part of the data was sent.
    };

    /// Starts to connect; data written before the connection is established is sent after that.
    static auto connect(Net::Reactor &reactor, const SocketAddress &peer)
        -> Utils::Result<std::unique_ptr<TcpStream>, std::string>;
    /// Takes over an accepted descriptor.
    static auto adopt(Net::Reactor &reactor, int fd) -> std::unique_ptr<TcpStream>;
    ~TcpStream();

    auto setEvents(Events events) -> void;
    auto write(std::string_view data) -> void;
    /// The same without a copy if nothing else is unsent.
    auto writeWhole(std::string data) -> void;
    /// While reading is paused, received data stays in the kernel, and an end of the connection is
    /// noticed only after that.
    auto pauseReading() -> void;
    auto resumeReading() -> void;
    /// Sends the remaining data, shuts down the sending side and discards received data for a
    /// limited time, so that the peer gets the last answer instead of a reset. Of the callbacks,
    /// only `onSent` is called, once the data has been sent or the connection has ended.
    auto closeGracefully(std::function<void()> onSent = nullptr) -> void;

    /// Closes immediately; no more callbacks are called.
    auto closeNow() -> void;
    /// Closes immediately with a reset, so that the peer can't take partial data for complete.
    auto reset() -> void;
    /// From now on each end of this socket discards data that has not been acknowledged, also if
    /// the process is killed.
    auto setResetsOnClose() -> void;
    /// The kernel ends the connection if sent data stays unacknowledged for this time, also while
    /// this process is suspended.
    auto setAcknowledgementTimeout(std::chrono::milliseconds timeout) -> void;

    /// Checks for an end or reset by the peer without consuming any data.
    auto peerHasClosed() const -> bool;
    /// True if data has arrived that has not been passed on yet.
    auto hasUnreadBytes() const -> bool;
    auto isConnected() const -> bool;
    /// True once any byte was passed to the kernel for sending.
    auto hasSent() const -> bool;
    auto unsentBytes() const -> size_t;

private:
    struct Private;
    explicit TcpStream(std::shared_ptr<Private> data);
    std::shared_ptr<Private> d;
};

} // namespace Http1
