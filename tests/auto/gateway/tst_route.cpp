// How long requests of a route may wait.

#include <gateway/configuration.h>

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Gateway::Route;
using Gateway::RouteKind;

namespace {

auto makeStream(std::chrono::milliseconds objective, std::chrono::milliseconds pause) -> Route
{
    Route route;
    route.kind = RouteKind::Stream;
    route.latencyObjective = objective;
    route.pauseObjective = pause;
    return route;
}

} // namespace

// Pattern: more models are asked for than engines hold, and callers of streams leave long before
// their time is over. One that is refused before it leaves comes back; one that has left may not.
TEST(Route, RequestIsRefusedBeforeItsCallerLeaves)
{
    const auto draftLeavesAfter = 2400ms;
    const auto batchLeavesAfter = 8000ms;
    EXPECT_LT(makeStream(400ms, 300ms).longestWait(12s), draftLeavesAfter);
    EXPECT_GT(makeStream(400ms, 300ms).longestWait(12s), draftLeavesAfter / 2);
    EXPECT_LT(makeStream(2000ms, 300ms).longestWait(20s), batchLeavesAfter);
    EXPECT_GT(makeStream(2000ms, 300ms).longestWait(20s), batchLeavesAfter / 2);
    EXPECT_LT(makeStream(100ms, 0ms).longestWait(20s), 2000ms);
}

TEST(Route, RequestWithLittleTimeWaitsForHalfOfIt)
{
    EXPECT_EQ(makeStream(500ms, 300ms).longestWait(3s), 1500ms);
    Route plain;
    plain.latencyObjective = 100ms;
    EXPECT_EQ(plain.longestWait(1s), 500ms);
}
