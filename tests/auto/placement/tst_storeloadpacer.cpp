// Tests the limit on concurrent loads from the weight store.

#include <placement/storeloadlimiter.h>

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Placement::StoreLoadLimiter;

namespace {

/// Duration of a load from a store that runs `fullSpeed` loads at full speed and shares that
/// throughput among more.
auto took(std::chrono::milliseconds nominal, int concurrentLoads, int fullSpeed)
    -> std::chrono::milliseconds
{
    return concurrentLoads <= fullSpeed ? nominal : nominal * concurrentLoads / fullSpeed;
}

} // namespace

TEST(StoreLoadLimiter, FindsTheStoresCapacity)
{
    for (const int fullSpeed : {1, 2, 4, 6}) {
        StoreLoadLimiter limiter;
        for (int i = 0; i < 20; ++i)
            limiter.noteLoadFinished(7800ms, took(7800ms, limiter.limit(), fullSpeed),
                                     limiter.limit());
        EXPECT_GE(limiter.limit(), fullSpeed);
        EXPECT_LE(limiter.limit(), fullSpeed + 1);
    }
}

// The only engine with a busy model has crashed; the reload must not share the store with many
// other loads.
TEST(StoreLoadLimiter, StartsWithALowLimit)
{
    EXPECT_EQ(StoreLoadLimiter().limit(), 2);
}

TEST(StoreLoadLimiter, FewLoadsAtFullSpeedProveNothingAboutMore)
{
    StoreLoadLimiter limiter;
    limiter.noteLoadFinished(1000ms, 1000ms, 1);
    EXPECT_EQ(limiter.limit(), 2);
}

// Loads are always queued for the weight store.
TEST(StoreLoadLimiter, ProbesOneLoadAboveTheProvenLimit)
{
    StoreLoadLimiter limiter;
    limiter.noteLoadStarted(1);
    limiter.noteLoadStarted(2);
    limiter.noteLoadFinished(7800ms, 7800ms, 2);
    ASSERT_EQ(limiter.limit(), 3);
    limiter.noteLoadStarted(3);
    EXPECT_EQ(limiter.limit(), 2) << "until the duration of the probe is known";
    limiter.noteLoadFinished(7800ms, 11700ms, 3);
    for (int i = 0; i < 5; ++i) {
        limiter.noteLoadStarted(2);
        limiter.noteLoadFinished(7800ms, 7800ms, 2);
        EXPECT_EQ(limiter.limit(), 2);
    }
}

// The engine with the probing load has left, so its duration stays unknown.
TEST(StoreLoadLimiter, ProbesAgainAfterALostProbe)
{
    StoreLoadLimiter limiter;
    limiter.noteLoadFinished(7800ms, 7800ms, 2);
    limiter.noteLoadStarted(3);
    for (int i = 0; i < 20; ++i)
        limiter.noteLoadFinished(7800ms, 7800ms, 2);
    EXPECT_EQ(limiter.limit(), 3);
}
