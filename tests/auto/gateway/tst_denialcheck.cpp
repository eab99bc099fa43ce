// What may be denied for good by a configuration that may have aged.

#include "../shared/virtualscheduler.h"

#include <gateway/denialcheck.h>
#include <gateway/gatewayconstants.h>

#include <gtest/gtest.h>

#include <vector>

using Gateway::DenialCheck;
using namespace std::chrono_literals;

namespace {

constexpr auto lifetime = 1000ms;

struct Checked
{
    VirtualScheduler scheduler;
    Utils::TimePoint begun = scheduler.now();
    int questions = 0;
    Utils::Duration suspended{0};
    DenialCheck check{scheduler, lifetime, {[this] { ++questions; }, [this] { return suspended; }}};
};

} // namespace

TEST(DenialCheck, ConfirmationsCountForTheirLifetime)
{
    Checked checked;
    EXPECT_FALSE(checked.check.mayDeny());
    checked.check.noteStoreAnswer(checked.scheduler.now(), 5);
    EXPECT_TRUE(checked.check.mayDeny());
    checked.scheduler.pass(lifetime);
    EXPECT_TRUE(checked.check.mayDeny());
    checked.scheduler.pass(1ms);
    EXPECT_FALSE(checked.check.mayDeny());
    // An answer to an older question, late.
    checked.check.noteStoreAnswer(checked.begun - 1s, 5);
    EXPECT_FALSE(checked.check.mayDeny());
}

// Guards against DENIED of issue 22: others know a newer row than the one at hand.
TEST(DenialCheck, NewerRowElsewhereEndsDenialsUntilItIsKnownHere)
{
    Checked checked;
    checked.check.noteStoreAnswer(checked.scheduler.now(), 5);
    checked.check.notePeerRow(7, 5);
    EXPECT_FALSE(checked.check.mayDeny());
    checked.check.noteStoreAnswer(checked.begun - 100ms, 5);
    EXPECT_FALSE(checked.check.mayDeny());
    checked.check.noteStoreAnswer(checked.begun - 50ms, 7);
    EXPECT_TRUE(checked.check.mayDeny());
}

// A gateway that tells of a row which does not exist keeps nobody from denying for long.
TEST(DenialCheck, StoresWordCountsMoreThanAnotherGateways)
{
    Checked checked;
    checked.check.notePeerRow(1000000, 5);
    checked.scheduler.pass(10ms);
    checked.check.noteStoreAnswer(checked.scheduler.now(), 5);
    EXPECT_TRUE(checked.check.mayDeny());
    checked.check.notePeerRow(1000000, 5);
    EXPECT_TRUE(checked.check.mayDeny());
}

TEST(DenialCheck, UnreadableConfigurationDeniesNothing)
{
    Checked checked;
    checked.check.setUnreadable(true);
    checked.check.noteStoreAnswer(checked.scheduler.now(), 5);
    EXPECT_FALSE(checked.check.mayDeny());
    checked.check.setUnreadable(false);
    EXPECT_TRUE(checked.check.mayDeny());
}

// Pattern: strangers ask without end while the store is silent.
TEST(DenialCheck, QuestionsAndWaitingRequestsAreBounded)
{
    Checked checked;
    std::vector<DenialCheck::Ticket> tickets;
    for (int i = 0; i < 1000; ++i) {
        if (const auto ticket = checked.check.waitForConfirmation([] {}))
            tickets.push_back(*ticket);
        checked.scheduler.pass(10ms);
    }
    EXPECT_EQ(tickets.size(), Gateway::Constants::MaxUnconfirmedDenials);
    EXPECT_LE(checked.questions, 10s / Gateway::Constants::MaxConfirmationInterval + 3);
    for (const auto ticket : tickets)
        checked.check.cancel(ticket);
    const int before = checked.questions;
    checked.scheduler.pass(10s);
    EXPECT_EQ(checked.questions, before) << "nobody waits";
}

// Pattern: others told of a newer row, which is being asked for; one more question would share the
// link with its answer.
TEST(DenialCheck, NothingIsAskedForWhatIsKnownToBeMissing)
{
    Checked checked;
    checked.check.noteStoreAnswer(checked.scheduler.now(), 5);
    checked.check.notePeerRow(7, 5);
    checked.check.waitForConfirmation([] {});
    checked.scheduler.pass(1s);
    EXPECT_EQ(checked.questions, 0);
}

// Pattern: the machine was suspended, which the clock of the process does not count.
TEST(DenialCheck, ConfirmationsFromBeforeASuspensionDoNotCount)
{
    Checked checked;
    checked.check.noteStoreAnswer(checked.scheduler.now(), 5);
    checked.scheduler.pass(1ms);
    checked.suspended = 10s;
    EXPECT_FALSE(checked.check.mayDeny());
    // The answer to a question from before the suspension, which lay in the socket.
    checked.check.noteStoreAnswer(checked.begun, 5);
    EXPECT_FALSE(checked.check.mayDeny());
    checked.check.noteStoreAnswer(checked.scheduler.now(), 5);
    EXPECT_TRUE(checked.check.mayDeny());
}

TEST(DenialCheck, WaitingRequestsHearOfEachAnswerUntilTheyLeave)
{
    Checked checked;
    int calls = 0;
    std::optional<DenialCheck::Ticket> first;
    first = checked.check.waitForConfirmation([&] {
        ++calls;
        checked.check.cancel(*first);
    });
    int others = 0;
    checked.check.waitForConfirmation([&] { ++others; });
    checked.check.noteStoreAnswer(checked.scheduler.now(), 1);
    checked.check.noteStoreAnswer(checked.scheduler.now(), 2);
    EXPECT_EQ(calls, 1);
    EXPECT_EQ(others, 2);
}
