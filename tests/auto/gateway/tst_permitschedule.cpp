// Tests the schedule of permits for one server with a limit.

#include <routing/permitschedule.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

using namespace Gateway;
using namespace std::chrono_literals;
using Utils::Duration;
using Utils::TimePoint;

namespace {

const TimePoint start = TimePoint() + 1h;

} // namespace

TEST(PermitSchedule, SpacesPermitsAfterTheBurst)
{
    Routing::PermitSchedule permits(2, 2, start - 1h);
    EXPECT_EQ(permits.reserve("a", 10s, start).delay, 0s);
    EXPECT_EQ(permits.reserve("b", 10s, start).delay, 0s);
    EXPECT_EQ(permits.reserve("c", 10s, start).delay, 500ms);
    EXPECT_EQ(permits.reserve("d", 10s, start).delay, 1s);
    EXPECT_TRUE(permits.reserve("d", 10s, start).isFirm);
    EXPECT_FALSE(permits.reserve("e", 10s, start).isFirm);
    EXPECT_TRUE(permits.reserve("e", 10s, start + 600ms).isFirm);
}

TEST(PermitSchedule, RefusesWhatWouldComeTooLateAndSaysWhenThereIsRoom)
{
    Routing::PermitSchedule permits(1, 1, start - 1h);
    permits.reserve("a", 10s, start);
    const auto refused = permits.reserve("b", 500ms, start);
    EXPECT_FALSE(refused.isReserved);
    EXPECT_EQ(refused.delay, 1s);
    EXPECT_EQ(permits.reservationCount(), 1U);
}

TEST(PermitSchedule, IssuesNothingBeforeItsStart)
{
    Routing::PermitSchedule permits(10, 2, start + 1s);
    EXPECT_EQ(permits.reserve("a", 10s, start).delay, 1s);
    EXPECT_EQ(permits.reserve("b", 10s, start).delay, 1100ms);
}

TEST(PermitSchedule, ReusesTheTimeOfAReleasedReservation)
{
    Routing::PermitSchedule permits(1, 1, start - 1h);
    for (const char *name : {"a", "b", "c"})
        permits.reserve(name, 10s, start);
    permits.release("b", start);
    permits.release("unknown", start);
    EXPECT_EQ(permits.reserve("d", 10s, start).delay, 1s);
    EXPECT_EQ(permits.reserve("e", 10s, start).delay, 3s);
}

TEST(PermitSchedule, LowerRateKeepsOnlyFirmReservations)
{
    Routing::PermitSchedule permits(2, 1, start - 1h);
    for (const char *name : {"a", "b", "c", "d", "e", "f"})
        permits.reserve(name, 10s, start);
    permits.setRate(0.5, start);
    EXPECT_EQ(permits.reserve("c", 10s, start).delay, 1s) << "it is firm";
    EXPECT_EQ(permits.reserve("f", 10s, start).delay, 3s);
    EXPECT_EQ(permits.reserve("g", 10s, start).delay, 5s);
}

RC_GTEST_PROP(PermitSchedule, NoWindowHasMoreThanTheRateAndTheBurst, ())
{
    const auto perSecond = *rc::gen::inRange(1, 200) / 10.0;
    const auto burst = *rc::gen::inRange(1, 3);
    Routing::PermitSchedule permits(perSecond, burst, start - 1h);
    TimePoint now = start;
    std::vector<TimePoint> times;
    for (int i = 0; i < 200; ++i) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        const std::string name = std::to_string(i);
        const auto reply = permits.reserve(name, 5s, now);
        if (!reply.isReserved)
            continue;
        if (*rc::gen::inRange(0, 4) == 0)
            permits.release(name, now);
        else
            times.push_back(now + reply.delay);
    }
    std::sort(times.begin(), times.end());
    for (size_t first = 0; first < times.size(); ++first) {
        size_t last = first;
        while (last < times.size() && times[last] - times[first] <= 4s)
            ++last;
        RC_ASSERT(static_cast<double>(last - first) <= 4 * perSecond + burst + 1e-6);
    }
}
