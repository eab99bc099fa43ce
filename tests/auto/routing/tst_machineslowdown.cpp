// Load pattern: a noisy neighbour on a server's machine slows all work there for a while, and the
// figure that the server reports about it changes many times a second.

#include <routing/machineslowdown.h>
#include <routing/routingconstants.h>

#include <gtest/gtest.h>

using namespace Routing;
using namespace std::chrono_literals;
using Utils::TimePoint;

namespace {

const TimePoint start = TimePoint() + 1h;

} // namespace

TEST(MachineSlowdown, UnreportedServerIsAsFastAsUsual)
{
    EXPECT_EQ(MachineSlowdown().value(start), 1);
}

// Guards against a choice that follows each report of a figure that jumps.
TEST(MachineSlowdown, JumpingReportsAreSmoothed)
{
    MachineSlowdown slowdown;
    double lowest = 100;
    double highest = 0;
    for (int i = 0; i < 200; ++i) {
        const auto now = start + 20ms * i;
        slowdown.note(i % 2 == 0 ? 1.0 : 3.0, now);
        if (i > 50) {
            lowest = std::min(lowest, slowdown.value(now));
            highest = std::max(highest, slowdown.value(now));
        }
    }
    EXPECT_GT(lowest, 1.8);
    EXPECT_LT(highest, 2.2);
}

// Guards against a neighbour that is noticed too late, and against one that is never forgotten.
TEST(MachineSlowdown, LastingSlowdownIsFollowedAndFades)
{
    MachineSlowdown slowdown;
    for (int i = 0; i <= 50; ++i)
        slowdown.note(i < 10 ? 1.0 : 2.5, start + 20ms * i);
    const auto last = start + 1s;
    EXPECT_GT(slowdown.value(last), 2.3);
    EXPECT_EQ(slowdown.value(last + Constants::SlowdownFreshTime), slowdown.value(last));
    const double halfway = slowdown.value(last + 1s);
    EXPECT_GT(halfway, 1.2);
    EXPECT_LT(halfway, 2.3);
    EXPECT_EQ(slowdown.value(last + Constants::SlowdownLifetime), 1);
    EXPECT_EQ(slowdown.value(last + 1min), 1);
}

// Guards against one faulty report that excludes a server or attracts all requests.
TEST(MachineSlowdown, ReportsAreBounded)
{
    for (const double reported : {-1.0, 0.0, std::numeric_limits<double>::quiet_NaN(),
                                  std::numeric_limits<double>::infinity()}) {
        MachineSlowdown slowdown;
        slowdown.note(reported, start);
        EXPECT_EQ(slowdown.value(start), 1) << reported;
    }
    MachineSlowdown slowdown;
    slowdown.note(1e12, start);
    EXPECT_LE(slowdown.value(start), Constants::MaxSlowdown);
    slowdown.note(1e-12, start + 1h);
    EXPECT_GE(slowdown.value(start + 1h), 1 / Constants::MaxSlowdown);
}
