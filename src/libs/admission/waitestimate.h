#pragma once

#include <utils/timepoint.h>

namespace Admission {

/// Expected time until a request gets a slot.
struct WaitEstimate
{
    Utils::Duration expected{0};
    Utils::Duration spread{0}; ///< Standard deviation of the expected time.
    int samples = 0; ///< Number of observations; 0 if it comes from the configuration.

    /// A request that is refused wrongly would have been served, so the estimate must be beyond the
    /// limit by more than its spread.
    auto isClearlyBeyond(Utils::Duration limit) const -> bool { return lowerBound() > limit; }
    auto lowerBound() const -> Utils::Duration { return expected - spread * 3 / 2; }
};

} // namespace Admission
