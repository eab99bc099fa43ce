#pragma once

#include <chrono>
#include <cstddef>

namespace Control::Constants {

/// Age of the control state beyond which a node stops acting on it.
constexpr std::chrono::milliseconds FreshnessLimit(3000);
/// Interval between pulls from the store or a relay.
constexpr std::chrono::milliseconds PullInterval(400);
/// Time after which a pull without an answer counts as failed.
constexpr std::chrono::milliseconds PullTimeout(700);
/// Age of the control state from which a node also reads a majority to prove freshness.
constexpr std::chrono::milliseconds MajorityReadAge(1200);
/// Changes kept for peers that are behind; peers that need older ones get a snapshot.
constexpr std::size_t MaxKeptChanges = 1024;
/// Changes requested from the store in one read.
constexpr std::size_t MaxChangesPerRead = 256;
/// A snapshot is written to the object store whenever the revision is a multiple of this.
constexpr std::size_t SnapshotInterval = 256;

} // namespace Control::Constants
