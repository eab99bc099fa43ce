#pragma once

#include <chrono>
#include <cstddef>

namespace Agent::Constants {

/// Time between two looks at the backend server's state.
constexpr std::chrono::milliseconds StatusPollInterval(1000);
constexpr std::chrono::milliseconds StatusTimeout(900);
/// An answer stays available this long after its end, for an entry that lost its connection.
constexpr std::chrono::seconds FinishedRunRetention(20);
/// A request that ended or was given up can't come back within this.
constexpr std::chrono::minutes ClosedIdRetention(2);
/// A run whose entry went away is cancelled after this unless it is resumed.
constexpr std::chrono::seconds OrphanTimeout(3);
/// Bytes of an answer that are kept for resuming.
constexpr std::size_t MaxTailBytes = 1U << 20;
/// Time between two steps of the shared duties.
constexpr std::chrono::milliseconds CoordinationInterval(250);
/// Time after which waiting for a register to be accepted is begun anew.
constexpr std::chrono::seconds RegisterAcceptanceTimeout(5);
/// Time between two readings of the platform's instance list.
constexpr std::chrono::milliseconds InstanceListInterval(1000);
/// Wait for the pacing duty's holder before falling back to the own share.
constexpr std::chrono::milliseconds LoadSlotTimeout(1500);
/// Time between two attempts at work that could not be done at once.
constexpr std::chrono::milliseconds RetryInterval(200);

} // namespace Agent::Constants
