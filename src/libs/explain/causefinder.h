#pragma once

#include "causecatalogue.h"
#include "loadhistory.h"
#include "timeline.h"

#include <string>
#include <string_view>

namespace Explain {

/// Why a request was not served, or served late.
struct Finding
{
    std::string cause; ///< A name of `causeCatalogue`.
    std::string evidence; ///< What the logs show that supports the cause.
};

/// Seconds with three decimals, such as "1.423 s".
auto secondsText(std::chrono::milliseconds time) -> std::string;

/// Determines causes from the logs of all gateways.
class CauseFinder
{
public:
    CauseFinder(const Timeline &timeline, const LateLimits &limits);

    auto limits() const -> const LateLimits &;
    /// The cause of a refused, failed or late request.
    auto find(const RequestEnd &end) const -> Finding;

private:
    /// The event by which the server died or announced that it leaves in that time, if any.
    auto findServerTermination(std::string_view server, std::chrono::milliseconds from,
                               std::chrono::milliseconds until) const
        -> std::optional<ContextEvent>;
    auto hasJustStarted(const ContextEvent &event) const -> bool;
    auto findLateCause(const RequestEnd &end) const -> Finding;
    auto findConfigurationCause(const RequestEnd &end) const -> Finding;
    auto findLoadCause(const RequestEnd &end) const -> Finding;
    auto findMissingOrderCause(const RequestEnd &end, const LoadHistory &loads) const -> Finding;
    auto findServerFailureCause(const RequestEnd &end) const -> Finding;
    auto findNoServerCause(const RequestEnd &end) const -> Finding;

    const Timeline &m_timeline;
    LateLimits m_limits;
};

} // namespace Explain
