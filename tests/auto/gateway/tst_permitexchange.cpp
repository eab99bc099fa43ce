// Tests the limit that a server names over fleets of gateways, in virtual time: messages between
// the gateways are delayed, lost and doubled, and gateways are killed, frozen, cut off and added.

#include "../shared/ratelimitchecker.h"
#include "../shared/virtualscheduler.h"

#include <gateway/backendserver.h>
#include <gateway/gatewayconstants.h>
#include <gateway/permitexchange.h>
#include <monitoring/metrics.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <list>
#include <random>

using namespace Gateway;
using namespace std::chrono_literals;
using Http1::SocketAddress;
using Utils::Duration;

namespace {

/// How messages between gateways travel.
struct Network
{
    double lossShare = 0.01;
    double duplicateShare = 0.01;
    double lateShare = 0; ///< Share of the messages that are late by up to half a second.
};

/// Gateways with callers before one server with a limit.
class LimitedFleet
{
public:
    struct Outcome
    {
        int served = 0;
        int refused = 0;
        long messages = 0;
        Duration longestWait{0}; ///< Of a request until it was sent or refused.
        Duration longestRefusal{0}; ///< Until a request was refused.
    };

    LimitedFleet(size_t gateways, double limit, Network network, std::uint64_t seed)
        : m_limit(limit)
        , m_network(network)
        , m_random(seed)
    {
        m_server.id = "s1";
        m_server.startedAtMs = 1;
        for (size_t i = 0; i < gateways; ++i)
            addMember();
        for (Member &member : m_members)
            start(member);
        scheduler.advance(3s);
        checker.noteNamed(m_server.id, m_limit, scheduler.now());
    }

    /// Sends requests to randomly selected gateways.
    auto run(double perSecond, Duration time) -> void
    {
        std::exponential_distribution<double> pause(perSecond);
        const auto end = scheduler.now() + time;
        while (scheduler.now() < end) {
            scheduler.advance(Utils::fromSeconds(pause(m_random)));
            Member &member = m_members[m_random() % m_members.size()];
            if (member.exchange && !member.isFrozen)
                arrive(member);
        }
    }

    auto issuers() const -> PermitRoster::Issuers
    {
        PermitRoster roster(m_members.front().address);
        std::vector<SocketAddress> others;
        for (const Member &member : m_members)
            others.push_back(member.address);
        roster.update(others, scheduler.now());
        return roster.issuers(m_server.id);
    }

    auto indexOf(const SocketAddress &address) const -> size_t
    {
        for (size_t i = 0; i < m_members.size(); ++i) {
            if (m_members[i].address == address)
                return i;
        }
        return m_members.size();
    }

    /// Ends the process of a gateway. The others learn of it within a second of each other, some
    /// seconds later.
    auto kill(size_t index) -> void
    {
        Member &member = m_members[index];
        member.exchange.reset();
        member.waiting.clear();
        checker.noteExcused(index);
        for (Member &other : m_members)
            callAfter(5000ms + uniform(1000ms), [this, &other, index] {
                if (!m_members[index].exchange)
                    other.hidden.insert(index);
            });
    }

    auto restart(size_t index) -> void
    {
        start(m_members[index]);
        for (Member &other : m_members)
            callAfter(uniform(1000ms), [&other, index] { other.hidden.erase(index); });
    }

    /// Stops a gateway for a while: it sends nothing, and handles what it receives afterwards.
    auto freeze(size_t index, Duration time) -> void
    {
        Member &member = m_members[index];
        member.isFrozen = true;
        checker.noteExcused(index);
        callAfter(time, [this, &member] {
            member.isFrozen = false;
            const auto delayed = std::move(member.delayedMessages);
            member.delayedMessages.clear();
            for (const auto &[message, sender] : delayed)
                handle(member, message, sender);
        });
    }

    /// Loses all messages to and from a gateway for a while.
    auto cut(size_t index, Duration time) -> void
    {
        Member &member = m_members[index];
        member.isCut = true;
        checker.noteExcused(index);
        callAfter(time, [&member] { member.isCut = false; });
    }

    /// A new gateway, of which the others learn at different times.
    auto add() -> void
    {
        addMember();
        const size_t index = m_members.size() - 1;
        for (size_t i = 0; i < index; ++i) {
            m_members[i].hidden.insert(index);
            callAfter(uniform(1000ms), [this, i, index] { m_members[i].hidden.erase(index); });
        }
        start(m_members.back());
    }

    /// A new holder of the placement lease lists only few of the others at first.
    auto shrinkLists(Duration time) -> void
    {
        m_listsAreShort = true;
        callAfter(time, [this] { m_listsAreShort = false; });
    }

    auto endLimit() -> void
    {
        m_limit = 0;
        checker.noteEnded(m_server.id);
    }

    auto isLimitedAnywhere() const -> bool
    {
        return std::any_of(m_members.begin(), m_members.end(), [this](const Member &member) {
            return member.exchange && member.exchange->needsPermit(m_server);
        });
    }

    VirtualScheduler scheduler;
    RateLimitChecker checker;
    std::vector<std::string> violations;
    Outcome outcome;

private:
    struct Waiting
    {
        Utils::TimePoint since;
        PermitExchange::TicketId ticket = 0;
        bool isOver = false;
    };
    struct Member
    {
        SocketAddress address;
        std::unique_ptr<Monitoring::Metrics> metrics;
        std::unique_ptr<RateLimitTable> limits;
        std::unique_ptr<PermitExchange> exchange;
        std::list<std::shared_ptr<Waiting>> waiting; ///< Oldest first.
        std::set<size_t> hidden; ///< Gateways that are missing in its list.
        bool isFrozen = false;
        bool isCut = false;
        std::vector<std::pair<nlohmann::json, SocketAddress>> delayedMessages;
    };

    static constexpr Duration Patience = 2s;

    auto uniform(Duration longest) -> Duration
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(m_random));
    }

    auto callAfter(Duration delay, std::function<void()> callback) -> void
    {
        scheduler.callAfter(delay, std::move(callback));
    }

    auto addMember() -> void
    {
        const size_t index = m_members.size();
        m_members.emplace_back().address =
            SocketAddress::create(static_cast<std::uint32_t>(index + 1), 1);
    }

    auto start(Member &member) -> void
    {
        member.exchange.reset();
        member.metrics = std::make_unique<Monitoring::Metrics>();
        member.limits = std::make_unique<RateLimitTable>();
        const auto startedAt = scheduler.now();
        member.exchange = std::make_unique<PermitExchange>(
            scheduler, *member.metrics, *member.limits, member.address,
            PermitExchange::Transport{
                [this, &member, startedAt] { return listOf(member, startedAt); },
                [this, &member](const auto &to, const auto &message) { send(member, to, message); },
                [this] { return scheduler.now(); }},
            [this, &member] { dispatch(member); });
    }

    auto listOf(const Member &member, Utils::TimePoint startedAt) const
        -> std::optional<std::vector<SocketAddress>>
    {
        if (scheduler.now() - startedAt < 50ms)
            return {};
        std::vector<SocketAddress> list;
        for (size_t i = 0; i < m_members.size(); ++i) {
            if (member.hidden.count(i) == 0 && (!m_listsAreShort || i < 2))
                list.push_back(m_members[i].address);
        }
        return list;
    }

    auto send(const Member &from, const SocketAddress &to, const nlohmann::json &message) -> void
    {
        ++outcome.messages;
        const size_t index = indexOf(to);
        std::uniform_real_distribution<double> draw(0, 1);
        if (from.isCut || from.isFrozen || index >= m_members.size()
            || draw(m_random) < m_network.lossShare)
            return;
        const int copies = draw(m_random) < m_network.duplicateShare ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const Duration late = draw(m_random) < m_network.lateShare ? 500ms : 2ms;
            callAfter(500us + uniform(late), [this, index, message, sender = from.address] {
                Member &member = m_members[index];
                if (member.isCut || !member.exchange)
                    return;
                if (member.isFrozen)
                    member.delayedMessages.emplace_back(message, sender);
                else
                    handle(member, message, sender);
            });
        }
    }

    static auto handle(Member &member, const nlohmann::json &message, const SocketAddress &sender)
        -> void
    {
        if (member.exchange)
            member.exchange->handleMessage(message, sender);
    }

    auto arrive(Member &member) -> void
    {
        if (!member.exchange->needsPermit(m_server))
            return sendRequest(member);
        member.waiting.push_back(std::make_shared<Waiting>(Waiting{scheduler.now()}));
        requestPermit(member, member.waiting.back());
    }

    auto requestPermit(Member &member, const std::shared_ptr<Waiting> &request) -> void
    {
        PermitExchange::Need need{m_server.id,
                                  m_server.startedAtMs,
                                  "r",
                                  request->since + Patience - scheduler.now(),
                                  {}};
        need.onRefused = [this, &member, request](Duration) {
            if (request->isOver)
                return;
            end(member, request);
            outcome.longestRefusal =
                std::max(outcome.longestRefusal, scheduler.now() - request->since);
            ++outcome.refused;
        };
        request->ticket = member.exchange->request(std::move(need));
    }

    /// As the gateway's queue: permits go to the oldest requests, whoever asked for them.
    auto dispatch(Member &member) -> void
    {
        if (!member.exchange || member.isFrozen)
            return;
        const auto waiting = member.waiting;
        for (const auto &request : waiting) {
            if (!member.exchange->needsPermit(m_server) || member.exchange->take(m_server)) {
                end(member, request);
                member.exchange->cancel(request->ticket);
                sendRequest(member);
            } else if (!member.exchange->isOpen(request->ticket)) {
                requestPermit(member, request);
            }
        }
    }

    auto end(Member &member, const std::shared_ptr<Waiting> &request) -> void
    {
        request->isOver = true;
        noteWait(*request);
        member.waiting.remove(request);
    }

    auto noteWait(const Waiting &request) -> void
    {
        outcome.longestWait = std::max(outcome.longestWait, scheduler.now() - request.since);
    }

    auto sendRequest(Member &member) -> void
    {
        const size_t index = indexOf(member.address);
        const auto sentAt = scheduler.now();
        callAfter(1ms + uniform(4ms), [this, index, sentAt] {
            ++outcome.served;
            if (const auto violation = checker.noteArrival(m_server.id, index, scheduler.now()))
                violations.push_back(*violation);
            callAfter(50ms, [this, index, sentAt] { answer(index, sentAt); });
        });
    }

    auto answer(size_t index, Utils::TimePoint sentAt) -> void
    {
        Member &member = m_members[index];
        if (!member.exchange || member.isFrozen)
            return;
        const auto named = m_limit > 0 ? std::optional(m_limit) : std::nullopt;
        member.exchange->noteAnswer(
            {m_server.id, m_server.startedAtMs, named, sentAt, scheduler.now()}, "r");
        if (named)
            checker.noteTold(m_server.id, index, scheduler.now());
    }

    double m_limit;
    Network m_network;
    std::mt19937_64 m_random;
    BackendServer m_server;
    std::deque<Member> m_members;
    bool m_listsAreShort = false;
};

struct FleetCase
{
    size_t gateways;
    double limit;
};

auto operator<<(std::ostream &out, const FleetCase &one) -> std::ostream &
{
    return out << one.gateways << " gateways, limit " << one.limit;
}

class LimitedFleets : public testing::TestWithParam<FleetCase>
{
protected:
    /// Load of several times the limit, so that every permit is wanted.
    auto load() const -> double { return GetParam().limit * 6 + 4; }
    /// Large fleets take long to simulate.
    auto seeds() const -> std::uint64_t { return GetParam().gateways > 100 ? 1 : 3; }
    auto create(const Network &network = {}, std::uint64_t seed = 1) const -> LimitedFleet
    {
        return {GetParam().gateways, GetParam().limit, network, seed};
    }
};

} // namespace

// Guards against limits that gateways keep one by one (issue 28): the server gets the sum, which
// grows with their number.
TEST_P(LimitedFleets, SumStaysWithinTheLimitAndUsesIt)
{
    auto fleet = create();
    fleet.run(load(), 12s);
    const int before = fleet.outcome.served;
    fleet.run(load(), 20s);
    EXPECT_THAT(fleet.violations, testing::IsEmpty());
    EXPECT_GE(fleet.outcome.served - before, 0.7 * GetParam().limit * 20);
    EXPECT_GT(fleet.outcome.refused, 0);
    EXPECT_LE(fleet.outcome.longestWait, 2600ms) << "no request waits beyond its patience";
}

// Guards against permits that outlive their time or are used twice (issue 28): messages are late,
// lost and doubled.
TEST_P(LimitedFleets, SumStaysWithinTheLimitOnABadNetwork)
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        auto fleet = create({0.2, 0.2, 0.2}, seed);
        fleet.run(load(), 25s);
        EXPECT_THAT(fleet.violations, testing::IsEmpty()) << "seed " << seed;
    }
}

// Guards against two issuers that together exceed the limit (issue 28): the first one is killed and
// comes back empty, while the second one answers for it.
TEST_P(LimitedFleets, SumStaysWithinTheLimitWhenTheIssuerIsKilledAndComesBack)
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        auto fleet = create({}, seed);
        fleet.run(load(), 6s);
        const size_t first = fleet.indexOf(fleet.issuers().first);
        fleet.kill(first);
        const int before = fleet.outcome.served;
        fleet.run(load(), 8s);
        EXPECT_GE(fleet.outcome.served - before, 0.2 * GetParam().limit * 8)
            << "the second issuer answers";
        fleet.restart(first);
        fleet.run(load(), 8s);
        fleet.kill(first);
        fleet.run(load(), 20s);
        EXPECT_THAT(fleet.violations, testing::IsEmpty()) << "seed " << seed;
    }
}

// Guards against an issuer that starts anew while the permits of its former process are still in
// use (issue 28).
TEST_P(LimitedFleets, SumStaysWithinTheLimitWhenTheIssuerRestartsAgainAndAgain)
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        auto fleet = create({}, seed);
        fleet.run(load(), 6s);
        const size_t first = fleet.indexOf(fleet.issuers().first);
        for (int i = 0; i < 10; ++i) {
            fleet.kill(first);
            fleet.run(load(), 50ms);
            fleet.restart(first);
            fleet.run(load(), 1s);
        }
        fleet.run(load(), 10s);
        EXPECT_THAT(fleet.violations, testing::IsEmpty()) << "seed " << seed;
    }
}

TEST_P(LimitedFleets, SumStaysWithinTheLimitWhenTheIssuerIsFrozenOrCutOff)
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        auto fleet = create({}, seed);
        fleet.run(load(), 6s);
        const auto issuers = fleet.issuers();
        fleet.freeze(fleet.indexOf(issuers.first), 3s);
        fleet.run(load(), 7s);
        fleet.cut(fleet.indexOf(issuers.first), 4s);
        fleet.run(load(), 2s);
        fleet.cut(fleet.indexOf(*issuers.second), 4s);
        fleet.run(load(), 12s);
        EXPECT_THAT(fleet.violations, testing::IsEmpty()) << "seed " << seed;
    }
}

// Guards against gateways that disagree on who issues permits (issue 28): they learn of new
// gateways at different times, and a new lease holder lists only few of them at first.
TEST_P(LimitedFleets, SumStaysWithinTheLimitWhileTheGatewaysListsDiffer)
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        auto fleet = create({}, seed);
        fleet.run(load(), 6s);
        for (int i = 0; i < 4; ++i) {
            fleet.add();
            fleet.run(load(), 3s);
            fleet.shrinkLists(2s);
            fleet.run(load(), 4s);
        }
        EXPECT_THAT(fleet.violations, testing::IsEmpty()) << "seed " << seed;
    }
}

TEST_P(LimitedFleets, LimitEndsEverywhereAfterTheServerStopsNamingIt)
{
    auto fleet = create();
    fleet.run(load(), 8s);
    fleet.endLimit();
    // An answer must show it, and the slowest limit allows one in four seconds.
    fleet.run(load(), 12s);
    EXPECT_FALSE(fleet.isLimitedAnywhere());
    const int refused = fleet.outcome.refused;
    fleet.run(load(), 4s);
    EXPECT_EQ(fleet.outcome.refused, refused);
}

TEST(LimitedFleet, SingleGatewayKeepsTheLimitByItself)
{
    LimitedFleet fleet(1, 1, {}, 1);
    fleet.run(10, 20s);
    EXPECT_THAT(fleet.violations, testing::IsEmpty());
    EXPECT_GE(fleet.outcome.served, 15);
}

TEST(PermitExchange, UnusedPermitExpires)
{
    VirtualScheduler scheduler;
    Monitoring::Metrics metrics;
    RateLimitTable limits;
    PermitExchange exchange(scheduler, metrics, limits, SocketAddress::create(1, 1),
                            {[] { return std::vector<SocketAddress>(); },
                             [](const auto &, const auto &) {}, [&] { return scheduler.now(); }},
                            [] {});
    BackendServer server;
    server.id = "s1";
    scheduler.advance(5s);
    EXPECT_FALSE(exchange.needsPermit(server));
    exchange.noteAnswer({"s1", 0, 1, scheduler.now(), scheduler.now()}, "r");
    EXPECT_TRUE(exchange.needsPermit(server));
    const auto ticket = exchange.request({"s1", 0, "r", 5s, {}});
    scheduler.advance(1ms);
    EXPECT_TRUE(exchange.hasPermit(server));
    scheduler.advance(Constants::PermitLifetime);
    EXPECT_FALSE(exchange.hasPermit(server));
    EXPECT_FALSE(exchange.isOpen(ticket));
    EXPECT_FALSE(exchange.take(server));
}

TEST(PermitExchange, MalformedMessagesAreIgnored)
{
    VirtualScheduler scheduler;
    Monitoring::Metrics metrics;
    RateLimitTable limits;
    int sent = 0;
    PermitExchange exchange(scheduler, metrics, limits, SocketAddress::create(1, 1),
                            {[] { return std::vector<SocketAddress>(); },
                             [&](const auto &, const auto &) { ++sent; },
                             [&] { return scheduler.now(); }},
                            [] {});
    const auto sender = SocketAddress::create(2, 1);
    const std::vector<nlohmann::json> messages = {
        {{"kind", "limit"}},
        {{"kind", "limit"}, {"server", "s1"}, {"perSecond", -1}},
        {{"kind", "limit"}, {"server", "s1"}, {"perSecond", "many"}},
        {{"kind", "limit"}, {"server", 5}, {"perSecond", 1}},
        {{"kind", "permit-ask"}, {"server", "s1"}, {"id", "x"}},
        {{"kind", "permit"}, {"id", 7}, {"reserved", true}, {"firm", true}},
        {{"kind", "permit-return"}, {"id", -1}}};
    for (const auto &message : messages)
        EXPECT_TRUE(exchange.handleMessage(message, sender)) << message;
    EXPECT_FALSE(exchange.handleMessage({{"kind", "leaving"}}, sender));
    EXPECT_TRUE(limits.all().empty());
    EXPECT_EQ(sent, 0);
}

// Guards against messages that grow with the answers or with the square of the gateways.
TEST(LimitedFleet, MessagesPerGatewayAndRequestAreBounded)
{
    LimitedFleet fleet(68, 1, {0, 0, 0}, 1);
    fleet.run(40, 20s);
    // Each change goes from the two issuers to all, each request asks twice at most, and unused
    // reservations are returned.
    const int requests = fleet.outcome.served + fleet.outcome.refused;
    EXPECT_LE(fleet.outcome.messages, 2 * 68 + 2 * 68 + 5L * requests);
}

INSTANTIATE_TEST_SUITE_P(Sizes, LimitedFleets,
                         testing::Values(FleetCase{4, 0.5}, FleetCase{4, 1}, FleetCase{4, 20},
                                         FleetCase{13, 1}, FleetCase{13, 3}, FleetCase{68, 1},
                                         FleetCase{68, 20}, FleetCase{380, 1}));
