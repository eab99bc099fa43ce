#include "stopschedule.h"

#include <algorithm>

namespace Availability {

using std::chrono::milliseconds;

namespace {

/// After a stop request, new connections still arrive until the balancer has checked readiness
/// twice.
constexpr milliseconds ListeningTime(3200);
/// Requests that arrive later than this are refused: the platform tolerates that a stopping process
/// cuts off only requests sent in the first three seconds.
constexpr milliseconds AdmissionTime(2900);
/// Shares of the stop time that bound these times, and the time reserved for the process's exit, if
/// the stop time is short. What is cut in its last sixth is tolerated.
constexpr int AdmissionDivisor = 2;
constexpr int ExitDivisor = 10;
constexpr milliseconds ExitTime(700);

} // namespace

auto StopSchedule::create(Utils::TimePoint requestedAt, milliseconds stopTime) -> StopSchedule
{
    const auto exitTime = std::min(ExitTime, stopTime / ExitDivisor);
    StopSchedule schedule;
    schedule.m_admissionEnd = requestedAt + std::min(AdmissionTime, stopTime / AdmissionDivisor);
    schedule.m_end = requestedAt + stopTime - exitTime;
    // Connections that are accepted last are still answered.
    schedule.m_listeningEnd = std::min(requestedAt + ListeningTime, schedule.m_end - exitTime);
    return schedule;
}

} // namespace Availability
