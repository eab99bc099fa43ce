// Runs control nodes in simulated time with store outages, cut links, and paused and restarted
// processes. No node may act on a state older than a revision that was accepted more than a
// freshness limit ago.

#include <control/acceptancetracker.h>
#include <control/controlconstants.h>
#include <control/controlnode.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <random>

using namespace Control;
using Utils::TimePoint;

namespace {

using Milliseconds = std::chrono::milliseconds;
constexpr Milliseconds step(50);

/// The store as the nodes see it.
struct Store
{
    ControlState state;
    bool isUp = true;
};

/// One process and its control node.
struct Process
{
    NodeIdentity identity;
    std::unique_ptr<ControlNode> node;
    bool isPaused = false;
    bool isRegistered = false;
};

/// Faults to inject.
struct Faults
{
    double cutPairRatio = 0; ///< Fraction of the node pairs whose link is cut.
    double lossProbability = 0;
    int restartsPerHundredSteps = 0;
    int pausesPerHundredSteps = 0;
    int outagesPerHundredSteps = 0;
    bool operatorWrites = true;
};

class Fleet
{
public:
    Fleet(unsigned seed, int size, const Faults &faults)
        : m_random(seed)
        , m_faults(faults)
    {
        for (int i = 0; i < size; ++i) {
            m_processes.push_back({});
            start(i);
        }
        m_cut.assign(static_cast<size_t>(size * size), false);
    }

    auto run(int steps) -> void
    {
        for (int i = 0; i < steps; ++i) {
            m_now += step;
            injectFaults();
            for (size_t p = 0; p < m_processes.size(); ++p)
                tick(static_cast<int>(p));
            runOperator();
            check();
        }
    }

    auto store() -> Store & { return m_store; }
    auto process(int index) -> Process & { return m_processes[static_cast<size_t>(index)]; }
    auto now() const -> TimePoint { return m_now; }
    auto violations() const -> int { return m_violations; }
    auto acceptedCount() const -> int { return m_acceptedCount; }
    auto actingCount() const -> int
    {
        int count = 0;
        for (const auto &process : m_processes)
            count += !process.isPaused && process.node->isFresh(m_now) ? 1 : 0;
        return count;
    }
    auto cut(int left, int right) -> void
    {
        m_cut[pair(left, right)] = true;
        m_cut[pair(right, left)] = true;
    }
    auto start(int index) -> void
    {
        auto &process = m_processes[static_cast<size_t>(index)];
        const std::string name = "node-" + std::to_string(index);
        process.identity = {name, "domain-" + std::to_string(index % 2),
                            name + "-" + std::to_string(++m_incarnation)};
        std::vector<std::string> bootstrap;
        for (size_t i = 0; i < m_processes.size(); ++i)
            bootstrap.push_back(std::to_string(i));
        process.node = std::make_unique<ControlNode>(process.identity, bootstrap, m_now);
        process.isPaused = false;
    }

private:
    auto chance(double probability) -> bool
    {
        return std::uniform_real_distribution<>()(m_random) < probability;
    }
    auto pair(int left, int right) const -> size_t
    {
        return static_cast<size_t>(left) * m_processes.size() + static_cast<size_t>(right);
    }

    auto injectFaults() -> void
    {
        const auto pick = [this] { return static_cast<int>(m_random() % m_processes.size()); };
        if (chance(m_faults.restartsPerHundredSteps / 100.0))
            start(pick());
        if (chance(m_faults.pausesPerHundredSteps / 100.0)) {
            auto &process = m_processes[static_cast<size_t>(pick())];
            process.isPaused = !process.isPaused;
        }
        if (chance(m_faults.outagesPerHundredSteps / 100.0))
            m_store.isUp = !m_store.isUp;
        if (m_faults.cutPairRatio > 0 && chance(0.01)) {
            std::fill(m_cut.begin(), m_cut.end(), false);
            for (int i = 0; i < static_cast<int>(m_processes.size()); ++i)
                for (int j = 0; j < i; ++j)
                    if (chance(m_faults.cutPairRatio))
                        cut(i, j);
        }
    }

    auto tick(int index) -> void
    {
        auto &process = m_processes[static_cast<size_t>(index)];
        if (process.isPaused)
            return;
        for (const auto &action : process.node->tick(m_now))
            std::visit([&](const auto &content) { perform(index, content); }, action);
        registerIfNeeded(process);
    }

    auto perform(int index, const ReadStore &action) -> void
    {
        auto &node = *m_processes[static_cast<size_t>(index)].node;
        if (!m_store.isUp || chance(m_faults.lossProbability)) {
            if (chance(0.5))
                node.handleStoreFailure(action.requestId);
            return;
        }
        StoreAnswer answer;
        answer.head = m_store.state.revision();
        const auto changes = m_store.state.changesAfter(action.after);
        if (changes)
            answer.changes = *changes;
        else
            answer.snapshot = m_store.state.toSnapshot();
        node.handleStoreAnswer(action.requestId, answer);
    }

    auto perform(int index, const PullFromPeer &action) -> void
    {
        auto &node = *m_processes[static_cast<size_t>(index)].node;
        const int peer = std::stoi(action.address);
        const auto &other = m_processes[static_cast<size_t>(peer)];
        const bool isReached =
            !other.isPaused && !m_cut[pair(index, peer)] && !chance(m_faults.lossProbability);
        if (isReached)
            node.handlePeerAnswer(action.requestId, other.node->answerPeer(action.after, m_now));
        else if (chance(0.5))
            node.handlePeerFailure(action.requestId);
    }

    auto registerIfNeeded(Process &process) -> void
    {
        const auto &registry = m_store.state.registry();
        const auto found = registry.find(process.identity.name);
        const bool isMine =
            found != registry.end() && found->second.incarnation == process.identity.incarnation;
        if (isMine || !m_store.isUp)
            return;
        const std::string address = process.identity.name.substr(5);
        const RegisteredInstance self{process.identity.name, "agent",
                                      process.identity.failureDomain, address,
                                      process.identity.incarnation};
        commit({{instanceItemKey(process.identity.name), toJson(self)}});
    }

    auto commit(const std::map<std::string, nlohmann::json> &puts) -> Revision
    {
        const Revision revision = m_store.state.revision() + 1;
        m_store.state.apply({revision, "t", "tester", "test", 0, puts, {}});
        return revision;
    }

    /// Simulates an operator who writes changes and tracks their acceptance.
    auto runOperator() -> void
    {
        if (!m_faults.operatorWrites)
            return;
        if (!m_tracker && m_store.isUp && chance(0.05)) {
            m_pending = commit({{"rule/x", static_cast<int>(m_random())}});
            m_tracker.emplace(m_store.state, m_pending);
        }
        if (!m_tracker)
            return;
        const int round = m_tracker->round();
        for (auto &process : m_processes) {
            if (process.isPaused || chance(m_faults.lossProbability))
                continue;
            const auto answer = process.node->answerPeer(m_pending, m_now);
            m_tracker->handleAnswer(round, answer.name, answer.incarnation, answer.revision);
        }
        if (m_tracker->isAccepted()) {
            m_accepted.emplace_back(m_now, m_pending);
            ++m_acceptedCount;
            if (m_store.isUp && chance(0.5))
                commit({{acceptedRegisterItemKey, {{"revision", m_pending}}}});
            m_tracker.reset();
        } else if (chance(0.02)) {
            m_tracker.reset(); // Gave up waiting, so the change was never reported as accepted.
        }
    }

    auto check() -> void
    {
        Revision required = 0;
        for (const auto &[when, revision] : m_accepted) {
            if (m_now - when > Constants::FreshnessLimit + step)
                required = std::max(required, revision);
        }
        for (auto &process : m_processes) {
            const bool acts = !process.isPaused && process.node->isFresh(m_now);
            if (acts && process.node->state().revision() < required)
                ++m_violations;
        }
    }

    std::mt19937 m_random;
    Faults m_faults;
    TimePoint m_now = TimePoint() + std::chrono::hours(1);
    Store m_store;
    std::vector<Process> m_processes;
    std::vector<bool> m_cut;
    int m_incarnation = 0;
    Revision m_pending = 0;
    std::optional<AcceptanceTracker> m_tracker;
    std::vector<std::pair<TimePoint, Revision>> m_accepted;
    int m_acceptedCount = 0;
    int m_violations = 0;
};

auto stepsOf(std::chrono::seconds duration) -> int
{
    return static_cast<int>(duration / step);
}

} // namespace

RC_GTEST_PROP(ControlNode, NeverActsOnAStateOlderThanWhatWasAcceptedAFreshnessLimitAgo, ())
{
    Faults faults;
    faults.cutPairRatio = *rc::gen::elementOf(std::vector<double>{0, 0.2, 0.5});
    faults.lossProbability = *rc::gen::elementOf(std::vector<double>{0, 0.05, 0.3});
    faults.restartsPerHundredSteps = *rc::gen::inRange(0, 6);
    faults.pausesPerHundredSteps = *rc::gen::inRange(0, 4);
    faults.outagesPerHundredSteps = *rc::gen::inRange(0, 4);
    Fleet fleet(*rc::gen::arbitrary<unsigned>(), *rc::gen::inRange(3, 8), faults);
    fleet.run(stepsOf(std::chrono::seconds(60)));
    RC_ASSERT(fleet.violations() == 0);
}

TEST(ControlNode, AcceptsChangesUnderFaults)
{
    Faults faults;
    faults.lossProbability = 0.05;
    faults.restartsPerHundredSteps = 1;
    Fleet fleet(1, 5, faults);
    fleet.run(stepsOf(std::chrono::seconds(60)));
    EXPECT_GT(fleet.acceptedCount(), 20) << "without accepted changes the checks test nothing";
}

TEST(ControlNode, AMajorityStaysFreshDuringAnHourLongStoreOutage)
{
    Fleet fleet(1, 5, {});
    fleet.run(stepsOf(std::chrono::seconds(10)));
    ASSERT_EQ(fleet.actingCount(), 5);
    fleet.store().isUp = false;
    fleet.run(stepsOf(std::chrono::seconds(3600)));
    EXPECT_EQ(fleet.actingCount(), 5);
}

TEST(ControlNode, APartitionedMinorityStops)
{
    Fleet fleet(1, 5, {});
    fleet.run(stepsOf(std::chrono::seconds(10)));
    fleet.store().isUp = false;
    for (const int isolated : {0, 1})
        for (const int other : {2, 3, 4})
            fleet.cut(isolated, other);
    fleet.run(stepsOf(std::chrono::seconds(5)));
    EXPECT_FALSE(fleet.process(0).node->isFresh(fleet.now()));
    EXPECT_FALSE(fleet.process(1).node->isFresh(fleet.now()));
    EXPECT_TRUE(fleet.process(2).node->isFresh(fleet.now()));
}

TEST(ControlNode, AProcessPausedPastTheFreshnessLimitIsNotFresh)
{
    Fleet fleet(1, 3, {});
    fleet.run(stepsOf(std::chrono::seconds(5)));
    fleet.process(0).isPaused = true;
    fleet.run(stepsOf(std::chrono::seconds(4)));
    EXPECT_FALSE(fleet.process(0).node->isFresh(fleet.now()))
        << "before it has run anything after the pause";
}

TEST(ControlNode, ANodeStartedDuringAnOutageServesButDoesNotCountTowardsAMajority)
{
    Fleet fleet(1, 5, {});
    fleet.run(stepsOf(std::chrono::seconds(10)));
    fleet.store().isUp = false;
    fleet.start(0);
    EXPECT_FALSE(fleet.process(0).node->answerPeer(0, fleet.now()).isCaughtUp);
    fleet.run(stepsOf(std::chrono::seconds(5)));
    EXPECT_TRUE(fleet.process(0).node->isFresh(fleet.now())) << "it read a majority of the others";
    fleet.start(1);
    fleet.start(2);
    fleet.run(stepsOf(std::chrono::seconds(10)));
    EXPECT_EQ(fleet.actingCount(), 0) << "the two of five that did not restart are no majority";
}

TEST(ControlNode, AFreshnessProofFromBeforeTheStartDoesNotMakeANodeCaughtUp)
{
    ControlNode relay({"a", "d", "1"}, {}, TimePoint());
    const auto requests = relay.tick(TimePoint() + Milliseconds(1000));
    relay.handleStoreAnswer(std::get<ReadStore>(requests.front()).requestId, {});
    const TimePoint start = TimePoint() + Milliseconds(1500);
    ControlNode restarted({"b", "d", "2"}, {}, start);
    for (const auto &action : restarted.tick(start + Milliseconds(100))) {
        if (const auto *read = std::get_if<ReadStore>(&action))
            restarted.handleStoreFailure(read->requestId);
    }
    EXPECT_FALSE(restarted.isCaughtUp());
}

TEST(ControlNode, AFreshnessProofFromARelayKeepsItsAge)
{
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    ControlNode node({"b", "d", "2"}, {}, start);
    const RegisteredInstance relay{"a", "agent", "d", "relay", "1"};
    StoreAnswer first;
    first.head = 1;
    first.changes.push_back({1, "t", "a", "r", 0, {{instanceItemKey("a"), toJson(relay)}}, {}});
    node.handleStoreAnswer(std::get<ReadStore>(node.tick(start + step).front()).requestId, first);
    const TimePoint askedAt = start + Milliseconds(1000);
    for (const auto &action : node.tick(askedAt)) {
        const auto *pull = std::get_if<PullFromPeer>(&action);
        ASSERT_NE(pull, nullptr);
        node.handlePeerAnswer(pull->requestId,
                              {"a", "1", true, 1, Milliseconds(300), {}, std::nullopt});
    }
    EXPECT_EQ(node.age(askedAt), Milliseconds(300));
    EXPECT_FALSE(node.isFresh(askedAt + Constants::FreshnessLimit - Milliseconds(200)));
}

TEST(ControlNode, LateAnswersAreIgnored)
{
    ControlNode node({"a", "d", "1"}, {}, TimePoint());
    const auto requestId =
        std::get<ReadStore>(node.tick(TimePoint() + Milliseconds(1)).front()).requestId;
    node.tick(TimePoint() + Milliseconds(1) + Constants::PullTimeout);
    node.handleStoreAnswer(requestId, {});
    EXPECT_FALSE(node.isFresh(TimePoint() + Milliseconds(900))) << "the request had timed out";
}
