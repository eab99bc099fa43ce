// Tests the search for what requests that crash backend servers have in common: the detection of
// crashes, and the verdicts of fleets of gateways in virtual time, where messages between the
// gateways are lost, doubled and late.

#include "../shared/crashpartchecker.h"
#include "../shared/virtualscheduler.h"

#include <gateway/crashtracker.h>
#include <gateway/gatewayconstants.h>
#include <gateway/permitroster.h>
#include <gateway/suspectexchange.h>
#include <routing/routingconstants.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <random>
#include <set>

using namespace std::chrono_literals;
using Gateway::CrashTracker;
using Gateway::SuspectExchange;
using Http1::SocketAddress;
using Routing::CrashFeature;
using Utils::Duration;

namespace {

auto features(const std::vector<std::string> &parts, const std::string &body = {})
    -> SuspectExchange::Features
{
    return Routing::crashFeaturesOf("customer", "/x", body, parts);
}

/// How messages between gateways travel.
struct Network
{
    double lossShare = 0.01;
    double duplicateShare = 0.01;
    double lateShare = 0; ///< Share of the messages that are late by up to half a second.
};

/// Gateways before engines that crash on requests with one part.
class CrashFleet
{
public:
    struct Load
    {
        double soundPerSecond = 40;
        double badPerSecond = 3;
        size_t engines = 12;
        double quickProofShare = 1; ///< Crashes that a refused connection proves.
        size_t strangeParts = 0; ///< Unique parts in each bad request beside the others.
    };

    CrashFleet(size_t gateways, const Load &load, Network network, std::uint64_t seed)
        : m_load(load)
        , m_network(network)
        , m_random(seed)
        , m_members(gateways)
    {
        for (size_t i = 0; i < gateways; ++i) {
            m_members[i].address = SocketAddress::create(static_cast<std::uint32_t>(i + 1), 1);
            start(i);
        }
        for (size_t i = 0; i < load.engines; ++i)
            m_engines.push_back({"e" + std::to_string(i)});
        scheduler.advance(2s);
    }

    auto run(Duration time, bool hasBad) -> void
    {
        const double total = m_load.soundPerSecond + (hasBad ? m_load.badPerSecond : 0);
        std::exponential_distribution<double> pause(total);
        std::uniform_real_distribution<double> draw(0, total);
        const auto end = scheduler.now() + time;
        while (scheduler.now() < end) {
            scheduler.advance(Utils::fromSeconds(pause(m_random)));
            const bool isBad = draw(m_random) >= m_load.soundPerSecond;
            send(isBad ? badParts() : soundParts(), isBad);
        }
    }

    /// Sends one request to a random gateway. Returns false if it was refused.
    auto send(const std::vector<std::string> &parts, bool isBad) -> bool
    {
        const size_t index = m_random() % m_members.size();
        Member &member = m_members[index];
        if (!member.exchange || scheduler.now() < member.countsFrom)
            return false;
        const auto found = features(parts, "body " + std::to_string(m_bodies++));
        const auto request = std::make_shared<Request>();
        request->gateway = index;
        request->features = found;
        request->sentAt = scheduler.now();
        request->isBad = isBad;
        const auto verdict = member.exchange->findVerdict(found);
        Engine *engine = verdict ? nullptr : pickEngine();
        if (verdict)
            member.exchange->noteRefused(verdict->feature);
        if (!engine) {
            if (!isBad)
                checker.noteSound(request->sentAt, !verdict && m_excusesOutages);
            return false;
        }
        member.exchange->noteWritten(found);
        engine->running.push_back(request);
        if (isBad) {
            ++badSends;
            checker.noteArrival(scheduler.now());
        }
        const auto begin = 20ms + uniform(60ms);
        scheduler.callAfter(begin, [this, engine, request] {
            if (request->isOver)
                return;
            if (request->isBad)
                return crash(*engine);
            checker.noteSound(request->sentAt, true);
            scheduler.callAfter(Gateway::Constants::AnswerBeginningTime, [this, engine, request] {
                if (request->isOver)
                    return;
                request->isOver = true;
                std::erase(engine->running, request);
                if (m_members[request->gateway].exchange)
                    m_members[request->gateway].exchange->noteSurvived(request->features);
            });
        });
        return true;
    }

    auto crashAll() -> void
    {
        for (Engine &engine : m_engines) {
            if (engine.isUp)
                crash(engine);
        }
    }

    auto responsibleFor(const CrashFeature &feature) const -> size_t
    {
        Gateway::PermitRoster roster(m_members.front().address);
        std::vector<SocketAddress> others;
        for (const Member &member : m_members)
            others.push_back(member.address);
        roster.update(others, scheduler.now());
        return indexOf(roster.issuers(feature.toString()).first);
    }

    /// Ends the process of a gateway; it is back later, and counts again after the time that the
    /// platform allows.
    auto restart(size_t index) -> void
    {
        m_members[index].exchange.reset();
        m_members[index].tracker.reset();
        scheduler.callAfter(1s, [this, index] {
            start(index);
            m_members[index].countsFrom = scheduler.now() + 3s;
        });
    }

    auto refusingGateways(const SuspectExchange::Features &found) const -> size_t
    {
        return static_cast<size_t>(
            std::count_if(m_members.begin(), m_members.end(), [&](const Member &member) {
                return member.exchange && member.exchange->findVerdict(found);
            }));
    }

    auto exchange(size_t index) -> SuspectExchange & { return *m_members[index].exchange; }
    auto mostBytesSent() const -> size_t
    {
        return std::max_element(
                   m_members.begin(), m_members.end(),
                   [](const auto &a, const auto &b) { return a.bytesSent < b.bytesSent; })
            ->bytesSent;
    }
    auto meanBytesSent() const -> size_t
    {
        size_t sum = 0;
        for (const Member &member : m_members)
            sum += member.bytesSent;
        return sum / m_members.size();
    }

    auto badParts() -> std::vector<std::string>
    {
        auto parts = soundParts();
        parts.insert(parts.end() - 1, "bad");
        for (size_t i = 0; i < m_load.strangeParts; ++i)
            parts.insert(parts.end() - 1, "s" + std::to_string(m_random()));
        return parts;
    }

    auto soundParts() -> std::vector<std::string>
    {
        constexpr int firstParts = 2;
        constexpr int documents = 40;
        return {"f" + std::to_string(m_random() % firstParts),
                "d" + std::to_string(m_random() % documents), "u" + std::to_string(m_random())};
    }

    VirtualScheduler scheduler;
    CrashPartChecker checker;
    int badSends = 0;

private:
    struct Request
    {
        size_t gateway = 0;
        SuspectExchange::Features features;
        Utils::TimePoint sentAt;
        bool isBad = false;
        bool isOver = false;
    };
    struct Engine
    {
        std::string id;
        std::int64_t startedAtMs = 1;
        bool isUp = true;
        std::vector<std::shared_ptr<Request>> running = {};
    };
    struct Member
    {
        SocketAddress address;
        std::unique_ptr<SuspectExchange> exchange;
        std::unique_ptr<CrashTracker> tracker;
        Utils::TimePoint countsFrom;
        size_t bytesSent = 0;
    };

    auto uniform(Duration longest) -> Duration
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(m_random));
    }

    auto draw() -> double { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    auto indexOf(const SocketAddress &address) const -> size_t { return address.ip() - 1; }

    auto start(size_t index) -> void
    {
        Member &member = m_members[index];
        const auto startedAt = scheduler.now();
        member.exchange = std::make_unique<SuspectExchange>(
            scheduler, member.address,
            SuspectExchange::Transport{
                [this, startedAt] { return listOf(startedAt); },
                [this, index](const auto &to, const auto &message) { post(index, to, message); }});
        member.tracker = std::make_unique<CrashTracker>(
            [&member](const std::string &crash, Utils::TimePoint at, const auto &found) {
                member.exchange->noteCrash(crash, at, found);
            });
    }

    auto listOf(Utils::TimePoint startedAt) const -> std::optional<std::vector<SocketAddress>>
    {
        if (scheduler.now() - startedAt < 50ms)
            return {};
        std::vector<SocketAddress> list;
        for (const Member &member : m_members)
            list.push_back(member.address);
        return list;
    }

    auto post(size_t from, const SocketAddress &to, const nlohmann::json &message) -> void
    {
        m_members[from].bytesSent += message.dump().size();
        if (draw() < m_network.lossShare)
            return;
        const int copies = draw() < m_network.duplicateShare ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const Duration late = draw() < m_network.lateShare ? 500ms : 2ms;
            scheduler.callAfter(
                500us + uniform(late),
                [this, index = indexOf(to), message, sender = m_members[from].address] {
                    if (m_members[index].exchange) {
                        EXPECT_TRUE(m_members[index].exchange->handleMessage(message, sender));
                    }
                });
        }
    }

    auto pickEngine() -> Engine *
    {
        std::vector<Engine *> up;
        for (Engine &engine : m_engines) {
            if (engine.isUp)
                up.push_back(&engine);
        }
        return up.empty() ? nullptr : up[m_random() % up.size()];
    }

    /// Ends an engine with all its requests; it is back under a new id.
    auto crash(Engine &engine) -> void
    {
        checker.noteCrash(scheduler.now());
        engine.isUp = false;
        const bool isProvedQuickly = draw() < m_load.quickProofShare;
        std::set<size_t> witnesses;
        for (const auto &request : engine.running) {
            Member &member = m_members[request->gateway];
            // Requests whose answers had begun long before have ended by themselves here.
            request->isOver = true;
            if (!member.tracker)
                continue;
            member.tracker->noteConnectionLost(engine.id, engine.startedAtMs, request->features,
                                               scheduler.now());
            witnesses.insert(request->gateway);
        }
        engine.running.clear();
        for (const size_t index : witnesses) {
            scheduler.callAfter(
                isProvedQuickly ? Duration(50ms) : 2500ms + uniform(1700ms),
                [this, index, isProvedQuickly, id = engine.id, startedAtMs = engine.startedAtMs] {
                    if (!m_members[index].tracker)
                        return;
                    if (isProvedQuickly)
                        m_members[index].tracker->noteRefusal(id, startedAtMs, scheduler.now());
                    else
                        m_members[index].tracker->noteServerGone(id, scheduler.now());
                });
        }
        scheduler.callAfter(1s, [&engine] {
            engine.isUp = true;
            ++engine.startedAtMs;
            engine.id += "'";
        });
    }

    Load m_load;
    Network m_network;
    std::mt19937_64 m_random;
    std::vector<Member> m_members;
    std::vector<Engine> m_engines;
    bool m_excusesOutages = false;
    std::uint64_t m_bodies = 0;
};

struct Crash
{
    std::string server;
    std::int64_t startedAtMs;
};

/// A tracker that records the crashes it reports.
struct Tracker
{
    std::vector<std::pair<std::string, size_t>> crashes; ///< Name and number of features.
    CrashTracker tracker{[this](const std::string &crash, Utils::TimePoint, const auto &found) {
        crashes.emplace_back(crash, found.size());
    }};
    Utils::TimePoint now{1h};
};

using Crashes = std::vector<std::pair<std::string, size_t>>;

} // namespace

TEST(CrashTracker, LostConnectionAloneIsNoCrash)
{
    Tracker one;
    one.tracker.noteConnectionLost("e1", 1, features({"a", "u"}), one.now);
    EXPECT_THAT(one.crashes, testing::IsEmpty());
    one.tracker.noteAccepted("e1");
    one.tracker.noteServerGone("e1", one.now + 1s);
    EXPECT_THAT(one.crashes, testing::IsEmpty()) << "it was alive after the loss";
}

TEST(CrashTracker, RefusedConnectionOrEndOfEntryProvesCrashOnce)
{
    Tracker one;
    one.tracker.noteConnectionLost("e1", 1, features({"a", "u"}), one.now);
    one.tracker.noteRefusal("e1", 1, one.now + 50ms);
    one.tracker.noteServerGone("e1", one.now + 4s);
    EXPECT_EQ(one.crashes, (Crashes{{"e1@1", 2}}));
    one.tracker.noteConnectionLost("e2", 1, features({"a", "b", "u"}), one.now);
    one.tracker.noteServerGone("e2", one.now + 4s);
    EXPECT_EQ(one.crashes, (Crashes{{"e1@1", 2}, {"e2@1", 3}}));
}

TEST(CrashTracker, ConnectionFoundLostAfterTheProofCounts)
{
    Tracker one;
    one.tracker.noteRefusal("e1", 1, one.now);
    one.tracker.noteConnectionLost("e1", 2, features({"a", "u"}), one.now);
    EXPECT_THAT(one.crashes, testing::IsEmpty()) << "another incarnation";
    one.tracker.noteConnectionLost("e1", 1, features({"a", "u"}), one.now);
    EXPECT_EQ(one.crashes, (Crashes{{"e1@1", 2}}));
}

TEST(CrashTracker, ServerThatEndsMuchLaterWasNotCrashedByTheRequest)
{
    Tracker one;
    one.tracker.noteConnectionLost("e1", 1, features({"a", "u"}), one.now);
    one.tracker.noteServerGone("e1", one.now + 20s);
    EXPECT_THAT(one.crashes, testing::IsEmpty());
}

TEST(CrashFeature, LastPartIsTheRequestsOwn)
{
    EXPECT_EQ(features({}).size(), 1U);
    EXPECT_EQ(features({"u"}), features({}));
    EXPECT_EQ(features({"a", "a", "u"}).size(), 2U);
    EXPECT_LE(features(std::vector<std::string>(5000, "a")).size(), 2U);
    for (const CrashFeature &feature : features({"a", "b", "u"}))
        EXPECT_EQ(CrashFeature::fromString(feature.toString()), feature);
    for (const char *text : {"", "p", "x12", "p12x", "p11112222333344445"})
        EXPECT_FALSE(CrashFeature::fromString(text)) << text;
}

TEST(CrashEvidence, CrashesAtOneTimeMayHaveACommonCause)
{
    Routing::CrashEvidence evidence;
    const CrashFeature part = features({"a", "u"}).back();
    const Utils::TimePoint now{1h};
    for (int i = 0; i < 10; ++i)
        evidence.recordCrash(part, "e" + std::to_string(i) + "@1", now + i * 10ms, now + 1s);
    EXPECT_EQ(evidence.crashes(part, now + 1s), 1);
    evidence.recordCrash(part, "x@1", now + 1s, now + 1s);
    evidence.recordCrash(part, "x@1", now + 2s, now + 2s);
    EXPECT_FALSE(evidence.isConvincing(part, now + 2s)) << "one crash counts once";
    evidence.recordCrash(part, "y@1", now + 2s, now + 2s);
    EXPECT_TRUE(evidence.isConvincing(part, now + 2s));
    evidence.noteSurvived(part, now + 1s);
    EXPECT_EQ(evidence.crashes(part, now + 2s), 1);
}

TEST(CrashEvidence, StaysSmall)
{
    Routing::CrashEvidence evidence;
    const Utils::TimePoint now{1h};
    for (int i = 0; i < 5000; ++i)
        evidence.recordCrash(features({std::to_string(i), "u"}).back(), "e@1", now, now + i * 1us);
    EXPECT_LE(evidence.size(), 4096U);
}

// Guards against a request that crashes its servers and is repeated at other gateways: known to all
// after two crashes, each of which counts once however many gateways saw it.
TEST(SuspectExchange, RepeatedRequestIsRefusedByAllGatewaysAfterTwoCrashes)
{
    CrashFleet fleet(5, {}, {0, 0, 0}, 1);
    const auto same = features({}, "same");
    fleet.exchange(0).noteCrash("e1@1", fleet.scheduler.now(), same);
    fleet.exchange(1).noteCrash("e1@1", fleet.scheduler.now(), same);
    fleet.scheduler.advance(3s);
    EXPECT_EQ(fleet.refusingGateways(same), 0U);
    fleet.exchange(1).noteCrash("e1@2", fleet.scheduler.now(), same);
    fleet.scheduler.advance(1s);
    EXPECT_EQ(fleet.refusingGateways(same), 5U) << "a restart under the id is another crash";
    EXPECT_EQ(fleet.refusingGateways(features({}, "other")), 0U);
}

TEST(SuspectExchange, PartThatSurvivedAtAnyGatewayIsNotRefused)
{
    CrashFleet fleet(13, {}, {0, 0, 0}, 1);
    const auto shared = features({"first", "u"});
    for (int i = 0; i < 9; ++i) {
        fleet.exchange(2).noteCrash("e" + std::to_string(i) + "@1", fleet.scheduler.now(), shared);
        fleet.scheduler.advance(400ms);
        fleet.exchange(7).noteSurvived(features({"first", "v"}));
        fleet.scheduler.advance(400ms);
    }
    EXPECT_EQ(fleet.refusingGateways(features({"first", "w"})), 0U);
}

// Guards against a part that is refused for good although it doesn't crash servers any more, and
// against trials in each gateway.
TEST(SuspectExchange, WrongVerdictEndsWithOneTrial)
{
    CrashFleet fleet(68, {}, {0.05, 0.05, 0.1}, 3);
    const SuspectExchange::Features part = {features({"first", "u"}).back()};
    for (int i = 0; i < 3; ++i) {
        fleet.exchange(2).noteCrash("e" + std::to_string(i) + "@1", fleet.scheduler.now(), part);
        fleet.scheduler.advance(500ms);
    }
    fleet.scheduler.advance(2s);
    EXPECT_EQ(fleet.refusingGateways(part), 68U);
    int sent = 0;
    for (int i = 0; i < 550 && fleet.refusingGateways(part) > 0; ++i) {
        sent += fleet.send({"first", "u"}, false) ? 1 : 0;
        fleet.scheduler.advance(100ms);
    }
    EXPECT_EQ(fleet.refusingGateways(part), 0U);
    EXPECT_GE(sent, 1);
}

TEST(SuspectExchange, IgnoresMessagesOfOtherKindsAndMalformedOnes)
{
    CrashFleet fleet(3, {}, {0, 0, 0}, 1);
    const auto sender = SocketAddress::create(2, 1);
    EXPECT_FALSE(fleet.exchange(0).handleMessage({{"kind", "want"}}, sender));
    EXPECT_FALSE(fleet.exchange(0).handleMessage({{"kind", "strike"}, {"crash", 7}}, sender));
    for (const char *kind : {"crash-evidence", "crash-question", "crash-survived", "crash-verdict",
                             "crash-refused", "crash-trial", "crash-list"}) {
        for (const char *rest :
             {"{}", R"({"items":7})", R"({"items":[1,null,{"feature":3},{"feature":"p"}]})",
              R"({"crash":"","items":[{"feature":"p1"}]})",
              R"({"crash":"e@1","ageMs":-5,"items":[{"feature":"p1","sinceMs":"x"}]})"}) {
            auto message = nlohmann::json::parse(rest);
            message["kind"] = kind;
            EXPECT_TRUE(fleet.exchange(0).handleMessage(message, sender)) << message.dump();
        }
    }
}

namespace {

class CrashFleets : public testing::TestWithParam<std::tuple<size_t, int>>
{
protected:
    auto size() const -> size_t { return std::get<0>(GetParam()); }

    /// Load that grows with the fleet, and a network drawn from the seed.
    auto makeFleet(size_t strangeParts = 0, double quickProofShare = 1) const
        -> std::unique_ptr<CrashFleet>
    {
        const auto seed = static_cast<std::uint64_t>(std::get<1>(GetParam()));
        std::mt19937_64 random(seed * 1000 + size());
        std::uniform_real_distribution<double> draw(0, 1);
        const double scale = std::sqrt(static_cast<double>(size()) / 4);
        const CrashFleet::Load load = {40 * scale, (1 + 3 * draw(random)) * scale,
                                       static_cast<size_t>(12 * scale), quickProofShare,
                                       strangeParts};
        const Network network = {0.08 * draw(random), 0.05, 0.2 * draw(random)};
        return std::make_unique<CrashFleet>(size(), load, network, random());
    }
};

} // namespace

// Guards against requests that share one part of their prompts and crash one engine after the
// other, no two alike, at any gateway (issue 32, BUDGET); trials count for the whole fleet.
TEST_P(CrashFleets, PartThatCrashesEnginesIsRefusedEverywhereAndNothingElse)
{
    const auto fleet = makeFleet();
    fleet->run(5s, false);
    fleet->run(80s, true);
    EXPECT_THAT(fleet->checker.violations(), testing::IsEmpty());
    EXPECT_GE(fleet->checker.crashes(), 3U);
    const size_t found = fleet->refusingGateways(features({"f0", "u"}))
        + fleet->refusingGateways(features({"f1", "u"}));
    EXPECT_EQ(found, 0U) << "the first part is shared by all";
    constexpr size_t allowedPerSecond = 6000;
    EXPECT_LE(fleet->meanBytesSent() / 87, allowedPerSecond);
    RecordProperty("badSends", fleet->badSends);
    RecordProperty("meanBytes", static_cast<int>(fleet->meanBytesSent()));
    RecordProperty("mostBytes", static_cast<int>(fleet->mostBytesSent()));
}

// The same while gateways are restarted, the responsible one among them, and where some crashes are
// proved late.
TEST_P(CrashFleets, VerdictOutlivesTheGatewaysThatGaveIt)
{
    const auto fleet = makeFleet(0, 0.7);
    fleet->run(5s, false);
    fleet->run(6s, true);
    const CrashFeature bad = features({"bad", "u"}).back();
    fleet->restart(fleet->responsibleFor(bad));
    fleet->run(8s, true);
    fleet->restart((fleet->responsibleFor(bad) + 1) % size());
    fleet->run(12s, true);
    EXPECT_THAT(fleet->checker.violations(), testing::IsEmpty());
}

// Guards against strangers who fill the tables: each bad request has many parts that nobody else
// uses.
TEST_P(CrashFleets, UniquePartsDontHideTheOneThatCrashes)
{
    const auto fleet = makeFleet(40);
    fleet->run(5s, false);
    fleet->run(12s, true);
    EXPECT_THAT(fleet->checker.violations(), testing::IsEmpty());
}

// Guards against verdicts on parts that were in flight when engines ended for another reason.
TEST_P(CrashFleets, EndOfAllEnginesConvictsNothing)
{
    const auto fleet = makeFleet();
    fleet->run(5s, false);
    for (int i = 0; i < 3; ++i) {
        fleet->crashAll();
        fleet->run(2500ms, false);
    }
    fleet->run(10s, false);
    EXPECT_THAT(fleet->checker.violations(), testing::IsEmpty());
    for (int i = 0; i < 40; ++i)
        EXPECT_EQ(fleet->refusingGateways(features({"d" + std::to_string(i), "u"})), 0U) << i;
}

INSTANTIATE_TEST_SUITE_P(Sizes, CrashFleets,
                         testing::Combine(testing::Values(4, 13, 68, 380),
                                          testing::Values(1, 2, 3)));
