#pragma once

#include <control/controlstate.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Control {

/// Decides when a stored revision is accepted: no majority of any register that a node may still go
/// by can be formed without a holder, and a second round found the same holders unrestarted.
class AcceptanceTracker
{
public:
    /// `state` must be at `revision` or later.
    AcceptanceTracker(const ControlState &state, Revision revision);

    /// Rounds are numbered from 1; questions of the next round are asked only after this one's end.
    auto round() const -> int;
    /// Takes the answer to a question that was asked in round `askedInRound`.
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
