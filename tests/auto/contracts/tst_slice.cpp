#include <contracts/slice.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Contracts;
using Utils::TimePoint;

namespace {

constexpr double residue = 1e-6;

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Utils::fromSeconds(seconds);
}

} // namespace

TEST(Slice, RefillsUpToItsCapacity)
{
    Slice slice({10, 50, 0}, at(0));
    EXPECT_NEAR(slice.amount(at(2)).level, 20, residue);
    EXPECT_NEAR(slice.amount(at(100)).level, 50, residue);
}

TEST(Slice, SpendsOnlyWhatItHolds)
{
    Slice slice({0, 50, 30}, at(0));
    EXPECT_FALSE(slice.spend(31, at(0)));
    EXPECT_TRUE(slice.spend(30, at(0)));
    EXPECT_FALSE(slice.spend(1, at(0)));
}

TEST(Slice, SplitNeverTakesMoreLevelThanCapacity)
{
    Slice slice({10, 50, 50}, at(0));
    const auto part = slice.split({0, 5, 40}, at(0));
    EXPECT_NEAR(part.level, 5, residue);
    EXPECT_LE(slice.amount(at(0)).level, slice.amount(at(0)).capacity);
}

RC_GTEST_PROP(Slice, SplitAndMergeNeverIncreaseTheSum, ())
{
    const auto number = [] { return *rc::gen::inRange(0, 1000); };
    Slice left({double(number()), double(number()), double(number())}, at(0));
    Slice right({double(number()), double(number()), double(number())}, at(0));
    const auto leftBefore = left.amount(at(0));
    const auto rightBefore = right.amount(at(0));
    for (int i = 0; i < 20; ++i) {
        const SliceAmount wanted{double(number()), double(number()), double(number())};
        Slice &giver = number() % 2 == 0 ? left : right;
        Slice &taker = &giver == &left ? right : left;
        taker.merge(giver.split(wanted, at(0)), at(0));
        const auto a = left.amount(at(0));
        const auto b = right.amount(at(0));
        RC_ASSERT(a.rate + b.rate <= leftBefore.rate + rightBefore.rate + residue);
        RC_ASSERT(a.capacity + b.capacity <= leftBefore.capacity + rightBefore.capacity + residue);
        RC_ASSERT(a.level + b.level <= leftBefore.level + rightBefore.level + residue);
        RC_ASSERT(a.level <= a.capacity + residue && b.level <= b.capacity + residue);
    }
}
