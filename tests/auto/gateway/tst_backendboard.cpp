// Where requests go, by what is known of backend servers.

#include <gateway/backendboard.h>
#include <gateway/gatewayconstants.h>
#include <gateway/wireformat.h>

#include <gtest/gtest.h>

using namespace Gateway;
using namespace std::chrono_literals;
using Utils::TimePoint;

namespace {

const TimePoint start = TimePoint() + 1h;

auto makeServer(const std::string &id, const std::string &domain = "a") -> BackendServer
{
    BackendServer server;
    server.id = id;
    server.service = "filing";
    server.failureDomain = domain;
    server.startedAtMs = 1;
    server.slots = 6;
    return server;
}

auto need() -> BackendNeed
{
    return {"filing", {}, {}, {}, {}};
}

auto fail(BackendBoard &board, const std::string &id, TimePoint now) -> void
{
    board.noteSent(id);
    board.noteEnded(id, SendOutcome::Failed, now);
}

} // namespace

TEST(BackendBoard, LeavingServerGetsNothingNew)
{
    BackendBoard board("a");
    auto server = makeServer("s1");
    board.update(server, start);
    EXPECT_EQ(board.choose(need(), start), "s1");
    server.isLeaving = true;
    board.update(server, start);
    EXPECT_FALSE(board.choose(need(), start));
    EXPECT_FALSE(board.hasService("filing"));
}

// Pattern: an engine tells in its answers that it leaves; its entry says so late or never, and may
// lapse and come back meanwhile.
TEST(BackendBoard, ServerThatSaidItLeavesGetsNothingNewWhateverTheListSays)
{
    BackendBoard board("a");
    const auto server = makeServer("s1");
    board.update(server, start);
    EXPECT_TRUE(board.noteLeaving("s1", server.startedAtMs));
    EXPECT_FALSE(board.noteLeaving("s1", server.startedAtMs));
    EXPECT_FALSE(board.choose(need(), start));
    board.update(server, start);
    EXPECT_FALSE(board.choose(need(), start));
    board.remove("s1");
    board.update(server, start);
    EXPECT_FALSE(board.choose(need(), start));
    EXPECT_FALSE(board.hasService("filing"));
    auto next = server;
    next.startedAtMs = 2;
    board.update(next, start);
    EXPECT_EQ(board.choose(need(), start), "s1");
    EXPECT_FALSE(board.noteLeaving("s1", server.startedAtMs)) << "an older incarnation's word";
    EXPECT_EQ(board.choose(need(), start), "s1");
}

// Pattern: a full engine refuses and says how long it wants nothing from this gateway.
TEST(BackendBoard, ServerThatWantsAPauseGetsNothingUntilItsEnd)
{
    BackendBoard board("a");
    board.update(makeServer("s1"), start);
    board.update(makeServer("s2"), start);
    board.notePause("s1", start + 2s);
    EXPECT_FALSE(board.pauseEnd(need(), start));
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(board.choose(need(), start + 1s), "s2");
        board.noteSent("s2");
    }
    EXPECT_FALSE(board.choose(need(), start + 1s)) << "not even when the other is full";
    board.notePause("s2", start + 3s);
    EXPECT_EQ(board.pauseEnd(need(), start), start + 2s);
    board.notePause("s1", start + 1s);
    EXPECT_EQ(board.pauseEnd(need(), start), start + 2s) << "a shorter one ends nothing";
    EXPECT_EQ(board.choose(need(), start + 2s), "s1");
}

TEST(BackendBoard, EqualLoadPrefersTheOwnFailureDomain)
{
    BackendBoard board("b");
    board.update(makeServer("s1", "a"), start);
    board.update(makeServer("s2", "b"), start);
    EXPECT_EQ(board.choose(need(), start), "s2");
    for (int i = 0; i < 3; ++i)
        board.noteSent("s2");
    EXPECT_EQ(board.choose(need(), start), "s1");
}

TEST(BackendBoard, NewIncarnationForgetsTheOldOnesModelsAndRejectsItsLateEntries)
{
    BackendBoard board("a");
    auto server = makeServer("s1");
    server.models["m"] = {};
    server.ordersAccepted = 9;
    board.update(server, start);
    auto restarted = makeServer("s1");
    restarted.startedAtMs = 2;
    EXPECT_TRUE(board.update(restarted, start));
    EXPECT_FALSE(board.isHeld({"filing", "m", {}, {}, {}}));
    EXPECT_FALSE(board.update(server, start));
    EXPECT_FALSE(board.isHeld({"filing", "m", {}, {}, {}}));
}

TEST(BackendBoard, OlderCountOfOrdersDoesNotOverwriteWhatTheEngineReported)
{
    BackendBoard board("a");
    board.update(makeServer("s1"), start);
    EngineReport report;
    report.models["m"] = {"a1"};
    report.ordersAccepted = 2;
    board.takeReport("s1", report);
    board.update(makeServer("s1"), start);
    EXPECT_TRUE(board.isHeld({"filing", "m", "a1", {}, {}}));
    board.noteMissing("s1", "m", "a1");
    EXPECT_FALSE(board.isHeld({"filing", "m", "a1", {}, {}}));
    EXPECT_TRUE(board.isHeld({"filing", "m", {}, {}, {}}));
}

// Pattern: engines that fail part of their requests while they count as healthy.
TEST(BackendBoard, FailingServerIsPassedOverAndTriedAgain)
{
    BackendBoard board("a");
    for (const char *id : {"s1", "s2", "s3"})
        board.update(makeServer(id), start);
    for (int i = 0; i < 8; ++i)
        fail(board, "s1", start);
    EXPECT_GT(board.ejectedUntil("s1"), start);
    for (int i = 0; i < 20; ++i)
        EXPECT_NE(board.choose(need(), start), "s1");
    BackendNeed onlyFailing = need();
    onlyFailing.excluded = {"s2", "s3"};
    EXPECT_FALSE(board.choose(onlyFailing, start));
    EXPECT_EQ(board.choose(onlyFailing, start + Constants::MaxEjectionTime), "s1");
}

TEST(BackendBoard, NeverEjectsMoreThanItsShare)
{
    BackendBoard board("a");
    for (const char *id : {"s1", "s2", "s3"}) {
        board.update(makeServer(id), start);
        for (int i = 0; i < 30; ++i)
            fail(board, id, start);
    }
    EXPECT_TRUE(board.choose(need(), start));
}

TEST(BackendBoard, ErrorsThatServicesReturnNowAndThenEjectNobody)
{
    BackendBoard board("a");
    for (const char *id : {"s1", "s2", "s3"})
        board.update(makeServer(id), start);
    for (int i = 0; i < 700; ++i) {
        board.noteSent("s1");
        board.noteEnded("s1", i % 7 == 0 ? SendOutcome::Failed : SendOutcome::Good, start);
        EXPECT_LE(board.ejectedUntil("s1"), start);
    }
}

TEST(BackendBoard, FullServerIsPassedOver)
{
    BackendBoard board("a");
    board.update(makeServer("s1"), start);
    board.setCapacity("filing", 2);
    board.noteSent("s1");
    EXPECT_TRUE(board.choose(need(), start));
    board.takeLoad("s1", {2, 0, 6}, start);
    EXPECT_FALSE(board.choose(need(), start));
    EXPECT_TRUE(board.choose(need(), start + Constants::ReportedLoadLifetime));
}
