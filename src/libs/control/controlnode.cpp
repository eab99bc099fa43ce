#include "controlnode.h"

#include "controlconstants.h"

#include <algorithm>
#include <map>
#include <set>

namespace Control {

using Utils::TimePoint;

namespace {

enum class RequestKind { Store, Relay, Majority };

struct PendingRequest
{
    RequestKind kind = RequestKind::Store;
    TimePoint sentAt;
    std::string address;
};

} // namespace

struct ControlNode::Private
{
    NodeIdentity identity;
    std::vector<std::string> bootstrap;
    TimePoint startedAt;
    ControlState state;
    std::optional<TimePoint> freshAsOf;
    TimePoint nextPull;
    TimePoint nextMajorityRead;
    std::uint64_t nextRequestId = 1;
    std::map<std::uint64_t, PendingRequest> pendingRequests;
    std::set<std::string> failedRelays;
    bool storeReachable = false;

    // The current majority read.
    TimePoint roundStartedAt;
    Registry roundRegistry;
    std::set<std::string> roundResponders;

    auto makeRequest(RequestKind kind, const std::string &address, TimePoint now) -> NodeAction;
    auto removeTimedOut(TimePoint now) -> std::vector<PendingRequest>;
    auto pull(TimePoint now) -> NodeAction;
    auto relayAddress() const -> std::string;
    auto startMajorityRead(TimePoint now) -> std::vector<NodeAction>;
    auto finishMajorityRead() -> void;
    auto applyPeerState(const PeerAnswer &answer) -> bool;
    auto recordFreshness(TimePoint asOf) -> void;
    auto removePending(std::uint64_t requestId) -> std::optional<PendingRequest>;
    auto handleFailure(const PendingRequest &request) -> void;
    auto caughtUp() const -> bool;
    auto age(TimePoint now) const -> Utils::Duration;
};

auto ControlNode::Private::makeRequest(RequestKind kind, const std::string &address, TimePoint now)
    -> NodeAction
{
    const std::uint64_t requestId = nextRequestId++;
    pendingRequests[requestId] = {kind, now, address};
    if (kind == RequestKind::Store)
        return ReadStore{requestId, state.revision()};
    return PullFromPeer{requestId, address, state.revision()};
}

auto ControlNode::Private::removePending(std::uint64_t requestId) -> std::optional<PendingRequest>
{
    const auto node = pendingRequests.extract(requestId);
    return node ? std::optional<PendingRequest>(node.mapped()) : std::nullopt;
}

auto ControlNode::Private::handleFailure(const PendingRequest &request) -> void
{
    if (request.kind == RequestKind::Store)
        storeReachable = false;
    if (request.kind == RequestKind::Relay)
        failedRelays.insert(request.address);
}

auto ControlNode::Private::removeTimedOut(TimePoint now) -> std::vector<PendingRequest>
{
    std::vector<PendingRequest> timedOut;
    for (auto at = pendingRequests.begin(); at != pendingRequests.end();) {
        if (now - at->second.sentAt < Constants::PullTimeout) {
            ++at;
            continue;
        }
        timedOut.push_back(at->second);
        at = pendingRequests.erase(at);
    }
    return timedOut;
}

/// Address of the relay to pull from instead of the store: the first instance in this node's
/// failure domain that is not marked as failed. Empty if that is this node or there is none.
auto ControlNode::Private::relayAddress() const -> std::string
{
    for (const auto &[name, instance] : state.registry()) {
        if (instance.failureDomain != identity.failureDomain
            || failedRelays.count(instance.address) > 0)
            continue;
        return name == identity.name ? std::string() : instance.address;
    }
    return {};
}

auto ControlNode::Private::pull(TimePoint now) -> NodeAction
{
    const std::string relay = relayAddress();
    const bool useStore = relay.empty() || !caughtUp();
    if (useStore)
        failedRelays.clear();
    return useStore ? makeRequest(RequestKind::Store, {}, now)
                    : makeRequest(RequestKind::Relay, relay, now);
}

auto ControlNode::Private::startMajorityRead(TimePoint now) -> std::vector<NodeAction>
{
    roundStartedAt = now;
    roundRegistry = state.registry();
    roundResponders.clear();
    const auto self = roundRegistry.find(identity.name);
    if (self != roundRegistry.end() && self->second.incarnation == identity.incarnation
        && caughtUp())
        roundResponders.insert(identity.name);
    std::vector<NodeAction> actions;
    for (const auto &[name, instance] : roundRegistry) {
        if (name != identity.name)
            actions.push_back(makeRequest(RequestKind::Majority, instance.address, now));
    }
    if (roundRegistry.empty()) {
        for (const auto &address : bootstrap)
            actions.push_back(makeRequest(RequestKind::Majority, address, now));
    }
    finishMajorityRead();
    return actions;
}

auto ControlNode::Private::finishMajorityRead() -> void
{
    if (roundRegistry.empty() || roundResponders.size() < majorityOf(roundRegistry.size()))
        return;
    // If an answer brought a newer register, a new read must reach a majority of that register.
    if (roundRegistry != state.registry())
        return;
    recordFreshness(roundStartedAt);
}

auto ControlNode::Private::applyPeerState(const PeerAnswer &answer) -> bool
{
    if (answer.snapshot)
        state.restore(*answer.snapshot);
    for (const auto &change : answer.changes)
        state.apply(change);
    return state.revision() >= answer.revision;
}

auto ControlNode::Private::recordFreshness(TimePoint asOf) -> void
{
    if (!freshAsOf || *freshAsOf < asOf)
        freshAsOf = asOf;
}

auto ControlNode::Private::caughtUp() const -> bool
{
    // A proof from before this process started may not cover revisions that its earlier
    // incarnation acknowledged.
    return freshAsOf && *freshAsOf >= startedAt;
}

auto ControlNode::Private::age(TimePoint now) const -> Utils::Duration
{
    return freshAsOf ? now - *freshAsOf : Utils::Duration::max();
}

ControlNode::ControlNode(NodeIdentity identity, std::vector<std::string> bootstrap,
                         TimePoint startedAt)
    : d(std::make_unique<Private>())
{
    d->identity = std::move(identity);
    d->bootstrap = std::move(bootstrap);
    d->startedAt = startedAt;
    d->nextPull = startedAt;
    d->nextMajorityRead = startedAt + Constants::MajorityReadAge;
}

ControlNode::~ControlNode() = default;

auto ControlNode::tick(TimePoint now) -> std::vector<NodeAction>
{
    for (const auto &request : d->removeTimedOut(now))
        d->handleFailure(request);
    std::vector<NodeAction> actions;
    if (now >= d->nextPull) {
        d->nextPull = now + Constants::PullInterval;
        actions.push_back(d->pull(now));
    }
    if (d->age(now) >= Constants::MajorityReadAge && now >= d->nextMajorityRead) {
        d->nextMajorityRead = now + Constants::PullTimeout;
        const auto requests = d->startMajorityRead(now);
        actions.insert(actions.end(), requests.begin(), requests.end());
    }
    return actions;
}

auto ControlNode::handleStoreAnswer(std::uint64_t requestId, const StoreAnswer &answer) -> void
{
    const auto request = d->removePending(requestId);
    if (!request)
        return;
    d->storeReachable = true;
    applyStoreRead(answer);
    if (d->state.revision() >= answer.head)
        d->recordFreshness(request->sentAt);
    else
        d->nextPull = request->sentAt;
}

auto ControlNode::handleStoreFailure(std::uint64_t requestId) -> void
{
    if (const auto request = d->removePending(requestId))
        d->handleFailure(*request);
}

auto ControlNode::handlePeerAnswer(std::uint64_t requestId, const PeerAnswer &answer) -> void
{
    const auto request = d->removePending(requestId);
    if (!request)
        return;
    const bool isUpToDate = d->applyPeerState(answer);
    if (request->kind == RequestKind::Relay) {
        if (isUpToDate && answer.isCaughtUp && answer.age
            && *answer.age < Constants::MajorityReadAge)
            d->recordFreshness(request->sentAt - *answer.age);
        else
            d->handleFailure(*request);
        return;
    }
    const auto registered = d->roundRegistry.find(answer.name);
    const bool isValidVote = registered != d->roundRegistry.end()
        && registered->second.incarnation == answer.incarnation && answer.isCaughtUp && isUpToDate
        && request->sentAt >= d->roundStartedAt;
    if (!isValidVote)
        return;
    d->roundResponders.insert(answer.name);
    d->finishMajorityRead();
}

auto ControlNode::handlePeerFailure(std::uint64_t requestId) -> void
{
    if (const auto request = d->removePending(requestId))
        d->handleFailure(*request);
}

auto ControlNode::applyStoreRead(const StoreAnswer &answer) -> void
{
    if (answer.snapshot)
        d->state.restore(*answer.snapshot);
    for (const auto &change : answer.changes)
        d->state.apply(change);
}

auto ControlNode::applyCommittedChange(const Change &change) -> void
{
    d->state.apply(change);
}

auto ControlNode::answerPeer(Revision after, TimePoint now) const -> PeerAnswer
{
    PeerAnswer answer;
    answer.name = d->identity.name;
    answer.incarnation = d->identity.incarnation;
    answer.isCaughtUp = d->caughtUp();
    answer.revision = d->state.revision();
    if (d->freshAsOf) {
        // Rounded up, so that the reported age is never less than the actual age.
        answer.age = std::chrono::ceil<std::chrono::milliseconds>(d->age(now));
    }
    const auto changes = d->state.changesAfter(after);
    if (changes)
        answer.changes = *changes;
    else
        answer.snapshot = d->state.toSnapshot();
    return answer;
}

auto ControlNode::state() const -> const ControlState &
{
    return d->state;
}

auto ControlNode::isFresh(TimePoint now) const -> bool
{
    return d->freshAsOf && d->age(now) <= Constants::FreshnessLimit;
}

auto ControlNode::age(TimePoint now) const -> Utils::Duration
{
    return d->age(now);
}

auto ControlNode::isCaughtUp() const -> bool
{
    return d->caughtUp();
}

auto ControlNode::isStoreReachable() const -> bool
{
    return d->storeReachable;
}

} // namespace Control
