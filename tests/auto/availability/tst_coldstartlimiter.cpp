// Tests the limit on requests to cold servers in virtual time. The load of the property tests is a
// burst that never ends: each gateway sends whenever its limiter allows it.

#include <availability/availabilityconstants.h>
#include <availability/coldstartlimiter.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

using namespace Availability;
using namespace std::chrono_literals;
using Utils::TimePoint;

namespace {

const TimePoint start = TimePoint() + 1h;
const ColdStartDescription usualService = {3000ms, 16.0};
const ColdStartTolerance usualTolerance = {1.5, 5.0};
/// Requests to one server in any second, from all gateways, that the settings above allow.
constexpr int MaxPerSecond = 29;

auto nameOf(int gateway) -> std::string
{
    return "10.0.0." + std::to_string(gateway) + ":7000";
}

/// Makes a limiter of `own` that knows the gateways of `view`.
auto makeLimiter(int own, const std::vector<int> &view, int count) -> ColdStartLimiter
{
    ColdStartLimiter limiter;
    limiter.setTolerance(usualTolerance);
    limiter.setService("lm", usualService);
    std::vector<std::string> others;
    for (const int gateway : view)
        others.push_back(nameOf(gateway));
    limiter.setGatewayNames(nameOf(own), others, count, start);
    return limiter;
}

auto range(int first, int end) -> std::vector<int>
{
    std::vector<int> all;
    for (int i = first; i < end; ++i)
        all.push_back(i);
    return all;
}

/// Sends whenever a limiter allows it, at times with a random offset for each gateway, and returns
/// when a request was sent to the server.
auto sendAll(std::vector<ColdStartLimiter> &gateways, const std::string &server,
             std::mt19937 &random) -> std::vector<TimePoint>
{
    std::vector<TimePoint> sent;
    for (ColdStartLimiter &gateway : gateways) {
        gateway.update(server, 1, "lm", "a", usualService.time, start);
        if (!gateway.maySend(server, start))
            continue; // It has no share.
        for (auto at = start + std::chrono::milliseconds(random() % 1500); at < start + 3000ms;
             at += 1ms) {
            if (!gateway.maySend(server, at))
                continue;
            gateway.take(server, at);
            sent.push_back(at);
        }
    }
    std::sort(sent.begin(), sent.end());
    return sent;
}

auto mostInOneSecond(const std::vector<TimePoint> &sent) -> int
{
    int most = 0;
    for (size_t first = 0, last = 0; last < sent.size(); ++last) {
        while (sent[last] - sent[first] >= 1s)
            ++first;
        most = std::max(most, static_cast<int>(last - first) + 1);
    }
    return most;
}

/// Numbers of gateways of a small, a usual and a large system.
class Fleets : public testing::TestWithParam<int>
{
protected:
    std::mt19937 random{20261204};
    int count = GetParam();
};

} // namespace

// Guards against: a burst of all gateways together at a server that has just started.
TEST_P(Fleets, StayWithinTheLimitWithoutAMessage)
{
    std::vector<ColdStartLimiter> gateways;
    for (int own = 0; own < count; ++own)
        gateways.push_back(makeLimiter(own, range(0, count), count));
    for (int i = 0; i < 20; ++i) {
        const auto sent = sendAll(gateways, "s" + std::to_string(i), random);
        EXPECT_LE(mostInOneSecond(sent), MaxPerSecond / 2);
        EXPECT_GE(sent.size(), 15U) << "the server is hardly used while it is cold";
    }
}

// Guards against: two parts of a divided network that choose different senders for one server.
TEST_P(Fleets, StayWithinTheLimitWhenTwoGroupsKnowOnlyThemselves)
{
    const int half = count / 2;
    std::vector<ColdStartLimiter> gateways;
    for (int own = 0; own < count; ++own) {
        const bool isFirst = own < half;
        gateways.push_back(makeLimiter(own, isFirst ? range(0, half) : range(half, count),
                                       isFirst ? half : count - half));
    }
    for (int i = 0; i < 20; ++i)
        EXPECT_LE(mostInOneSecond(sendAll(gateways, "s" + std::to_string(i), random)),
                  MaxPerSecond);
}

// Guards against: gateways that each lack some others, as while a gateway joins or messages are
// lost, and therefore count themselves among the senders.
TEST_P(Fleets, StayWithinTheLimitWhenEachLacksSomeOthers)
{
    std::vector<ColdStartLimiter> gateways;
    for (int own = 0; own < count; ++own) {
        std::vector<int> view;
        for (int other = 0; other < count; ++other) {
            if (random() % 4 != 0)
                view.push_back(other);
        }
        gateways.push_back(makeLimiter(own, view, count));
    }
    for (int i = 0; i < 20; ++i)
        EXPECT_LE(mostInOneSecond(sendAll(gateways, "s" + std::to_string(i), random)),
                  MaxPerSecond);
}

// Guards against: a gateway that has lost all others and takes itself for the only one.
TEST_P(Fleets, GatewayThatLosesTheOthersKeepsItsShare)
{
    ColdStartLimiter limiter = makeLimiter(0, range(0, count), count);
    limiter.update("s1", 1, "lm", "a", 3000ms, start);
    const auto before = limiter.shareOf("s1");
    limiter.setGatewayNames(nameOf(0), {}, 1, start + 5min);
    EXPECT_EQ(limiter.shareOf("s1").gateways, before.gateways);
    EXPECT_EQ(limiter.shareOf("s1").perSecond, before.perSecond);
    limiter.setGatewayNames(nameOf(0), {}, 1, start + 11min);
    EXPECT_EQ(limiter.shareOf("s1").gateways, 1);
}

INSTANTIATE_TEST_SUITE_P(Sizes, Fleets, testing::Values(4, 26, 380));

TEST(ColdStartLimiter, ServersOfServicesWithoutAColdStartAreNeverLimited)
{
    for (const ColdStartDescription &service :
         {ColdStartDescription{0ms, 16}, ColdStartDescription{3000ms, 0}}) {
        ColdStartLimiter limiter;
        limiter.setService("lm", service);
        limiter.update("s1", 1, "lm", "a", 3000ms, start);
        EXPECT_FALSE(limiter.isCold("s1", start));
        EXPECT_TRUE(limiter.maySend("s1", start));
        EXPECT_FALSE(limiter.take("s1", start));
    }
}

TEST(ColdStartLimiter, NothingIsSentToColdServersBeforeTheGatewaysAreKnown)
{
    ColdStartLimiter limiter;
    limiter.setTolerance(usualTolerance);
    limiter.setService("lm", usualService);
    limiter.update("s1", 1, "lm", "a", 3000ms, start);
    EXPECT_FALSE(limiter.maySend("s1", start));
    EXPECT_TRUE(limiter.maySend("s1", start + 3s)) << "the server is cold no longer";
}

TEST(ColdStartLimiter, OneGatewaySendsAtTheWholeRateOfItsView)
{
    std::mt19937 random(1);
    std::vector<ColdStartLimiter> gateways = {makeLimiter(0, {}, 1)};
    const auto share = ColdStartShare::create(usualService, usualTolerance, 1);
    EXPECT_EQ(share.gateways, 1);
    EXPECT_DOUBLE_EQ(share.perSecond, 13.5);
    EXPECT_GE(mostInOneSecond(sendAll(gateways, "s1", random)), 13);
}

// Guards against: a limit too small for two views that still lets one request of each through.
TEST(ColdStartLimiter, SmallLimitsLeaveNoShare)
{
    EXPECT_EQ(ColdStartShare::create({3000ms, 1}, {1, 0}, 4).gateways, 0);
    const auto smallest = ColdStartShare::create({3000ms, 2}, {1, 0.5}, 4);
    EXPECT_EQ(smallest.gateways, 1);
    EXPECT_LE(smallest.gateways * (1 + smallest.perSecond), 1.25);
}

TEST(ColdStartLimiter, NewestWordOnTheColdTimeCounts)
{
    ColdStartLimiter limiter = makeLimiter(0, {}, 1);
    limiter.update("s1", 1, "lm", "a", 0ms, start);
    EXPECT_FALSE(limiter.isCold("s1", start));
    limiter.noteRemaining("s1", 2, 3000ms, start);
    EXPECT_FALSE(limiter.isCold("s1", start)) << "said by another incarnation";
    limiter.noteRemaining("s1", 1, 3000ms, start);
    EXPECT_TRUE(limiter.isCold("s1", start + 2s));
    limiter.update("s1", 1, "lm", "a", 0ms, start + 2s);
    EXPECT_FALSE(limiter.isCold("s1", start + 2s));
}

// Guards against: servers of a domain that has just come back, whose entries are from before.
TEST(ColdStartLimiter, ServersAreColdAfterTheEndOfAnEvacuationWhateverTheirEntriesSay)
{
    ColdStartLimiter limiter = makeLimiter(0, {}, 1);
    limiter.update("s1", 1, "lm", "a", 0ms, start);
    limiter.update("s2", 1, "lm", "b", 0ms, start);
    limiter.noteEvacuationEnded("a", start);
    limiter.update("s1", 1, "lm", "a", 0ms, start + 1s);
    limiter.update("s3", 1, "lm", "a", 0ms, start + 1s);
    EXPECT_TRUE(limiter.isCold("s1", start + 2999ms));
    EXPECT_TRUE(limiter.isCold("s3", start + 2999ms));
    EXPECT_EQ(limiter.coldServers(start + 2999ms), 2);
    EXPECT_FALSE(limiter.isCold("s2", start));
    EXPECT_FALSE(limiter.isCold("s1", start + 3s));
}

// Guards against: requests chosen one after another whose connections are established together.
TEST(ColdStartLimiter, RequestsThatCouldNotBeWrittenSoonAreHeldBack)
{
    ColdStartLimiter limiter = makeLimiter(0, {}, 1);
    limiter.update("s1", 1, "lm", "a", 0ms, start);
    const auto chosenWarm = limiter.take("s1", start);
    EXPECT_TRUE(limiter.mayWrite("s1", chosenWarm, start + 20ms));
    limiter.noteRemaining("s1", 1, 3000ms, start + 30ms);
    EXPECT_FALSE(limiter.mayWrite("s1", chosenWarm, start + 40ms)) << "cold since it was chosen";
    const auto chosen = limiter.take("s1", start + 100ms);
    EXPECT_TRUE(limiter.mayWrite("s1", chosen, start + 100ms + Constants::ColdSendLifetime));
    EXPECT_FALSE(limiter.mayWrite("s1", chosen, start + 101ms + Constants::ColdSendLifetime));
}
