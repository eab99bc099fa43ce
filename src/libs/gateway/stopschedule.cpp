#include "stopschedule.h"

namespace Gateway {

using std::chrono::milliseconds;

namespace {

/// After a stop request, new connections still arrive until the balancer has checked readiness
/// twice.
constexpr milliseconds ListeningTime(3200);
/// Requests that arrive later than this are refused: the platform tolerates that a stopping process
/// cuts off only requests sent in the first three seconds.
constexpr milliseconds AdmissionTime(2900);
/// Reserved from the stop time for the process's exit.
constexpr milliseconds ExitTime(700);

} // namespace

auto StopSchedule::create(Utils::TimePoint requestedAt, milliseconds stopTime) -> StopSchedule
{
    StopSchedule schedule;
    schedule.m_admissionEnd = requestedAt + AdmissionTime;
    schedule.m_listeningEnd = requestedAt + ListeningTime;
    schedule.m_end = requestedAt + stopTime - ExitTime;
    return schedule;
}

} // namespace Gateway
