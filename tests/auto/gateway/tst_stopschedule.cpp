// What a stopping gateway still does, for stop times of all lengths.

#include <availability/stopschedule.h>

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Gateway::StopSchedule;

namespace {

const Utils::TimePoint requestedAt = Utils::TimePoint() + 1h;

/// The first time in steps of a millisecond at which `isReached` holds.
template <typename Condition>
auto firstTime(const Condition &isReached) -> std::chrono::milliseconds
{
    std::chrono::milliseconds passed(0);
    while (!isReached(requestedAt + passed))
        ++passed;
    return passed;
}

} // namespace

TEST(StopSchedule, UsualStopTimeIsUsedAsThePlatformAllows)
{
    const auto schedule = Availability::StopSchedule::create(requestedAt, 8s);
    EXPECT_EQ(firstTime([&](auto now) { return !schedule.acceptsRequests(now); }), 2900ms);
    EXPECT_EQ(firstTime([&](auto now) { return !schedule.acceptsConnections(now); }), 3200ms);
    EXPECT_EQ(firstTime([&](auto now) { return schedule.isOver(now); }), 7300ms);
}

// Guards against requests that are taken and cut before the last sixth of the stop time
// (issue 35, LOST).
TEST(StopSchedule, StopTimesOfAllLengthsLeaveTimeForAnswers)
{
    for (auto stopTime = 500ms; stopTime <= 60s; stopTime += 100ms) {
        const auto schedule = Availability::StopSchedule::create(requestedAt, stopTime);
        const auto admission = firstTime([&](auto now) { return !schedule.acceptsRequests(now); });
        const auto listening =
            firstTime([&](auto now) { return !schedule.acceptsConnections(now); });
        const auto end = firstTime([&](auto now) { return schedule.isOver(now); });
        EXPECT_LT(admission, 3s) << stopTime.count();
        EXPECT_LE(admission * 2, stopTime) << stopTime.count();
        EXPECT_LT(admission, listening) << stopTime.count();
        EXPECT_LT(listening, end) << stopTime.count();
        EXPECT_GT(end * 6, stopTime * 5) << stopTime.count();
        EXPECT_LT(end, stopTime) << stopTime.count();
    }
}
