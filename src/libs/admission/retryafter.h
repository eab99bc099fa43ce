#pragma once

#include <utils/timepoint.h>

#include <chrono>
#include <string_view>

namespace Admission {

/// `wait` prolonged by up to half of its length, so that callers that are refused together don't
/// return together; at most `Constants::MaxRetryAfter`. The same attempt always gets the same part.
auto retryAfter(Utils::Duration wait, std::string_view attemptId) -> std::chrono::milliseconds;

} // namespace Admission
