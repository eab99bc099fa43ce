#include <control/acceptancetracker.h>

#include <gtest/gtest.h>

using namespace Control;

namespace {

auto registration(Revision revision, const std::string &name) -> Change
{
    const RegisteredInstance instance{name, "agent", "north", "127.0.0.1:1", "inc-" + name};
    return {revision, "t", name, "register", 0, {{instanceItemKey(name), toJson(instance)}}, {}};
}

auto removal(Revision revision, const std::string &name) -> Change
{
    return {revision, "t", name, "gone", 0, {}, {instanceItemKey(name)}};
}

auto stateOf(const std::vector<std::string> &names) -> ControlState
{
    ControlState state;
    for (const auto &name : names)
        state.apply(registration(state.revision() + 1, name));
    return state;
}

} // namespace

TEST(AcceptanceTracker, NeedsAMajorityInTwoRounds)
{
    const auto state = stateOf({"a", "b", "c"});
    AcceptanceTracker tracker(state, 3);
    tracker.handleAnswer(1, "a", "inc-a", 3);
    EXPECT_EQ(tracker.round(), 1);
    tracker.handleAnswer(1, "b", "inc-b", 3);
    EXPECT_EQ(tracker.round(), 2);
    EXPECT_FALSE(tracker.isAccepted())
        << "the first round does not show that all held it at the same time";
    tracker.handleAnswer(2, "a", "inc-a", 3);
    EXPECT_FALSE(tracker.isAccepted());
    tracker.handleAnswer(2, "b", "inc-b", 3);
    EXPECT_TRUE(tracker.isAccepted());
}

TEST(AcceptanceTracker, LateAnswersOfTheFirstRoundDoNotConfirm)
{
    const auto state = stateOf({"a", "b", "c"});
    AcceptanceTracker tracker(state, 3);
    tracker.handleAnswer(1, "a", "inc-a", 3);
    tracker.handleAnswer(1, "b", "inc-b", 3);
    tracker.handleAnswer(1, "a", "inc-a", 3);
    tracker.handleAnswer(1, "b", "inc-b", 3);
    EXPECT_FALSE(tracker.isAccepted());
}

TEST(AcceptanceTracker, ARestartedHolderDoesNotCount)
{
    const auto state = stateOf({"a", "b", "c"});
    AcceptanceTracker tracker(state, 3);
    tracker.handleAnswer(1, "a", "inc-a", 3);
    tracker.handleAnswer(1, "b", "inc-b", 3);
    tracker.handleAnswer(2, "a", "another", 3);
    tracker.handleAnswer(2, "b", "inc-b", 3);
    EXPECT_FALSE(tracker.isAccepted());
}

TEST(AcceptanceTracker, HoldersOfOlderRevisionsDoNotCount)
{
    const auto state = stateOf({"a", "b", "c"});
    AcceptanceTracker tracker(state, 3);
    tracker.handleAnswer(1, "a", "inc-a", 2);
    tracker.handleAnswer(1, "b", "inc-b", 2);
    EXPECT_EQ(tracker.holderCount(), 0U);
}

TEST(AcceptanceTracker, AGrowingRegisterNeedsAMajorityOfTheOldOneToo)
{
    // a, b and c may still use the register of three names; d to h registered later.
    const auto state = stateOf({"a", "b", "c", "d", "e", "f", "g", "h"});
    AcceptanceTracker tracker(state, 8);
    for (const int round : {1, 2}) {
        for (const auto *name : {"d", "e", "f", "g", "h"})
            tracker.handleAnswer(round, name, std::string("inc-") + name, 8);
    }
    EXPECT_FALSE(tracker.isAccepted()) << "a, b and c could form a majority of their own";
    for (const int round : {1, 2}) {
        for (const auto *name : {"a", "b"})
            tracker.handleAnswer(round, name, std::string("inc-") + name, 8);
    }
    for (const auto *name : {"a", "b", "d", "e", "f", "g", "h"})
        tracker.handleAnswer(2, name, std::string("inc-") + name, 8);
    EXPECT_TRUE(tracker.isAccepted());
}

TEST(AcceptanceTracker, RegistersFromBeforeAnAcceptedOneNoLongerCount)
{
    auto state = stateOf({"a", "b", "c", "d", "e"});
    const auto acceptedWithoutA = [&state](Revision revision) {
        AcceptanceTracker tracker(state, revision);
        for (const int round : {1, 2}) {
            for (const auto *name : {"b", "c", "d", "e"})
                tracker.handleAnswer(round, name, std::string("inc-") + name, revision);
        }
        return tracker.isAccepted();
    };
    EXPECT_FALSE(acceptedWithoutA(5)) << "a was once the only registered instance";
    state.apply({6, "t", "d", "mark", 0, {{acceptedRegisterItemKey, {{"revision", 5}}}}, {}});
    EXPECT_TRUE(acceptedWithoutA(6));
}

TEST(AcceptanceTracker, RemovedInstancesCannotFormAMajority)
{
    auto state = stateOf({"a", "b", "c"});
    state.apply(removal(4, "b"));
    state.apply(removal(5, "c"));
    AcceptanceTracker tracker(state, 5);
    tracker.handleAnswer(1, "a", "inc-a", 5);
    tracker.handleAnswer(2, "a", "inc-a", 5);
    EXPECT_TRUE(tracker.isAccepted());
}
