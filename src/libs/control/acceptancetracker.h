#pragma once

#include <control/controlstate.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Control {

/// Decides when a stored revision is accepted: every majority of every register that a node may
/// still use contains a holder of the revision, and a second round confirmed that these holders
/// have not restarted.
class AcceptanceTracker
{
public:
    /// `state` must be at `revision` or later.
    AcceptanceTracker(const ControlState &state, Revision revision);

    /// The current round, 1 or 2. Requests of round 2 are sent only after round 1 has found enough
    /// holders.
    auto round() const -> int;
    /// Handles the answer to a request that was sent in round `requestRound`.
    auto handleAnswer(int requestRound, const std::string &name, const std::string &incarnation,
                      Revision heldRevision) -> void;
    auto isAccepted() const -> bool;
    auto holderCount() const -> size_t;
    auto registeredCount() const -> size_t;

private:
    auto isQuorum(const std::set<std::string> &holders) const -> bool;

    Revision m_revision;
    std::map<std::string, std::string> m_incarnations;
    std::vector<RegisterVersion> m_registers;
    std::set<std::string> m_holders;
    std::set<std::string> m_confirmed;
};

} // namespace Control
