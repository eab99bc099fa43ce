#pragma once

#include <chrono>
#include <cstddef>

namespace Entry::Constants {

/// Number of decisions kept for operators to look up.
constexpr std::size_t MaxKeptDecisions = 5000;
/// Time for which a charge may wait for transfers from other entries.
constexpr std::chrono::milliseconds TransferTimeout(250);
/// Interval between attempts to send a transfer that was not acknowledged.
constexpr std::chrono::milliseconds ResendInterval(500);
/// Age of the control state from which open requests are ended.
constexpr std::chrono::milliseconds StreamFreshnessLimit(8000);
/// Interval between attempts to resume an answer, and the time after which resuming is given up.
constexpr std::chrono::milliseconds ResumeInterval(150);
constexpr std::chrono::milliseconds ResumeTimeout(4000);
/// Interval between reads of the platform's instance list.
constexpr std::chrono::milliseconds InstanceListInterval(1000);
/// Time after which an observation of an agent's queue and loaded models is outdated.
constexpr std::chrono::seconds ObservationLifetime(10);
/// Interval between sweeps over open requests.
constexpr std::chrono::milliseconds SweepInterval(200);
/// Time after which an unfinished wait for the acceptance of a contract epoch is restarted.
constexpr std::chrono::seconds EpochAcceptanceTimeout(10);
/// Margin added to the freshness limit before an epoch's gains are used.
constexpr std::chrono::milliseconds EpochMargin(100);

} // namespace Entry::Constants
