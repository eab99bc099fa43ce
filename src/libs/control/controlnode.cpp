#include "controlnode.h"

#include "controlconstants.h"

#include <algorithm>
#include <map>
#include <set>

namespace Control {

using Utils::TimePoint;

namespace {

enum class QuestionKind { Store, Relay, Majority };

struct Question
{
    QuestionKind kind = QuestionKind::Store;
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
    TimePoint nextMajority;
    std::uint64_t nextQuestion = 1;
    std::map<std::uint64_t, Question> open;
    std::set<std::string> failedRelays;
    bool storeReachable = false;

    // The majority read under way.
    TimePoint roundStartedAt;
    Registry roundRegistry;
    std::set<std::string> roundAnswered;

    auto ask(QuestionKind kind, const std::string &address, TimePoint now) -> NodeAction;
    auto dropLate(TimePoint now) -> std::vector<Question>;
    auto pull(TimePoint now) -> NodeAction;
    auto relayAddress() const -> std::string;
    auto startMajority(TimePoint now) -> std::vector<NodeAction>;
    auto finishMajority() -> void;
    auto takeState(const PeerAnswer &answer) -> bool;
    auto proveFresh(TimePoint asOf) -> void;
    auto take(std::uint64_t question) -> std::optional<Question>;
    auto failed(const Question &question) -> void;
    auto caughtUp() const -> bool;
    auto age(TimePoint now) const -> Utils::Duration;
};

auto ControlNode::Private::ask(QuestionKind kind, const std::string &address, TimePoint now)
    -> NodeAction
{
    const std::uint64_t question = nextQuestion++;
    open[question] = {kind, now, address};
    if (kind == QuestionKind::Store)
        return ReadStore{question, state.revision()};
    return AskPeer{question, address, state.revision()};
}

auto ControlNode::Private::take(std::uint64_t question) -> std::optional<Question>
{
    const auto node = open.extract(question);
    return node ? std::optional<Question>(node.mapped()) : std::nullopt;
}

auto ControlNode::Private::failed(const Question &question) -> void
{
    if (question.kind == QuestionKind::Store)
        storeReachable = false;
    if (question.kind == QuestionKind::Relay)
        failedRelays.insert(question.address);
}

auto ControlNode::Private::dropLate(TimePoint now) -> std::vector<Question>
{
    std::vector<Question> late;
    for (auto at = open.begin(); at != open.end();) {
        if (now - at->second.sentAt < Constants::PullTimeout) {
            ++at;
            continue;
        }
        late.push_back(at->second);
        at = open.erase(at);
    }
    return late;
}

/// The first instance of the own failure domain that has not failed lately; empty when it is this
/// node.
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
    return useStore ? ask(QuestionKind::Store, {}, now) : ask(QuestionKind::Relay, relay, now);
}

auto ControlNode::Private::startMajority(TimePoint now) -> std::vector<NodeAction>
{
    roundStartedAt = now;
    roundRegistry = state.registry();
    roundAnswered.clear();
    const auto self = roundRegistry.find(identity.name);
    if (self != roundRegistry.end() && self->second.incarnation == identity.incarnation
        && caughtUp())
        roundAnswered.insert(identity.name);
    std::vector<NodeAction> actions;
    for (const auto &[name, instance] : roundRegistry) {
        if (name != identity.name)
            actions.push_back(ask(QuestionKind::Majority, instance.address, now));
    }
    if (roundRegistry.empty()) {
        for (const auto &address : bootstrap)
            actions.push_back(ask(QuestionKind::Majority, address, now));
    }
    finishMajority();
    return actions;
}

auto ControlNode::Private::finishMajority() -> void
{
    if (roundRegistry.empty() || roundAnswered.size() < majorityOf(roundRegistry.size()))
        return;
    // A newer register learned on the way needs a majority of its own, with questions asked anew.
    if (roundRegistry != state.registry())
        return;
    proveFresh(roundStartedAt);
}

auto ControlNode::Private::takeState(const PeerAnswer &answer) -> bool
{
    if (answer.snapshot)
        state.restore(*answer.snapshot);
    for (const auto &change : answer.changes)
        state.apply(change);
    return state.revision() >= answer.revision;
}

auto ControlNode::Private::proveFresh(TimePoint asOf) -> void
{
    if (!freshAsOf || *freshAsOf < asOf)
        freshAsOf = asOf;
}

auto ControlNode::Private::caughtUp() const -> bool
{
    // A proof from before this process began may miss what its earlier incarnation had
    // acknowledged.
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
    d->nextMajority = startedAt + Constants::MajorityAfter;
}

ControlNode::~ControlNode() = default;

auto ControlNode::tick(TimePoint now) -> std::vector<NodeAction>
{
    for (const auto &question : d->dropLate(now))
        d->failed(question);
    std::vector<NodeAction> actions;
    if (now >= d->nextPull) {
        d->nextPull = now + Constants::PullPeriod;
        actions.push_back(d->pull(now));
    }
    if (d->age(now) >= Constants::MajorityAfter && now >= d->nextMajority) {
        d->nextMajority = now + Constants::PullTimeout;
        const auto questions = d->startMajority(now);
        actions.insert(actions.end(), questions.begin(), questions.end());
    }
    return actions;
}

auto ControlNode::takeStoreAnswer(std::uint64_t question, const StoreAnswer &answer) -> void
{
    const auto asked = d->take(question);
    if (!asked)
        return;
    d->storeReachable = true;
    takeOwnRead(answer);
    if (d->state.revision() >= answer.head)
        d->proveFresh(asked->sentAt);
    else
        d->nextPull = asked->sentAt;
}

auto ControlNode::takeStoreFailure(std::uint64_t question) -> void
{
    if (const auto asked = d->take(question))
        d->failed(*asked);
}

auto ControlNode::takePeerAnswer(std::uint64_t question, const PeerAnswer &answer) -> void
{
    const auto asked = d->take(question);
    if (!asked)
        return;
    const bool holdsAll = d->takeState(answer);
    if (asked->kind == QuestionKind::Relay) {
        if (holdsAll && answer.isCaughtUp && answer.age && *answer.age < Constants::MajorityAfter)
            d->proveFresh(asked->sentAt - *answer.age);
        else
            d->failed(*asked);
        return;
    }
    const auto registered = d->roundRegistry.find(answer.name);
    const bool counts = registered != d->roundRegistry.end()
        && registered->second.incarnation == answer.incarnation && answer.isCaughtUp && holdsAll
        && asked->sentAt >= d->roundStartedAt;
    if (!counts)
        return;
    d->roundAnswered.insert(answer.name);
    d->finishMajority();
}

auto ControlNode::takePeerFailure(std::uint64_t question) -> void
{
    if (const auto asked = d->take(question))
        d->failed(*asked);
}

auto ControlNode::takeOwnRead(const StoreAnswer &answer) -> void
{
    if (answer.snapshot)
        d->state.restore(*answer.snapshot);
    for (const auto &change : answer.changes)
        d->state.apply(change);
}

auto ControlNode::takeOwnChange(const Change &change) -> void
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
        // Rounded up: an age must never look younger than it is.
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
