#pragma once

#include <chrono>
#include <cstddef>

namespace Placement::Constants {

/// Gaps between uses that a model's history keeps.
constexpr std::size_t MaxRecordedGaps = 16;
/// Bounds of the time that an idle model stays loaded.
constexpr std::chrono::seconds MinKeepWarm(10);
constexpr std::chrono::seconds MaxKeepWarm(600);
/// Idle time of the baseline that has one limit for all models.
constexpr std::chrono::seconds FixedKeepWarm(300);
/// A granted load slot that is not returned is taken back after this.
constexpr std::chrono::seconds SlotLease(120);

} // namespace Placement::Constants
