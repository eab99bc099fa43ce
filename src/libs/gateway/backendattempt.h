#pragma once

#include "backendserver.h"
#include "wireformat.h"

#include <utils/timepoint.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Gateway {

struct GatewayContext;

/// How one send to a backend server ended.
enum class AttemptEnd {
    Complete, ///< The whole answer came.
    NotSent, ///< Nothing reached the server.
    Lost, ///< The request left and no byte of an answer came.
    Broken, ///< The answer broke off or is unreadable.
};

/// One send of a request to one backend server over one connection. It is never repeated here.
class BackendAttempt
{
public:
    struct Events
    {
        std::function<void(const BackendAnswer &)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void(AttemptEnd)> onEnd; ///< Once; not after `abandon`.
        /// Asked again when a new connection stands, as time has passed; false sends nothing.
        std::function<bool()> maySend = nullptr;
    };

    /// `mostIdle` bounds the rest of a reused connection.
    static auto start(GatewayContext &context, const BackendServer &server,
                      const std::string &request, const std::string &attemptId,
                      Utils::Duration maxIdle, Events events) -> std::unique_ptr<BackendAttempt>;
    ~BackendAttempt();

    /// Closes the connection, so that the server stops working on the request.
    auto abandon() -> void;
    /// True once any byte of the request may have reached the server.
    auto mayHaveArrived() const -> bool;
    auto backendId() const -> const std::string &;

private:
    struct Private;
    explicit BackendAttempt(std::shared_ptr<Private> data);
    std::shared_ptr<Private> d;
};

} // namespace Gateway
