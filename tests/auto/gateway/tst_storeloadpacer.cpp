// How many loads from the weight store run at once.

#include <gateway/storeloadlimiter.h>

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Gateway::StoreLoadLimiter;

namespace {

/// A store that carries `fullSpeed` loads at full speed and shares that among more.
auto took(std::chrono::milliseconds nominal, int atOnce, int fullSpeed) -> std::chrono::milliseconds
{
    return atOnce <= fullSpeed ? nominal : nominal * atOnce / fullSpeed;
}

} // namespace

TEST(StoreLoadLimiter, FindsWhatTheStoreCarries)
{
    for (const int fullSpeed : {1, 2, 4, 6}) {
        StoreLoadLimiter pacer;
        for (int i = 0; i < 20; ++i)
            pacer.noteLoaded(7800ms, took(7800ms, pacer.limit(), fullSpeed), pacer.limit());
        EXPECT_GE(pacer.limit(), fullSpeed);
        EXPECT_LE(pacer.limit(), fullSpeed + 1);
    }
}

// Pattern: a busy model's only engine has crashed; its load must not share the store with many.
TEST(StoreLoadLimiter, BeginsWithFew)
{
    EXPECT_EQ(StoreLoadLimiter().limit(), 2);
}

TEST(StoreLoadLimiter, FewLoadsAtFullSpeedProveNothingAboutMore)
{
    StoreLoadLimiter pacer;
    pacer.noteLoaded(1000ms, 1000ms, 1);
    EXPECT_EQ(pacer.limit(), 2);
}

// Pattern: loads are in line for the weight store all the time.
TEST(StoreLoadLimiter, TriesOneLoadBeyondWhatRunsAtFullSpeed)
{
    StoreLoadLimiter pacer;
    pacer.noteBegun(1);
    pacer.noteBegun(2);
    pacer.noteLoaded(7800ms, 7800ms, 2);
    ASSERT_EQ(pacer.limit(), 3);
    pacer.noteBegun(3);
    EXPECT_EQ(pacer.limit(), 2) << "until it is known how long that one takes";
    pacer.noteLoaded(7800ms, 11700ms, 3);
    for (int i = 0; i < 5; ++i) {
        pacer.noteBegun(2);
        pacer.noteLoaded(7800ms, 7800ms, 2);
        EXPECT_EQ(pacer.limit(), 2);
    }
}

// Pattern: the engine with the load that was tried has left; nobody tells how long it would have
// taken.
TEST(StoreLoadLimiter, TriesAgainAfterALostTrial)
{
    StoreLoadLimiter pacer;
    pacer.noteLoaded(7800ms, 7800ms, 2);
    pacer.noteBegun(3);
    for (int i = 0; i < 20; ++i)
        pacer.noteLoaded(7800ms, 7800ms, 2);
    EXPECT_EQ(pacer.limit(), 3);
}
