// Tests which streams lose their version when a server's new incarnation is listed.

#include <gateway/gatewayconstants.h>
#include <gateway/streambeginnings.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

const Utils::TimePoint start = Utils::TimePoint() + 1h;

class StreamBeginningsTest : public testing::Test
{
protected:
    auto add(const std::string &attempt, const std::string &server, Utils::TimePoint connectedAt)
        -> void
    {
        beginnings.add({attempt, "lm", server, 1, connectedAt, nullptr}, listedUntil);
    }

    Utils::TimePoint listedUntil = start - 5s;
    std::vector<std::string> unproved;
    StreamBeginnings beginnings{
        [this](const StreamBeginnings::Beginning &stream) { unproved.push_back(stream.attempt); }};
};

} // namespace

// Guards against streams of a later incarnation that keep the version of the former one (issue 35,
// ORDER), and against a restart that makes all streams of a server unknown.
TEST_F(StreamBeginningsTest, OnlyStreamsThatTheNewIncarnationMayHaveBegunAreUnproved)
{
    add("on a connection from before", "s1", start - 2s);
    add("after", "s1", start);
    add("at another server", "s2", start);
    beginnings.noteRestart("s1", 2, start - 1s);
    EXPECT_EQ(unproved, std::vector<std::string>{"after"});
    beginnings.noteRestart("s1", 3, start - 1s);
    EXPECT_EQ(unproved.size(), 1U);
}

TEST_F(StreamBeginningsTest, EntryOfTheSameIncarnationChangesNothing)
{
    add("a1", "s1", start);
    beginnings.noteRestart("s1", 1, start - 1s);
    EXPECT_TRUE(unproved.empty());
    beginnings.noteRestart("s1", 2, start - 1s);
    EXPECT_EQ(unproved, std::vector<std::string>{"a1"});
}

TEST_F(StreamBeginningsTest, StreamsThatTheListHasProvedAreForgotten)
{
    add("a1", "s1", start - 4s);
    listedUntil = start - 4s;
    add("a2", "s1", start - 5s);
    beginnings.noteRestart("s1", 2, start - 10s);
    EXPECT_TRUE(unproved.empty());
}

// What can't be remembered is unknown, not proved.
TEST_F(StreamBeginningsTest, StreamsBeyondTheLimitAreUnproved)
{
    for (size_t i = 0; i <= Constants::MaxStreamBeginnings; ++i)
        add("a" + std::to_string(i), "s1", start);
    EXPECT_EQ(unproved, std::vector<std::string>{"a0"});
}
