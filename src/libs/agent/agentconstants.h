#pragma once

#include <chrono>
#include <cstddef>

namespace Agent::Constants {

/// Interval between polls of the backend server's status.
constexpr std::chrono::milliseconds StatusPollInterval(1000);
constexpr std::chrono::milliseconds StatusTimeout(900);
/// Time for which a finished answer stays available to an entry that lost its connection.
constexpr std::chrono::seconds FinishedRunRetention(20);
/// Time for which the id of a request that ended or was given up stays closed, so that a late copy
/// of the request is not run.
constexpr std::chrono::minutes ClosedIdRetention(2);
/// A run whose entry disconnected is cancelled after this time unless it is resumed.
constexpr std::chrono::seconds OrphanTimeout(3);
/// Maximum number of bytes of an answer that are kept for resuming.
constexpr std::size_t MaxTailBytes = 1U << 20;
/// Interval between steps of the coordinator's duties.
constexpr std::chrono::milliseconds CoordinationInterval(250);
/// Time after which an unfinished wait for the acceptance of a register is restarted.
constexpr std::chrono::seconds RegisterAcceptanceTimeout(5);
/// Interval between reads of the platform's instance list.
constexpr std::chrono::milliseconds InstanceListInterval(1000);
/// Time after which a load uses the local share if the link to the coordinator is down.
constexpr std::chrono::milliseconds LoadSlotTimeout(1500);
/// Interval between attempts at work that could not be done immediately.
constexpr std::chrono::milliseconds RetryInterval(200);

} // namespace Agent::Constants
