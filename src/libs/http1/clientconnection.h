#pragma once

#include "head.h"
#include "socketaddress.h"
#include "tcpstream.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Net {
class Reactor;
}

namespace Http1 {

/// How a call on a connection ended.
enum class CallEnd {
    Complete, ///< The complete answer was received.
    NotSent, ///< The connection ended before any byte of the request was sent.
    Lost, ///< The connection ended after that, before any byte of an answer.
    Broken, ///< The connection ended inside an answer, or the answer is malformed.
};

/// A client's connection. It carries one call at a time and never retries a call by itself.
class ClientConnection
{
public:
    struct CallEvents
    {
        /// Returns false if the answer belongs to an earlier call; it is skipped, and the next
        /// answer is read instead.
        std::function<bool(const ResponseHead &, Framing)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void(CallEnd)> onEnd; ///< Called once.
        /// Called when a new connection is established, before the request is sent; nothing is sent
        /// if it returns false.
        std::function<bool()> maySend = nullptr;
    };

    static auto connect(Net::Reactor &reactor, const SocketAddress &peer)
        -> Utils::Result<std::unique_ptr<ClientConnection>, std::string>;
    ~ClientConnection();

    auto call(std::string request, CallEvents events) -> void;
    /// Leaves the rest of the answer with the peer until reading is resumed.
    auto pauseReading() -> void;
    auto resumeReading() -> void;
    /// Abandons the call: its callbacks are no longer called, and the connection can't be reused.
    auto abandon() -> void;
    /// Closes the connection immediately, so that the peer stops working on the call.
    auto closeNow() -> void;
    /// From now on each end of this connection discards data that the peer has not acknowledged,
    /// also if the process is killed.
    auto setResetsOnClose() -> void;
    /// The connection ends if the peer doesn't acknowledge sent data for this time, also while this
    /// process is suspended.
    auto setAcknowledgementTimeout(std::chrono::milliseconds timeout) -> void;
    /// True if another call may be made on this connection.
    auto isReusable() const -> bool;
    auto isConnected() const -> bool;
    /// True if the current call is not the first on this connection.
    auto wasUsedBefore() const -> bool;
    /// True once any byte of the current call was passed to the kernel for sending.
    auto hasSent() const -> bool;
    /// Sets the callback for an idle connection that ends or receives unsolicited data.
    auto onIdleEnd(std::function<void()> callback) -> void;

private:
    struct Private;
    explicit ClientConnection(std::shared_ptr<Private> data);
    std::shared_ptr<Private> d;
};

} // namespace Http1
