#pragma once

#include <chrono>
#include <cstddef>

namespace Control::Constants {

/// Age of the control state beyond which a node stops acting on it.
constexpr std::chrono::milliseconds FreshnessLimit(3000);
/// Time between two pulls.
constexpr std::chrono::milliseconds PullInterval(400);
/// Time after which an unanswered pull counts as failed.
constexpr std::chrono::milliseconds PullTimeout(700);
/// Age from which a node also tries to prove freshness by a majority.
constexpr std::chrono::milliseconds MajorityReadAge(1200);
/// Changes kept for peers that are behind; older ones are served as a snapshot.
constexpr std::size_t MaxKeptChanges = 1024;
/// Changes asked from the store in one read.
constexpr std::size_t MaxChangesPerRead = 256;
/// A snapshot is written to the object store whenever the revision is a multiple of this.
constexpr std::size_t SnapshotInterval = 256;

} // namespace Control::Constants
