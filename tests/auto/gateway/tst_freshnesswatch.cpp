// A question to the store that was swallowed shows by what other gateways know.

#include <gateway/stalenessdetector.h>

#include <gtest/gtest.h>

using Gateway::StalenessDetector;
using namespace std::chrono_literals;

namespace {

const Utils::TimePoint start = Utils::TimePoint() + 1h;

} // namespace

TEST(StalenessDetector, AsksAnewWhenOthersStayAhead)
{
    StalenessDetector watch(300ms);
    EXPECT_FALSE(watch.isDue(5, start));
    watch.notePeer(7, start);
    EXPECT_FALSE(watch.isDue(5, start + 200ms));
    EXPECT_TRUE(watch.isDue(5, start + 300ms));
    EXPECT_FALSE(watch.isDue(5, start + 400ms));
    EXPECT_TRUE(watch.isDue(5, start + 600ms));
}

TEST(StalenessDetector, AnswersThatComeInTimeEndTheMatter)
{
    StalenessDetector watch(300ms);
    watch.notePeer(7, start);
    EXPECT_FALSE(watch.isDue(7, start + 100ms));
    watch.notePeer(9, start + 1s);
    EXPECT_FALSE(watch.isDue(7, start + 1s + 200ms));
    EXPECT_FALSE(watch.isDue(9, start + 1s + 400ms));
}

TEST(StalenessDetector, PeersThatAreBehindSayNothing)
{
    StalenessDetector watch(300ms);
    watch.notePeer(3, start);
    EXPECT_FALSE(watch.isDue(5, start + 1s));
}

// Pattern: a slow link, on which each repeat delays the answers further.
TEST(StalenessDetector, RepeatsBecomeRarerUntilSomethingNewerIsKnown)
{
    StalenessDetector watch(300ms);
    watch.notePeer(7, start);
    int repeats = 0;
    for (auto passed = 0ms; passed <= 6s; passed += 25ms)
        repeats += watch.isDue(5, start + passed) ? 1 : 0;
    EXPECT_EQ(repeats, 5); // After 0.3, 0.6, 1.2, 2.4 and 4.8 s.
    EXPECT_FALSE(watch.isDue(6, start + 6s));
    EXPECT_FALSE(watch.isDue(6, start + 6s + 250ms));
    EXPECT_TRUE(watch.isDue(6, start + 6s + 300ms));
}

// Pattern: a large answer arrives on a slow link, without a pause; a lost connection ends it.
TEST(StalenessDetector, RepeatsWaitWhilePartsOfAnAnswerArrive)
{
    StalenessDetector watch(300ms);
    watch.notePeer(7, start);
    auto passed = 0ms;
    for (; passed < 2s; passed += 25ms) {
        watch.noteProgress(start + passed);
        EXPECT_FALSE(watch.isDue(5, start + passed)) << passed.count();
    }
    EXPECT_FALSE(watch.isDue(5, start + passed + 250ms));
    EXPECT_TRUE(watch.isDue(5, start + passed + 300ms));
}

// Pattern: an answer drips in and never ends.
TEST(StalenessDetector, AnswerThatDripsIsNotWaitedForWithoutEnd)
{
    StalenessDetector watch(300ms);
    watch.notePeer(7, start);
    int repeats = 0;
    for (auto passed = 0ms; passed <= 5s; passed += 25ms) {
        watch.noteProgress(start + passed);
        repeats += watch.isDue(5, start + passed) ? 1 : 0;
    }
    EXPECT_EQ(repeats, 2); // After 2.4 and 4.8 s.
}

TEST(StalenessDetector, AnswersThatUsuallyTakeLongAreWaitedFor)
{
    StalenessDetector watch(300ms);
    watch.noteAnswerTime(500ms);
    watch.notePeer(7, start);
    EXPECT_FALSE(watch.isDue(5, start));
    EXPECT_FALSE(watch.isDue(5, start + 900ms));
    EXPECT_TRUE(watch.isDue(5, start + 1s));
    watch.noteAnswerTime(4ms);
    EXPECT_FALSE(watch.isDue(5, start + 1200ms));
    EXPECT_TRUE(watch.isDue(5, start + 1300ms));
}
