// The soak's checker of streams with several software versions, on made-up streams.

#include "../shared/streamversionchecker.h"

#include <gtest/gtest.h>

#include <chrono>

namespace {

using namespace std::chrono_literals;
using Event = StreamVersionChecker::Event;

class StreamVersions : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        checker.noteServing("v1", 2, start);
        for (int i = 0; i < newStreams; ++i)
            checker.noteNewStream(i != 0);
    }

    auto takeUp(int count, bool goesOn, Utils::TimePoint sentAt) -> void
    {
        for (int i = 0; i < count; ++i) {
            const std::string stream = "s" + std::to_string(++streams);
            checker.noteTry(stream, {{1, "v1"}});
            checker.noteTakeUp(stream, sentAt, goesOn);
        }
    }

    static constexpr int newStreams = 100;
    const Utils::TimePoint start = Utils::TimePoint(1s);
    StreamVersionChecker checker;
    int streams = 0;
};

} // namespace

// Guards against a checker that misses a stream joined from two versions (issue 35, ORDER).
TEST_F(StreamVersions, EventsOfTwoVersionsInOneAnswerAreFound)
{
    EXPECT_TRUE(checker.noteTry("a", {{1, "v1"}, {2, "v1"}}).empty());
    EXPECT_EQ(checker.noteTry("b", {{1, "v1"}, {2, "v2"}, {3, "v2"}}).size(), 1U);
    EXPECT_EQ(checker.joined(), 1);
}

TEST_F(StreamVersions, EventsOfTwoVersionsOverTriesAreFound)
{
    EXPECT_TRUE(checker.noteTry("a", {{1, "v2"}, {2, "v2"}}).empty());
    EXPECT_TRUE(checker.noteTry("a", {}).empty());
    EXPECT_TRUE(checker.noteTry("a", {{3, "v2"}}).empty());
    EXPECT_EQ(checker.noteTry("a", {{4, "v1"}}).size(), 1U);
    EXPECT_EQ(checker.versionOf("a"), "v2");
    EXPECT_EQ(checker.joined(), 1);
}

TEST_F(StreamVersions, MissingAndRepeatedEventsAreFound)
{
    EXPECT_EQ(checker.noteTry("a", {{2, "v1"}}).size(), 1U);
    EXPECT_EQ(checker.noteTry("b", {{1, "v1"}, {3, "v1"}}).size(), 1U);
    EXPECT_TRUE(checker.noteTry("c", {{1, "v1"}, {2, "v1"}}).empty());
    EXPECT_EQ(checker.noteTry("c", {{2, "v1"}}).size(), 1U);
    EXPECT_EQ(checker.joined(), 0);
}

// Guards against a gateway that keeps ORDER by refusing all that callers take up (issue 35, LOST).
TEST_F(StreamVersions, RefusalOfAllTakeUpsIsFound)
{
    takeUp(StreamVersionChecker::MinTakeUps - 1, false, start);
    EXPECT_TRUE(checker.violations().empty());
    takeUp(1, false, start);
    EXPECT_EQ(checker.violations().size(), 1U);
}

TEST_F(StreamVersions, HalfOfTheShareOfNewStreamsIsEnough)
{
    takeUp(10, true, start);
    takeUp(10, false, start);
    EXPECT_TRUE(checker.violations().empty()) << checker.describeShares();
    takeUp(1, false, start);
    EXPECT_EQ(checker.violations().size(), 1U) << checker.describeShares();
}

// Nothing is owed while fewer than two servers of the version serve.
TEST_F(StreamVersions, TakeUpsWithoutTwoServersOfTheirVersionDoNotCount)
{
    takeUp(20, false, start - 1ms);
    EXPECT_EQ(checker.judgedTakeUps(), 0);
    checker.noteServing("v1", 1, start + 1s);
    takeUp(20, false, start + 2s);
    EXPECT_EQ(checker.judgedTakeUps(), 0);
    checker.noteServing("v1", 2, start + 3s);
    takeUp(20, false, start + 2s);
    EXPECT_EQ(checker.judgedTakeUps(), 0);
    takeUp(20, false, start + 3s);
    EXPECT_EQ(checker.judgedTakeUps(), 20);
    EXPECT_EQ(checker.violations().size(), 1U);
}
