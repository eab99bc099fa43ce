#pragma once

#include "backendserver.h"
#include "wireformat.h"

#include <utils/timepoint.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Gateway {

struct GatewayContext;

/// How one attempt at a backend server ended.
enum class AttemptEnd {
    Complete, ///< The whole answer was received.
    NotSent, ///< No part of the request reached the server.
    Lost, ///< The request was sent and no byte of an answer was received.
    Broken, ///< The answer was cut off or is malformed.
};

/// Sends a request once to one backend server over one connection; never retries.
class BackendAttempt
{
public:
    struct Events
    {
        std::function<void(const BackendAnswer &)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void(AttemptEnd)> onEnd; ///< Called once; not after `abandon`.
        /// Called when a new connection is established, as the request may have become obsolete
        /// meanwhile; returning false cancels it.
        std::function<bool()> maySend = nullptr;
    };

    /// A reused connection was idle for `maxIdle` at most.
    static auto start(GatewayContext &context, const BackendServer &server, std::string request,
                      const std::string &attemptId, Utils::Duration maxIdle, Events events)
        -> std::unique_ptr<BackendAttempt>;
    ~BackendAttempt();

    /// Sends the request over a connection of its own, which is reset when the attempt ends or this
    /// process is killed: nothing that has not arrived by then arrives later. `deliveryTimeout` is
    /// called right before the request is written; the kernel stops sending it after that time,
    /// also if this process is suspended.
    static auto startExclusive(GatewayContext &context, const BackendServer &server,
                               std::string request,
                               std::function<std::chrono::milliseconds()> deliveryTimeout,
                               Events events) -> std::unique_ptr<BackendAttempt>;
    /// Closes the connection, so that the server stops processing the request.
    auto abandon() -> void;
    /// Leaves the rest of the answer with the server until reading is resumed.
    auto pauseReading() -> void;
    auto resumeReading() -> void;
    /// True once any byte of the request may have reached the server.
    auto mayHaveArrived() const -> bool;
    auto backendId() const -> const std::string &;
    /// When the connection was opened, which may have been for an earlier request.
    auto connectedAt() const -> Utils::TimePoint;

private:
    struct Private;
    explicit BackendAttempt(std::shared_ptr<Private> data);
    std::shared_ptr<Private> d;
};

} // namespace Gateway
