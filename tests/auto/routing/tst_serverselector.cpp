// The selection as a whole: which server the lowest score points to. Load patterns: light load on
// equal servers; a domain with too few servers for its callers; large requests between domains.

#include <routing/routingconstants.h>
#include <routing/serverselector.h>

#include <gtest/gtest.h>

#include <random>

using namespace Routing;
using namespace std::chrono_literals;
using Utils::TimePoint;

namespace {

const TimePoint start = TimePoint() + 1h;

struct Server
{
    ServerState state;
    int load = 0;
    bool isRemote = false;
};

auto makeServers(ServerSelector &selector, int own, int other) -> std::vector<Server>
{
    std::vector<Server> servers;
    for (int i = 0; i < own + other; ++i)
        servers.push_back({selector.makeState(), 0, i >= own});
    return servers;
}

/// The first of the servers with the lowest score.
auto choose(const SelectionWeights &weights, const std::vector<Server> &servers) -> size_t
{
    size_t best = 0;
    for (size_t i = 1; i < servers.size(); ++i) {
        const auto scoreOf = [&](const Server &server) {
            return weights.score(server.state, server.load, server.isRemote);
        };
        if (scoreOf(servers[i]) < scoreOf(servers[best]))
            best = i;
    }
    return best;
}

/// The choice by the number of requests, where another domain counts like 0.75 requests.
auto chooseByLoad(const std::vector<Server> &servers) -> size_t
{
    size_t best = 0;
    for (size_t i = 1; i < servers.size(); ++i) {
        const auto scoreOf = [](const Server &server) {
            return server.load + (server.isRemote ? 0.75 : 0);
        };
        if (scoreOf(servers[i]) < scoreOf(servers[best]))
            best = i;
    }
    return best;
}

auto makeRequest(std::mt19937 &random) -> RequestProfile
{
    RequestProfile request;
    request.service = "chat";
    request.promptTokens = 100 + random() % 1000;
    request.maxAnswerTokens = 200;
    request.bytes = 500 + random() % 5000;
    request.identity = random();
    return request;
}

auto measure(ServerSelector &selector, const RequestProfile &request, Server &server,
             Milliseconds time, TimePoint now) -> void
{
    RunningRequest run;
    run.sentAt = now;
    run.load = server.load;
    run.isRemote = server.isRemote;
    run.answerBytes = 2000;
    selector.noteSent(request, run, server.state);
    selector.noteEvents(request, run, server.state, 1,
                        now + std::chrono::duration_cast<Utils::Duration>(time));
    selector.noteEnded(request, run, server.state, true);
}

auto viewsOf(const std::vector<Server> &servers) -> std::vector<ServerView>
{
    std::vector<ServerView> views;
    for (const Server &server : servers)
        views.push_back({&server.state, static_cast<double>(server.load), 32, server.isRemote});
    return views;
}

} // namespace

// Guards against deployments with equal servers and spare capacity that are served differently
// because something was measured there.
TEST(ServerSelector, EqualServersWithRoomAreChosenByLoadAlone)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        std::mt19937 random(seed);
        std::lognormal_distribution<double> noise(0, 0.4);
        ServerSelector selector(seed);
        auto servers = makeServers(selector, 4, 8);
        for (Server &server : servers)
            server.state.noteConnected(Milliseconds(server.isRemote ? 2.8 : 0.2));
        auto now = start;
        for (int i = 0; i < 4000; ++i, now += 20ms) {
            for (Server &server : servers)
                server.load = static_cast<int>(random() % 12);
            const auto request = makeRequest(random);
            const size_t chosen = choose(selector.weigh(&request, now), servers);
            ASSERT_EQ(chosen, chooseByLoad(servers)) << "seed " << seed << " request " << i;
            Server &server = servers[random() % servers.size()];
            const Milliseconds time((40 + 10 * server.load) * noise(random));
            measure(selector, request, server, time, now);
            if (selector.isObservationDue("chat", now)) {
                EXPECT_FALSE(selector.observe("chat", viewsOf(servers), now));
            }
        }
    }
}

// Guards against a bound on traffic that refuses or delays requests without limit: held-back
// requests leave a domain that is busier by more than the bound.
TEST(ServerSelector, HeldBackRequestsLeaveAFarBusierDomain)
{
    std::mt19937 random(1);
    ServerSelector selector(1);
    auto servers = makeServers(selector, 2, 2);
    const auto request = makeRequest(random);
    measure(selector, request, servers[0], Milliseconds(40), start);
    for (Server &server : servers)
        server.load = 30;
    for (int i = 0; i < 50; ++i)
        selector.observe("chat", viewsOf(servers), start + 200ms * i);
    ASSERT_TRUE(selector.domainOf("chat")->isLimiting());
    ASSERT_EQ(selector.domainOf("chat")->share(), 0);
    const auto weights = selector.weigh(&request, start + 10s);
    EXPECT_EQ(weights.holdBack, Constants::HoldBackWeight);
    servers[2].load = 28;
    EXPECT_EQ(choose(weights, servers), 0U);
    servers[2].load = 27;
    EXPECT_EQ(choose(weights, servers), 2U);
}

// Guards against a cost that does not follow the bytes that cross, or that is not in the unit of
// the delay that it is compared with.
TEST(ServerSelector, CostOfLeavingTheDomainFollowsTheBytes)
{
    std::mt19937 random(1);
    ServerSelector selector(1);
    auto servers = makeServers(selector, 1, 1);
    auto now = start;
    for (int i = 0; i < 400; ++i, now += 10ms) {
        servers[0].load = i % 8;
        auto request = makeRequest(random);
        request.bytes = 8000;
        measure(selector, request, servers[0], Milliseconds(40 + 10 * servers[0].load), now);
    }
    auto request = makeRequest(random);
    request.bytes = 8000;
    EXPECT_NEAR(selector.weigh(&request, now).remoteWeight, 0.75, 0.01);
    request.bytes = 1e6;
    EXPECT_LT(selector.weigh(&request, now).remoteWeight, 1) << "without a setting";
    // 10,000 bytes cost 20 ms, which is the delay of two requests.
    selector.setCrossDomainCost(Milliseconds(2000));
    request.bytes = 8000;
    EXPECT_NEAR(selector.weigh(&request, now).remoteWeight, 2, 0.1);
    request.bytes = 18000;
    EXPECT_NEAR(selector.weigh(&request, now).remoteWeight, 4, 0.2);
    servers[1].state.noteConnected(Milliseconds(5));
    EXPECT_NEAR(selector.weigh(&request, now).score(servers[1].state, 0, true), 4.5, 0.2);
}

// Load pattern: a noisy neighbour. Guards against an expected end that ignores how slow the machine
// is at the moment.
TEST(ServerSelector, ExpectedEndFollowsTheMachine)
{
    std::mt19937 random(1);
    ServerSelector selector(1);
    auto servers = makeServers(selector, 2, 0);
    const auto request = makeRequest(random);
    RunningRequest run;
    run.sentAt = start;
    EXPECT_FALSE(selector.expectedTimeLeft(request, run, servers[0].state, start));
    auto now = start;
    for (int i = 0; i < 400; ++i, now += 10ms) {
        servers[0].load = i % 8;
        measure(selector, request, servers[0], Milliseconds(40 + 10 * servers[0].load), now);
    }
    run.sentAt = now;
    run.load = 2;
    EXPECT_NEAR(selector.expectedTimeLeft(request, run, servers[1].state, now)->count(), 60, 3);
    servers[1].state.slowdown.note(3, now);
    EXPECT_NEAR(selector.expectedTimeLeft(request, run, servers[1].state, now)->count(), 180, 9);
}

// Load pattern: a noisy neighbour. Guards against a machine's slowdown that counts a second time,
// as if its server were slow for good.
TEST(ServerSelector, ReportedSlowdownDoesNotCountAsTheServersSpeed)
{
    std::mt19937 random(1);
    ServerSelector selector(1);
    auto servers = makeServers(selector, 4, 0);
    const auto request = makeRequest(random);
    auto now = start;
    for (int i = 0; i < 800; ++i, now += 10ms) {
        Server &server = servers[i % servers.size()];
        server.load = i % 7;
        const bool isSlowed = &server == &servers[3];
        Milliseconds time(40 + 10 * server.load);
        if (isSlowed) {
            server.state.slowdown.note(3,
                                       now + 3 * std::chrono::milliseconds(40 + 10 * server.load));
            time *= 3;
        }
        measure(selector, request, server, time, now);
        selector.observe("chat", viewsOf(servers), now);
    }
    const auto weights = selector.weigh(&request, now + 10s);
    EXPECT_EQ(weights.score(servers[3].state, 1, false), 1);
}
