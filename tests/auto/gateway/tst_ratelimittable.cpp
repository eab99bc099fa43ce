// Tests what a gateway believes of the limits that backend servers name, from its own answers and
// from other gateways' reports.

#include <gateway/ratelimittable.h>

#include <gtest/gtest.h>

using namespace Gateway;
using namespace std::chrono_literals;
using Utils::TimePoint;

namespace {

const TimePoint start = TimePoint() + 1h;
constexpr std::int64_t incarnation = 7;

auto answer(std::optional<double> perSecond, Utils::Duration sent, Utils::Duration observed)
    -> RateLimitTable::Observation
{
    return {"s1", incarnation, perSecond, start + sent, start + observed};
}

} // namespace

TEST(RateLimitTable, AnswerNamesAndChangesALimit)
{
    RateLimitTable table;
    EXPECT_TRUE(table.noteAnswer(answer(2.5, 0s, 1s)));
    EXPECT_FALSE(table.noteAnswer(answer(2.5, 1s, 2s)));
    EXPECT_TRUE(table.noteAnswer(answer(1, 2s, 3s)));
    ASSERT_TRUE(table.find("s1", incarnation));
    EXPECT_EQ(table.find("s1", incarnation)->perSecond, 1);
    EXPECT_EQ(table.find("s1", incarnation)->observedAt, start + 3s);
}

// Answers cross: one without a limit may have been begun before the server named it.
TEST(RateLimitTable, OnlyAnAnswerToALaterRequestEndsALimit)
{
    RateLimitTable table;
    table.noteAnswer(answer(1, 0s, 2s));
    EXPECT_FALSE(table.noteAnswer(answer({}, 1s, 3s)));
    EXPECT_FALSE(table.find("s1", incarnation)->hasEnded);
    EXPECT_TRUE(table.noteAnswer(answer({}, 3s, 4s)));
    EXPECT_TRUE(table.find("s1", incarnation)->hasEnded);
    EXPECT_EQ(table.find("s1", incarnation)->perSecond, 1);
    EXPECT_FALSE(table.noteAnswer(answer({}, 5s, 6s)));
    EXPECT_EQ(table.find("s1", incarnation)->observedAt, start + 4s);
}

TEST(RateLimitTable, OlderReportOfAnotherGatewayChangesNothing)
{
    RateLimitTable table;
    table.noteAnswer(answer(1, 0s, 2s));
    EXPECT_FALSE(table.noteReport("s1", {incarnation, 5, false, start + 1s}));
    EXPECT_TRUE(table.noteReport("s1", {incarnation, 1, true, start + 3s}));
    EXPECT_FALSE(table.noteReport("s1", {incarnation, 1, false, start + 2s}));
    EXPECT_TRUE(table.find("s1", incarnation)->hasEnded);
}

TEST(RateLimitTable, NewIncarnationHasNoLimitUntilItNamesOne)
{
    RateLimitTable table;
    table.noteAnswer(answer(1, 0s, 2s));
    EXPECT_FALSE(table.find("s1", incarnation + 1));
    EXPECT_TRUE(table.noteReport("s1", {incarnation + 1, 3, false, start + 1s}));
    EXPECT_FALSE(table.find("s1", incarnation));
    EXPECT_FALSE(table.noteAnswer(answer(1, 3s, 4s)));
    EXPECT_EQ(table.find("s1", incarnation + 1)->perSecond, 3);
}

TEST(RateLimitTable, ReportedEndOfAnUnknownLimitIsIgnored)
{
    RateLimitTable table;
    EXPECT_FALSE(table.noteReport("s1", {incarnation, 1, true, start}));
    EXPECT_TRUE(table.all().empty());
}

TEST(RateLimitTable, EndedLimitsAreDroppedAfterATime)
{
    RateLimitTable table;
    table.noteAnswer(answer(1, 0s, 1s));
    table.removeEnded(start + 10s);
    EXPECT_TRUE(table.find("s1", incarnation));
    table.noteAnswer(answer({}, 2s, 3s));
    table.removeEnded(start + 3s);
    EXPECT_TRUE(table.find("s1", incarnation));
    table.removeEnded(start + 4s);
    EXPECT_FALSE(table.find("s1", incarnation));
}
