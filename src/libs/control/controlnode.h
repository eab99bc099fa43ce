#pragma once

#include <control/controlstate.h>
#include <control/peeranswer.h>
#include <utils/timepoint.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Control {

/// Who this node is.
struct NodeIdentity
{
    std::string name;
    std::string failureDomain;
    std::string incarnation;
};

/// Asks the shell to read the changes after a revision from the store.
struct ReadStore
{
    std::uint64_t requestId = 0;
    Revision after = 0;
};

/// Asks the shell to pull from a peer.
struct PullFromPeer
{
    std::uint64_t requestId = 0;
    std::string address;
    Revision after = 0;
};

using NodeAction = std::variant<ReadStore, PullFromPeer>;

/// What the store answered: a snapshot or changes, and the revision of its head.
struct StoreAnswer
{
    Revision head = 0;
    std::vector<Change> changes;
    std::optional<nlohmann::json> snapshot;
};

/// One node's copy of the control state and the proof that it is fresh. Deterministic: it never
/// reads a clock and does no input or output.
class ControlNode
{
public:
    /// `bootstrap` are addresses to ask while the register is unknown.
    ControlNode(NodeIdentity identity, std::vector<std::string> bootstrap,
                Utils::TimePoint startedAt);
    ~ControlNode();

    /// Call often; gives what to ask now.
    auto tick(Utils::TimePoint now) -> std::vector<NodeAction>;
    auto handleStoreAnswer(std::uint64_t requestId, const StoreAnswer &answer) -> void;
    auto handleStoreFailure(std::uint64_t requestId) -> void;
    auto handlePeerAnswer(std::uint64_t requestId, const PeerAnswer &answer) -> void;
    auto handlePeerFailure(std::uint64_t requestId) -> void;
    /// Takes in what this process has read from the store for a purpose of its own; proves no
    /// freshness.
    auto applyStoreRead(const StoreAnswer &answer) -> void;
    /// Takes in a change that this process has itself committed.
    auto applyCommittedChange(const Change &change) -> void;

    /// What to tell a peer that holds `after`.
    auto answerPeer(Revision after, Utils::TimePoint now) const -> PeerAnswer;

    auto state() const -> const ControlState &;
    /// True while this node may act on its state.
    auto isFresh(Utils::TimePoint now) const -> bool;
    /// Age of the latest proof of freshness; the longest duration when there is none.
    auto age(Utils::TimePoint now) const -> Utils::Duration;
    auto isCaughtUp() const -> bool;
    /// True while pulls from the store succeed for this node.
    auto isStoreReachable() const -> bool;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Control
