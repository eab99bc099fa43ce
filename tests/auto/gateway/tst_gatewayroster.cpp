// Gateways that come, fall silent and come back.

#include <gateway/gatewayconstants.h>
#include <gateway/gatewayroster.h>

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Gateway::GatewayRoster;

namespace {

const Utils::TimePoint start = Utils::TimePoint() + 1h;
constexpr auto silence = Gateway::Constants::GatewaySilenceTimeout;

} // namespace

TEST(GatewayRoster, SilentGatewayIsRemovedOnce)
{
    GatewayRoster roster;
    roster.reset({"g1", "g2"}, start);
    roster.noteSeen("g1", start + silence);
    EXPECT_TRUE(roster.removeSilent(start + silence).empty());
    EXPECT_EQ(roster.removeSilent(start + silence + 1ms), std::vector<std::string>{"g2"});
    EXPECT_TRUE(roster.removeSilent(start + silence + 1ms).empty());
    EXPECT_EQ(roster.count(), 1);
}

TEST(GatewayRoster, GatewayThatComesBackCountsAgain)
{
    GatewayRoster roster;
    roster.reset({"g1"}, start);
    EXPECT_TRUE(roster.noteSeen("g2", start));
    EXPECT_FALSE(roster.noteSeen("g2", start + 1s));
    EXPECT_EQ(roster.count(), 2);
}

// The part that a cut-off gateway goes on using must have ended before others take it over: it is
// told that it was heard for some time after it was heard last.
TEST(GatewayRoster, IsRemovedAfterItsQuotaShareHasExpired)
{
    constexpr auto longestHeardAfterwards = 1500ms;
    EXPECT_GT(silence, Gateway::Constants::QuotaPartLifetime + longestHeardAfterwards);
}
