#pragma once

#include "admissioncontroller.h"

#include <string>

namespace Admission {

/// Logs early refusals with what they are based on, so many a second at most; the others are
/// counted.
class RefusalLog
{
public:
    auto note(const std::string &attempt, const AdmissionController::EarlyRefusal &refusal,
              Utils::TimePoint now) -> void;

private:
    Utils::TimePoint m_windowStart;
    int m_logged = 0; ///< In the current second.
    int m_suppressed = 0;
};

} // namespace Admission
