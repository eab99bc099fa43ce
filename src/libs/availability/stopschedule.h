#pragma once

#include <utils/timepoint.h>

#include <chrono>

namespace Availability {

/// What a gateway still does at which time after it was asked to stop.
class StopSchedule
{
public:
    /// `stopTime` is the time from the stop request until the process is killed.
    static auto create(Utils::TimePoint requestedAt, std::chrono::milliseconds stopTime)
        -> StopSchedule;

    /// False once new requests are refused.
    auto acceptsRequests(Utils::TimePoint now) const -> bool { return now < m_admissionEnd; }
    /// False once the balancer has noticed that this gateway is stopping.
    auto acceptsConnections(Utils::TimePoint now) const -> bool { return now < m_listeningEnd; }
    /// True once the requests that are still open must be ended.
    auto isOver(Utils::TimePoint now) const -> bool { return now >= m_end; }

private:
    StopSchedule() = default;

    Utils::TimePoint m_admissionEnd;
    Utils::TimePoint m_listeningEnd;
    Utils::TimePoint m_end;
};

} // namespace Availability
