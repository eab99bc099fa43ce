#pragma once

#include <chrono>
#include <cstddef>

namespace Entry::Constants {

/// Decisions kept for operators who ask why.
constexpr std::size_t MaxKeptDecisions = 5000;
/// Time that a charge may wait for parts of the contract held by other entries.
constexpr std::chrono::milliseconds TransferTimeout(250);
/// Time between two attempts to hand over a part that was not acknowledged.
constexpr std::chrono::milliseconds ResendInterval(500);
/// A running answer is ended when the control state is older than this.
constexpr std::chrono::milliseconds StreamFreshnessLimit(8000);
/// Wait before asking again for the rest of an answer, and the time after which that is given up.
constexpr std::chrono::milliseconds ResumeInterval(150);
constexpr std::chrono::milliseconds ResumeTimeout(4000);
/// Time between two readings of the platform's instance list.
constexpr std::chrono::milliseconds InstanceListInterval(1000);
/// What an entry remembers of an agent's queue and loaded models is stale after this.
constexpr std::chrono::seconds ObservationLifetime(10);
/// Time between two sweeps over open requests.
constexpr std::chrono::milliseconds SweepInterval(200);
/// Time after which waiting for a new contract epoch to be accepted is begun anew.
constexpr std::chrono::seconds EpochAcceptanceTimeout(10);
/// Margin on top of the freshness limit before an epoch's gains are used.
constexpr std::chrono::milliseconds EpochMargin(100);

} // namespace Entry::Constants
