#include "retryafter.h"

#include "admissionconstants.h"

#include <utils/rendezvous.h>

#include <algorithm>
#include <cstdint>

namespace Admission {

auto retryAfter(Utils::Duration wait, std::string_view attemptId) -> std::chrono::milliseconds
{
    constexpr std::uint64_t steps = 1 << 16;
    const double part = static_cast<double>(Utils::stableHash(attemptId) % steps) / steps;
    const auto prolonged = Utils::fromSeconds(Utils::toSeconds(wait) * (1 + part / 2));
    return std::min(std::chrono::ceil<std::chrono::milliseconds>(prolonged),
                    Constants::MaxRetryAfter);
}

} // namespace Admission
