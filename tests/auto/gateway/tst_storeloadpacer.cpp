// How many loads from the weight store run at once.

#include <gateway/storeloadpacer.h>

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Gateway::StoreLoadPacer;

namespace {

/// A store that carries `fullSpeed` loads at full speed and shares that among more.
auto took(std::chrono::milliseconds nominal, int atOnce, int fullSpeed) -> std::chrono::milliseconds
{
    return atOnce <= fullSpeed ? nominal : nominal * atOnce / fullSpeed;
}

} // namespace

TEST(StoreLoadPacer, FindsWhatTheStoreCarries)
{
    for (const int fullSpeed : {1, 2, 4, 6}) {
        StoreLoadPacer pacer;
        for (int i = 0; i < 20; ++i)
            pacer.noteLoaded(7800ms, took(7800ms, pacer.limit(), fullSpeed), pacer.limit());
        EXPECT_GE(pacer.limit(), fullSpeed);
        EXPECT_LE(pacer.limit(), fullSpeed + 1);
    }
}

// Pattern: a busy model's only engine has crashed; its load must not share the store with many.
TEST(StoreLoadPacer, BeginsWithFew)
{
    EXPECT_EQ(StoreLoadPacer().limit(), 2);
}

TEST(StoreLoadPacer, FewLoadsAtFullSpeedProveNothingAboutMore)
{
    StoreLoadPacer pacer;
    pacer.noteLoaded(1000ms, 1000ms, 1);
    EXPECT_EQ(pacer.limit(), 2);
}
