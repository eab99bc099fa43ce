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

/// What a client may send, and how long it may take.
struct ServerLimits
{
    MessageLimits message;
    Utils::Duration headTimeout = std::chrono::seconds(10);
    Utils::Duration idleTimeout = std::chrono::seconds(60);
    bool sizesAreConfirmed =
        true; ///< False if a request over the sizes may be taken a little later.
};

/// A client's connection that answers one request after the other.
class ServerConnection
{
public:
    struct Events
    {
        std::function<ServerLimits()> limits; ///< Asked at the start of each request.
        std::function<void(const RequestHead &, std::string &&body)> onRequest;
        /// The client closed or reset while its request was open.
        std::function<void()> onClientDisconnected;
        /// The connection is over; the owner drops it.
        std::function<void()> onClosed;
    };

    ServerConnection(Net::Reactor &reactor, std::unique_ptr<TcpStream> stream, Events events);
    ~ServerConnection();

    /// A whole answer at once.
    auto respond(int status, const Fields &fields, std::string_view body) -> void;
    /// An answer of unknown length: `begin`, any number of `write`, then `finish` or `abort`.
    auto begin(int status, const Fields &fields) -> void;
    auto write(std::string_view data) -> void;
    auto finish() -> void;
    /// Ends the connection so that an answer that has begun can't look complete.
    auto abort() -> void;

    /// True if the client's end has arrived, though it may not have been read yet.
    auto clientHasDisconnected() const -> bool;
    /// The next answer ends the connection; an idle connection ends at once.
    auto closeAfterAnswer() -> void;
    /// The next answer ends the connection; it may still take its first request.
    auto closeAfterNextAnswer() -> void;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Http1
