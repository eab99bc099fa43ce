#include "machineslowdown.h"

#include "routingconstants.h"

#include <algorithm>
#include <cmath>

namespace Routing {

using Utils::TimePoint;

auto MachineSlowdown::note(double reported, TimePoint now) -> void
{
    if (!std::isfinite(reported) || reported <= 0)
        return;
    const double bounded = std::clamp(reported, 1 / Constants::MaxSlowdown, Constants::MaxSlowdown);
    if (m_reportedAt == TimePoint()) {
        m_smoothed = bounded;
    } else {
        const auto elapsed = std::max(now - m_reportedAt, Constants::MinReportSpacing);
        const double weight = 1
            - std::exp(-std::chrono::duration<double>(elapsed) / Constants::SlowdownSmoothingTime);
        m_smoothed += weight * (bounded - m_smoothed);
    }
    m_reportedAt = now;
}

auto MachineSlowdown::value(TimePoint now) const -> double
{
    const Utils::Duration age = now - m_reportedAt;
    if (age >= Constants::SlowdownLifetime)
        return 1;
    if (age <= Constants::SlowdownFreshTime)
        return m_smoothed;
    const double remaining = std::chrono::duration<double>(Constants::SlowdownLifetime - age)
        / (Constants::SlowdownLifetime - Constants::SlowdownFreshTime);
    return 1 + remaining * (m_smoothed - 1);
}

} // namespace Routing
