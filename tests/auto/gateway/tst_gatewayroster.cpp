// Tests the roster with gateways that join, fall silent and return.

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

// The quota share that a disconnected gateway still uses must have expired before others take it
// over. The holder confirms the share for some time after the gateway's last message.
TEST(GatewayRoster, IsRemovedAfterItsQuotaShareHasExpired)
{
    constexpr auto longestHeardAfterwards = 1500ms;
    EXPECT_GT(silence, Gateway::Constants::QuotaPartLifetime + longestHeardAfterwards);
}
