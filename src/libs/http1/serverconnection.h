#pragma once

#include "head.h"
#include "messagereader.h"

#include <utils/timepoint.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Net {
class Reactor;
}

namespace Http1 {

class TcpStream;

/// Limits on the size of a client's requests and on the time that they may take.
struct ServerLimits
{
    MessageLimits message;
    Utils::Duration headTimeout = std::chrono::seconds(10);
    Utils::Duration idleTimeout = std::chrono::seconds(60);
    bool sizesAreConfirmed = true; ///< False if the sizes may change soon; larger requests then get
                                   ///< 503 instead of 413 or 431.
};

/// The server's end of a connection. It answers one request at a time, in order.
class ServerConnection
{
public:
    struct Events
    {
        std::function<ServerLimits()> limits; ///< Called at least at the start of each request.
        std::function<void(const RequestHead &, std::string &&body)> onRequest;
        /// The client closed or reset the connection before its request was answered.
        std::function<void()> onClientDisconnected;
        /// The connection has ended and is to be deleted by its owner.
        std::function<void()> onClosed;
    };

    ServerConnection(Net::Reactor &reactor, std::unique_ptr<TcpStream> stream, Events events);
    ~ServerConnection();

    /// Sends a complete answer.
    auto respond(int status, const Fields &fields, std::string_view body) -> void;
    /// Sends an answer of unknown length: `begin`, any number of `write`, then `finish` or `abort`.
    auto begin(int status, const Fields &fields) -> void;
    auto write(std::string_view data) -> void;
    auto finish() -> void;
    /// Ends the connection in such a way that the client can't take a partial answer for complete.
    auto abort() -> void;

    /// True if the client has closed the connection, even if this has not been read yet.
    auto clientHasDisconnected() const -> bool;
    /// True if a part of a request has been received.
    auto isReceivingRequest() const -> bool;
    /// True if the connection ends once the rest of the last answer has been sent.
    auto isSendingLastAnswer() const -> bool;
    /// Closes the connection after the next answer, or immediately if it is idle.
    auto closeAfterAnswer() -> void;
    /// Closes the connection after the next answer, also if no request has been received yet.
    auto closeAfterNextAnswer() -> void;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Http1
