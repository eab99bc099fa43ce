#pragma once

#include <control/controlstate.h>
#include <control/peeranswer.h>
#include <utils/timepoint.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Control {

/// Identity of this node.
struct NodeIdentity
{
    std::string name;
    std::string failureDomain;
    std::string incarnation;
};

/// Tells the caller to read the changes after a revision from the store.
struct ReadStore
{
    std::uint64_t requestId = 0;
    Revision after = 0;
};

/// Tells the caller to pull the changes after a revision from a peer.
struct PullFromPeer
{
    std::uint64_t requestId = 0;
    std::string address;
    Revision after = 0;
};

using NodeAction = std::variant<ReadStore, PullFromPeer>;

/// The store's answer: a snapshot or changes, and the head revision.
struct StoreAnswer
{
    Revision head = 0;
    std::vector<Change> changes;
    std::optional<nlohmann::json> snapshot;
};

/// One node's copy of the control state and the proof that the copy is fresh. Deterministic: reads
/// no clock and does no I/O.
class ControlNode
{
public:
    /// `bootstrap` lists the peer addresses to use while the register is unknown.
    ControlNode(NodeIdentity identity, std::vector<std::string> bootstrap,
                Utils::TimePoint startedAt);
    ~ControlNode();

    /// Returns the requests to send now. Must be called periodically.
    auto tick(Utils::TimePoint now) -> std::vector<NodeAction>;
    auto handleStoreAnswer(std::uint64_t requestId, const StoreAnswer &answer) -> void;
    auto handleStoreFailure(std::uint64_t requestId) -> void;
    auto handlePeerAnswer(std::uint64_t requestId, const PeerAnswer &answer) -> void;
    auto handlePeerFailure(std::uint64_t requestId) -> void;
    /// Applies changes that this process read from the store for another purpose. Does not prove
    /// freshness.
    auto applyStoreRead(const StoreAnswer &answer) -> void;
    /// Applies a change that this process committed.
    auto applyCommittedChange(const Change &change) -> void;

    /// Builds the answer to a peer that holds revision `after`.
    auto answerPeer(Revision after, Utils::TimePoint now) const -> PeerAnswer;

    auto state() const -> const ControlState &;
    /// True while the state is recent enough to act on.
    auto isFresh(Utils::TimePoint now) const -> bool;
    /// Age of the latest proof of freshness; the maximum duration if there is none.
    auto age(Utils::TimePoint now) const -> Utils::Duration;
    auto isCaughtUp() const -> bool;
    /// True if this node's latest read from the store succeeded.
    auto isStoreReachable() const -> bool;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Control
