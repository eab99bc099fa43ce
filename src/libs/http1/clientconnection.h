#pragma once

#include "head.h"
#include "socketaddress.h"
#include "tcpstream.h"

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
    Complete, ///< The whole answer came.
    NotSent, ///< The connection ended before any byte of the request left.
    Lost, ///< It ended after that without a byte of an answer.
    Broken, ///< It ended inside an answer, or the bytes are no answer.
};

/// A client's connection that carries one call at a time and never repeats one by itself.
class ClientConnection
{
public:
    struct CallEvents
    {
        /// False skips this answer, as one to an earlier call; the next one is read instead.
        std::function<bool(const ResponseHead &, Framing)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void(CallEnd)> onEnd; ///< Once.
        /// Asked once more if the connection had to be made first; false sends nothing.
        std::function<bool()> maySend = nullptr;
    };

    static auto connect(Net::Reactor &reactor, const SocketAddress &peer)
        -> Utils::Result<std::unique_ptr<ClientConnection>, std::string>;
    ~ClientConnection();

    auto call(std::string_view request, CallEvents events) -> void;
    /// Gives up the call; no callback comes for it any more and the connection can't be used again.
    auto abandon() -> void;
    /// Closes the connection at once, so that the peer stops working on the call.
    auto closeNow() -> void;
    /// True if another call may be made on this connection.
    auto isReusable() const -> bool;
    auto isConnected() const -> bool;
    /// True if the current call is not the first on this connection.
    auto wasUsedBefore() const -> bool;
    /// True once any byte of the current call was handed to the network.
    auto hasSent() const -> bool;
    /// Called when an idle connection ends or the peer sends what nobody asked for.
    auto onIdleEnd(std::function<void()> callback) -> void;

private:
    struct Private;
    explicit ClientConnection(std::shared_ptr<Private> data);
    std::shared_ptr<Private> d;
};

} // namespace Http1
