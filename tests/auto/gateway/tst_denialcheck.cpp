// Tests when a possibly outdated configuration may deny requests for good.

#include "../shared/virtualscheduler.h"

#include <gateway/denialcheck.h>
#include <gateway/gatewayconstants.h>

#include <gtest/gtest.h>

#include <vector>

using Gateway::DenialCheck;
using namespace std::chrono_literals;

namespace {

auto row(std::uint64_t number) -> Utils::StoreVersion
{
    return {Utils::StoreEra(1), number};
}

constexpr auto lifetime = 1000ms;

struct DenialCheckFixture
{
    VirtualScheduler scheduler;
    Utils::TimePoint startedAt = scheduler.now();
    int storeQueries = 0;
    Utils::Duration suspended{0};
    DenialCheck check{
        scheduler, lifetime, {[this] { ++storeQueries; }, [this] { return suspended; }}};
};

} // namespace

TEST(DenialCheck, ConfirmationsAreValidForTheirLifetime)
{
    DenialCheckFixture fixture;
    EXPECT_FALSE(fixture.check.mayDeny());
    fixture.check.noteStoreAnswer(fixture.scheduler.now(), row(5));
    EXPECT_TRUE(fixture.check.mayDeny());
    fixture.scheduler.advance(lifetime);
    EXPECT_TRUE(fixture.check.mayDeny());
    fixture.scheduler.advance(1ms);
    EXPECT_FALSE(fixture.check.mayDeny());
    // A late answer to an older query.
    fixture.check.noteStoreAnswer(fixture.startedAt - 1s, row(5));
    EXPECT_FALSE(fixture.check.mayDeny());
}

// Issue 22 (DENIED in the soak test): a gateway denied requests although its peers knew a newer row
// of the configuration.
TEST(DenialCheck, NewerPeerRowBlocksDenialsUntilItIsKnownLocally)
{
    DenialCheckFixture fixture;
    fixture.check.noteStoreAnswer(fixture.scheduler.now(), row(5));
    fixture.check.notePeerRow(row(7), row(5));
    EXPECT_FALSE(fixture.check.mayDeny());
    fixture.check.noteStoreAnswer(fixture.startedAt - 100ms, row(5));
    EXPECT_FALSE(fixture.check.mayDeny());
    fixture.check.noteStoreAnswer(fixture.startedAt - 50ms, row(7));
    EXPECT_TRUE(fixture.check.mayDeny());
}

// A peer that reports a nonexistent row must not block denials for long.
TEST(DenialCheck, StoreAnswerOverridesPeerReport)
{
    DenialCheckFixture fixture;
    fixture.check.notePeerRow(row(1000000), row(5));
    fixture.scheduler.advance(10ms);
    fixture.check.noteStoreAnswer(fixture.scheduler.now(), row(5));
    EXPECT_TRUE(fixture.check.mayDeny());
    fixture.check.notePeerRow(row(1000000), row(5));
    EXPECT_TRUE(fixture.check.mayDeny());
}

TEST(DenialCheck, UnreadableConfigurationDeniesNothing)
{
    DenialCheckFixture fixture;
    fixture.check.setUnreadable(true);
    fixture.check.noteStoreAnswer(fixture.scheduler.now(), row(5));
    EXPECT_FALSE(fixture.check.mayDeny());
    fixture.check.setUnreadable(false);
    EXPECT_TRUE(fixture.check.mayDeny());
}

// Unknown callers send requests continuously while the store does not answer.
TEST(DenialCheck, StoreQueriesAndWaitingRequestsAreBounded)
{
    DenialCheckFixture fixture;
    std::vector<DenialCheck::Ticket> tickets;
    for (int i = 0; i < 1000; ++i) {
        if (const auto ticket = fixture.check.waitForConfirmation([] {}))
            tickets.push_back(*ticket);
        fixture.scheduler.advance(10ms);
    }
    EXPECT_EQ(tickets.size(), Gateway::Constants::MaxUnconfirmedDenials);
    EXPECT_LE(fixture.storeQueries, 10s / Gateway::Constants::MaxConfirmationInterval + 3);
    for (const auto ticket : tickets)
        fixture.check.cancel(ticket);
    const int queriesBefore = fixture.storeQueries;
    fixture.scheduler.advance(10s);
    EXPECT_EQ(fixture.storeQueries, queriesBefore) << "no request waits";
}

// Peers reported a newer row, and a query for it is pending. An additional query would share the
// link with its answer.
TEST(DenialCheck, NoQueryIsSentWhileANewerRowIsKnownToExist)
{
    DenialCheckFixture fixture;
    fixture.check.noteStoreAnswer(fixture.scheduler.now(), row(5));
    fixture.check.notePeerRow(row(7), row(5));
    fixture.check.waitForConfirmation([] {});
    fixture.scheduler.advance(1s);
    EXPECT_EQ(fixture.storeQueries, 0);
}

// The machine was suspended; the process's clock does not count that time.
TEST(DenialCheck, ConfirmationsFromBeforeASuspensionAreIgnored)
{
    DenialCheckFixture fixture;
    fixture.check.noteStoreAnswer(fixture.scheduler.now(), row(5));
    fixture.scheduler.advance(1ms);
    fixture.suspended = 10s;
    EXPECT_FALSE(fixture.check.mayDeny());
    // The answer to a query from before the suspension, which was still buffered in the socket.
    fixture.check.noteStoreAnswer(fixture.startedAt, row(5));
    EXPECT_FALSE(fixture.check.mayDeny());
    fixture.check.noteStoreAnswer(fixture.scheduler.now(), row(5));
    EXPECT_TRUE(fixture.check.mayDeny());
}

TEST(DenialCheck, WaitingRequestsAreNotifiedOfEachAnswerUntilCancelled)
{
    DenialCheckFixture fixture;
    int calls = 0;
    std::optional<DenialCheck::Ticket> first;
    first = fixture.check.waitForConfirmation([&] {
        ++calls;
        fixture.check.cancel(*first);
    });
    int others = 0;
    fixture.check.waitForConfirmation([&] { ++others; });
    fixture.check.noteStoreAnswer(fixture.scheduler.now(), row(1));
    fixture.check.noteStoreAnswer(fixture.scheduler.now(), row(2));
    EXPECT_EQ(calls, 1);
    EXPECT_EQ(others, 2);
}

// Guards against a denial by a configuration that the store had lost (issue 32, CONFIG): a gateway
// that was started then holds an older one than the others, and the store confirms it.
TEST(DenialCheck, NewerConfigurationOfAnotherGatewayForbidsDenialsForAWhile)
{
    DenialCheckFixture fixture;
    fixture.check.noteStoreAnswer(fixture.scheduler.now(), row(5));
    fixture.check.noteNewerConfiguration();
    EXPECT_FALSE(fixture.check.mayDeny());
    fixture.check.noteConfigurationTaken();
    EXPECT_TRUE(fixture.check.mayDeny());
    // A report that is not repeated has no lasting effect.
    fixture.check.noteNewerConfiguration();
    fixture.scheduler.advance(Gateway::Constants::NewerConfigurationLifetime);
    fixture.check.noteStoreAnswer(fixture.scheduler.now(), row(5));
    EXPECT_TRUE(fixture.check.mayDeny());
}
