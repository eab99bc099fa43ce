// Demand that gateways report to the holder of the placement lease.

#include <gateway/demandaggregator.h>
#include <gateway/dutymessages.h>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

using namespace Gateway;
using namespace std::chrono_literals;
using nlohmann::json;
using Utils::TimePoint;

namespace {

const TimePoint start = TimePoint() + 1h;
const auto gateway = Http1::SocketAddress::create(0x0a010001, 7000);

} // namespace

// Guards against: one odd entry of a report hides the others, or is read as another number.
TEST(DemandAggregator, OddEntriesOfAReportAreLeftOut)
{
    const std::vector<const char *> odd = {
        R"([7,"m","",1,0,0.5,10])",
        R"(["lm","m","",-1,0,0.5,10])",
        R"(["lm","m","",4294967300,0,0.5,10])",
        R"(["lm","m","",1e300,0,0.5,10])",
        R"(["lm","m","","1",0,0.5,10])",
        R"(["lm","m","",1,18446744073709551615,0.5,10])",
        R"(["lm","m","",1,0,-0.5,10])",
        R"(["lm","m","",1,0,1e308,10])",
        R"(["lm","m","",1,0,0.5,1e300])",
        R"(["lm","m","",1,0,0.5,null])",
        R"(["lm","m"])",
        R"({"a":1})",
        "7",
    };
    for (const char *text : odd) {
        DemandAggregator aggregator;
        const json demand = json::array({json::parse(text), {"lm", "good", "", 2, 1, 0.25, 40}});
        ASSERT_NO_THROW(aggregator.update(gateway, demand, start)) << text;
        const auto total = aggregator.total({}, start);
        ASSERT_EQ(total.size(), 1) << text;
        EXPECT_EQ(total.begin()->first.model, "good") << text;
        EXPECT_EQ(total.begin()->second.waiting, 2) << text;
    }
}

// Guards against: sums of large counts overflow.
TEST(DemandAggregator, SumsAreBounded)
{
    DemandAggregator aggregator;
    json demand = json::array();
    for (int i = 0; i < 10; ++i)
        demand.push_back({"lm", "m", "", 900000000, 900000000, 1e6, 1e9});
    aggregator.update(gateway, demand, start);
    const auto total = aggregator.total({}, start);
    ASSERT_EQ(total.size(), 1);
    EXPECT_GT(total.begin()->second.waiting, 0);
    EXPECT_GT(total.begin()->second.running, 0);
    EXPECT_LE(total.begin()->second.perSecond, 1e6);
}

TEST(DutyMessages, FieldsOfOtherTypesAreMissing)
{
    ASSERT_NO_THROW(DemandMessage::fromJson({{"kind", "demand"}, {"demand", 7}, {"seen", 7}}));
    const auto holder = HolderMessage::fromJson(
        {{"kind", "holder"}, {"name", 7}, {"gateways", -1e300}, {"members", {1, "x"}}});
    EXPECT_EQ(holder.gateways, 0);
    EXPECT_TRUE(holder.members.empty());
}

// Guards against: placement doesn't learn at which software version a model is awaited (review,
// case 4). Gateways of an earlier version send no such list.
TEST(VersionDemand, SumsWhatGatewaysLastTold)
{
    using Placement::VersionDemand;
    const Utils::TimePoint now{1h};
    const VersionDemand::Key key = {"lm", "m1", {}, "v1"};
    VersionDemand other;
    other.noteWaiting(key, 1);
    other.noteWaiting(key, 1);
    VersionDemand own;
    own.noteWaiting(key, 1);
    own.update("g2", other.toJson(), now);
    own.update("g3", nlohmann::json::array(), now);
    own.update("g4", nlohmann::json::parse(R"([[1],["a","b"],["a","b","c","d",-1],{},7])"), now);
    EXPECT_EQ(own.total(now + 1s), (std::map<VersionDemand::Key, int>{{key, 3}}));
    EXPECT_EQ(own.total(now + 2s), (std::map<VersionDemand::Key, int>{{key, 1}})) << "aged";
    own.noteWaiting(key, -1);
    EXPECT_TRUE(own.total(now + 2s).empty());
}
