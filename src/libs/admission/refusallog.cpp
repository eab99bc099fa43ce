#include "refusallog.h"

#include "admissionconstants.h"

#include <utils/eventlog.h>

#include <chrono>
#include <utility>

namespace Admission {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

auto RefusalLog::note(const std::string &attempt, const AdmissionController::EarlyRefusal &refusal,
                      Utils::TimePoint now) -> void
{
    if (now - m_windowStart >= std::chrono::seconds(1)) {
        m_windowStart = now;
        m_logged = 0;
    }
    if (m_logged >= Constants::MaxLoggedRefusalsPerSecond) {
        ++m_suppressed;
        return;
    }
    ++m_logged;
    const auto inMs = [](Utils::Duration value) {
        return duration_cast<milliseconds>(value).count();
    };
    Utils::logEvent(Utils::Event::RequestRefusedEarly,
                    {{"request", attempt},
                     {"reason", AdmissionController::nameOf(refusal.ground)},
                     {"expectedMs", inMs(refusal.estimate.expected)},
                     {"spreadMs", inMs(refusal.estimate.spread)},
                     {"samples", refusal.estimate.samples},
                     {"ahead", refusal.ahead.inPool},
                     {"limitMs", inMs(refusal.limit)},
                     {"forecastAgeMs", refusal.forecastAge ? inMs(*refusal.forecastAge) : -1},
                     {"notLogged", std::exchange(m_suppressed, 0)}});
}

} // namespace Admission
