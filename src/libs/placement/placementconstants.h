#pragma once

#include <chrono>
#include <cstddef>

namespace Placement::Constants {

/// Number of gaps between uses that a model's history keeps.
constexpr std::size_t MaxRecordedGaps = 16;
/// Bounds of the time that an idle model stays loaded under the history policy.
constexpr std::chrono::seconds MinKeepWarm(10);
constexpr std::chrono::seconds MaxKeepWarm(600);
/// Idle limit of the baseline policy, the same for all models.
constexpr std::chrono::seconds FixedKeepWarm(300);
/// A granted load slot that is not returned expires after this time.
constexpr std::chrono::seconds SlotLease(120);

} // namespace Placement::Constants
