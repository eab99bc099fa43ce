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

namespace Resources {
class LoadShedder;
struct ConnectionUse;
} // namespace Resources

namespace Http1 {

class TcpStream;

/// What is known of a request when its head has been received.
struct BodyPlan
{
    Utils::Duration timeout; ///< For the rest of the request.
    bool isRouted = true; ///< False if no server will get the request.
    bool isKept = true; ///< False if nobody reads the body.
};

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
        /// Called with each head; without it a body has the time that a head has.
        std::function<BodyPlan(const RequestHead &)> planBody = nullptr;
        /// Accounts this connection and may give it up; there are no limits without it.
        std::shared_ptr<Resources::LoadShedder> shedder = nullptr;
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

    /// Accounts the part of the answer that the owner holds until it is whole.
    auto noteHeldAnswer(size_t bytes) -> void;
    /// False if no more of the answer must be read from its server until the client has taken what
    /// there is, or other answers are gone.
    auto hasRoomForAnswer() const -> bool;

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
