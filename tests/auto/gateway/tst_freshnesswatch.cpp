// Tests the detection of lost polls of the store by the versions that other gateways know.

#include <availability/stalenessdetector.h>

#include <gtest/gtest.h>

using Gateway::StalenessDetector;
using namespace std::chrono_literals;

namespace {

auto row(std::uint64_t number) -> Utils::StoreVersion
{
    return {Utils::StoreEra(1), number};
}

const Utils::TimePoint start = Utils::TimePoint() + 1h;

} // namespace

TEST(StalenessDetector, RepeatsWhenPeersStayAhead)
{
    Availability::StalenessDetector detector(300ms);
    EXPECT_FALSE(detector.isRepeatDue(row(5), start));
    detector.notePeerVersion(row(7), start);
    EXPECT_FALSE(detector.isRepeatDue(row(5), start + 200ms));
    EXPECT_TRUE(detector.isRepeatDue(row(5), start + 300ms));
    EXPECT_FALSE(detector.isRepeatDue(row(5), start + 400ms));
    EXPECT_TRUE(detector.isRepeatDue(row(5), start + 600ms));
}

TEST(StalenessDetector, AnswersInTimeNeedNoRepeat)
{
    Availability::StalenessDetector detector(300ms);
    detector.notePeerVersion(row(7), start);
    EXPECT_FALSE(detector.isRepeatDue(row(7), start + 100ms));
    detector.notePeerVersion(row(9), start + 1s);
    EXPECT_FALSE(detector.isRepeatDue(row(7), start + 1s + 200ms));
    EXPECT_FALSE(detector.isRepeatDue(row(9), start + 1s + 400ms));
}

TEST(StalenessDetector, PeersThatAreBehindAreIgnored)
{
    Availability::StalenessDetector detector(300ms);
    detector.notePeerVersion(row(3), start);
    EXPECT_FALSE(detector.isRepeatDue(row(5), start + 1s));
}

// On a slow link, each repeat delays the answers further.
TEST(StalenessDetector, RepeatsBackOffUntilANewerVersionIsKnown)
{
    Availability::StalenessDetector detector(300ms);
    detector.notePeerVersion(row(7), start);
    int repeats = 0;
    for (auto passed = 0ms; passed <= 6s; passed += 25ms)
        repeats += detector.isRepeatDue(row(5), start + passed) ? 1 : 0;
    EXPECT_EQ(repeats, 5); // After 0.3, 0.6, 1.2, 2.4 and 4.8 s.
    EXPECT_FALSE(detector.isRepeatDue(row(6), start + 6s));
    EXPECT_FALSE(detector.isRepeatDue(row(6), start + 6s + 250ms));
    EXPECT_TRUE(detector.isRepeatDue(row(6), start + 6s + 300ms));
}

// A large answer arrives continuously on a slow link until the connection is lost.
TEST(StalenessDetector, RepeatsWaitWhilePartsOfAnAnswerArrive)
{
    Availability::StalenessDetector detector(300ms);
    detector.notePeerVersion(row(7), start);
    auto passed = 0ms;
    for (; passed < 2s; passed += 25ms) {
        detector.noteProgress(start + passed);
        EXPECT_FALSE(detector.isRepeatDue(row(5), start + passed)) << passed.count();
    }
    EXPECT_FALSE(detector.isRepeatDue(row(5), start + passed + 250ms));
    EXPECT_TRUE(detector.isRepeatDue(row(5), start + passed + 300ms));
}

// Parts of an answer keep arriving, but it never ends.
TEST(StalenessDetector, SlowAnswerIsNotWaitedForIndefinitely)
{
    Availability::StalenessDetector detector(300ms);
    detector.notePeerVersion(row(7), start);
    int repeats = 0;
    for (auto passed = 0ms; passed <= 5s; passed += 25ms) {
        detector.noteProgress(start + passed);
        repeats += detector.isRepeatDue(row(5), start + passed) ? 1 : 0;
    }
    EXPECT_EQ(repeats, 2); // After 2.4 and 4.8 s.
}

TEST(StalenessDetector, TimeoutFollowsTheUsualAnswerTime)
{
    Availability::StalenessDetector detector(300ms);
    detector.noteAnswerTime(500ms);
    detector.notePeerVersion(row(7), start);
    EXPECT_FALSE(detector.isRepeatDue(row(5), start));
    EXPECT_FALSE(detector.isRepeatDue(row(5), start + 900ms));
    EXPECT_TRUE(detector.isRepeatDue(row(5), start + 1s));
    detector.noteAnswerTime(4ms);
    EXPECT_FALSE(detector.isRepeatDue(row(5), start + 1200ms));
    EXPECT_TRUE(detector.isRepeatDue(row(5), start + 1300ms));
}
