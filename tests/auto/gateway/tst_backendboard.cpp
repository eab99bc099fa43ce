// Tests the selection of the backend server for a request.

#include <gateway/backendregistry.h>
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

auto requirements() -> BackendRequirements
{
    return {"filing", {}, {}, {}, {}};
}

auto fail(BackendRegistry &registry, const std::string &id, TimePoint now) -> void
{
    registry.noteSent(id);
    registry.noteEnded(id, SendOutcome::Failed, now);
}

} // namespace

TEST(BackendRegistry, LeavingServerGetsNoNewRequests)
{
    BackendRegistry registry("a");
    auto server = makeServer("s1");
    registry.update(server, start);
    EXPECT_EQ(registry.choose(requirements(), start), "s1");
    server.isLeaving = true;
    registry.update(server, start);
    EXPECT_FALSE(registry.choose(requirements(), start));
    EXPECT_FALSE(registry.hasService("filing"));
}

// An engine announces in its answers that it is leaving. Its entry in the list shows this late or
// never, and may expire and reappear meanwhile.
TEST(BackendRegistry, ServerThatAnnouncedLeavingGetsNoNewRequestsWhateverTheListSays)
{
    BackendRegistry registry("a");
    const auto server = makeServer("s1");
    registry.update(server, start);
    EXPECT_TRUE(registry.noteLeaving("s1", server.startedAtMs));
    EXPECT_FALSE(registry.noteLeaving("s1", server.startedAtMs));
    EXPECT_FALSE(registry.choose(requirements(), start));
    registry.update(server, start);
    EXPECT_FALSE(registry.choose(requirements(), start));
    registry.remove("s1");
    registry.update(server, start);
    EXPECT_FALSE(registry.choose(requirements(), start));
    EXPECT_FALSE(registry.hasService("filing"));
    auto next = server;
    next.startedAtMs = 2;
    registry.update(next, start);
    EXPECT_EQ(registry.choose(requirements(), start), "s1");
    EXPECT_FALSE(registry.noteLeaving("s1", server.startedAtMs))
        << "announced by an older incarnation";
    EXPECT_EQ(registry.choose(requirements(), start), "s1");
}

// A full engine refuses a request and announces for how long it accepts none from this gateway.
TEST(BackendRegistry, PausedServerGetsNoRequestsUntilThePauseEnds)
{
    BackendRegistry registry("a");
    registry.update(makeServer("s1"), start);
    registry.update(makeServer("s2"), start);
    registry.notePause("s1", start + 2s);
    EXPECT_FALSE(registry.pauseEnd(requirements(), start));
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(registry.choose(requirements(), start + 1s), "s2");
        registry.noteSent("s2");
    }
    EXPECT_FALSE(registry.choose(requirements(), start + 1s)) << "not even when the other is full";
    registry.notePause("s2", start + 3s);
    EXPECT_EQ(registry.pauseEnd(requirements(), start), start + 2s);
    registry.notePause("s1", start + 1s);
    EXPECT_EQ(registry.pauseEnd(requirements(), start), start + 2s)
        << "a shorter pause does not end the longer one";
    EXPECT_EQ(registry.choose(requirements(), start + 2s), "s1");
}

TEST(BackendRegistry, EqualLoadPrefersTheOwnFailureDomain)
{
    BackendRegistry registry("b");
    registry.update(makeServer("s1", "a"), start);
    registry.update(makeServer("s2", "b"), start);
    EXPECT_EQ(registry.choose(requirements(), start), "s2");
    for (int i = 0; i < 3; ++i)
        registry.noteSent("s2");
    EXPECT_EQ(registry.choose(requirements(), start), "s1");
}

TEST(BackendRegistry, NewIncarnationForgetsTheOldOnesModelsAndRejectsItsLateEntries)
{
    BackendRegistry registry("a");
    auto server = makeServer("s1");
    server.models["m"] = {};
    server.ordersAccepted = 9;
    registry.update(server, start);
    auto restarted = makeServer("s1");
    restarted.startedAtMs = 2;
    EXPECT_TRUE(registry.update(restarted, start));
    EXPECT_FALSE(registry.isHeld({"filing", "m", {}, {}, {}}));
    EXPECT_FALSE(registry.update(server, start));
    EXPECT_FALSE(registry.isHeld({"filing", "m", {}, {}, {}}));
}

TEST(BackendRegistry, OlderCountOfOrdersDoesNotOverwriteWhatTheEngineReported)
{
    BackendRegistry registry("a");
    registry.update(makeServer("s1"), start);
    EngineReport report;
    report.models["m"] = {"a1"};
    report.ordersAccepted = 2;
    registry.applyReport("s1", report);
    registry.update(makeServer("s1"), start);
    EXPECT_TRUE(registry.isHeld({"filing", "m", "a1", {}, {}}));
    registry.noteMissing("s1", "m", "a1");
    EXPECT_FALSE(registry.isHeld({"filing", "m", "a1", {}, {}}));
    EXPECT_TRUE(registry.isHeld({"filing", "m", {}, {}, {}}));
}

// An engine fails part of its requests while the list shows it as healthy.
TEST(BackendRegistry, FailingServerIsEjectedAndRetried)
{
    BackendRegistry registry("a");
    for (const char *id : {"s1", "s2", "s3"})
        registry.update(makeServer(id), start);
    for (int i = 0; i < 8; ++i)
        fail(registry, "s1", start);
    EXPECT_GT(registry.ejectedUntil("s1"), start);
    for (int i = 0; i < 20; ++i)
        EXPECT_NE(registry.choose(requirements(), start), "s1");
    BackendRequirements onlyFailing = requirements();
    onlyFailing.excluded = {"s2", "s3"};
    EXPECT_FALSE(registry.choose(onlyFailing, start));
    EXPECT_EQ(registry.choose(onlyFailing, start + Constants::MaxEjectionTime), "s1");
}

TEST(BackendRegistry, NeverEjectsMoreThanTheAllowedShare)
{
    BackendRegistry registry("a");
    for (const char *id : {"s1", "s2", "s3"}) {
        registry.update(makeServer(id), start);
        for (int i = 0; i < 30; ++i)
            fail(registry, id, start);
    }
    EXPECT_TRUE(registry.choose(requirements(), start));
}

TEST(BackendRegistry, OccasionalErrorsEjectNoServer)
{
    BackendRegistry registry("a");
    for (const char *id : {"s1", "s2", "s3"})
        registry.update(makeServer(id), start);
    for (int i = 0; i < 700; ++i) {
        registry.noteSent("s1");
        registry.noteEnded("s1", i % 7 == 0 ? SendOutcome::Failed : SendOutcome::Good, start);
        EXPECT_LE(registry.ejectedUntil("s1"), start);
    }
}

TEST(BackendRegistry, FullServerIsSkipped)
{
    BackendRegistry registry("a");
    registry.update(makeServer("s1"), start);
    registry.setCapacity("filing", 2);
    registry.noteSent("s1");
    EXPECT_TRUE(registry.choose(requirements(), start));
    registry.updateLoad("s1", {2, 0, 6}, start);
    EXPECT_FALSE(registry.choose(requirements(), start));
    EXPECT_TRUE(registry.choose(requirements(), start + Constants::ReportedLoadLifetime));
}

// Load pattern: a noisy neighbour on a server's machine. Guards against requests that are sent
// there while an equally loaded server is free of it, and against a server avoided for good.
TEST(BackendRegistry, ServerOnASlowedMachineGetsFewerRequestsWhileItReportsSo)
{
    BackendRegistry registry("a");
    registry.update(makeServer("s1"), start);
    registry.update(makeServer("s2"), start);
    const std::string preferred = *registry.choose(requirements(), start);
    const std::string other = preferred == "s1" ? "s2" : "s1";
    registry.updateLoad(preferred, {0, 0, 6, 2.0}, start);
    EXPECT_EQ(registry.choose(requirements(), start), other);
    registry.noteSent(other);
    registry.noteSent(other);
    EXPECT_EQ(registry.choose(requirements(), start), preferred) << "slow is better than busy";
    registry.noteEnded(other, SendOutcome::Good, start);
    registry.noteEnded(other, SendOutcome::Good, start);
    EXPECT_EQ(registry.choose(requirements(), start + 10s), preferred);
}

// Load pattern: prompts longer than the mean. Guards against a server that crashes because its
// slots are free but its memory is not, and against memory that stays reserved after a restart.
TEST(BackendRegistry, ServerWithoutMemoryForTheRequestIsSkipped)
{
    BackendRegistry registry("a");
    registry.setCapacity("filing", 32, 10000);
    registry.update(makeServer("s1"), start);
    Routing::RequestProfile profile;
    profile.service = "filing";
    profile.promptTokens = 4000;
    profile.maxAnswerTokens = 500;
    BackendRequirements required = requirements();
    required.profile = &profile;
    std::vector<Routing::RunningRequest> runs;
    for (int i = 0; i < 2; ++i) {
        ASSERT_EQ(registry.choose(required, start), "s1") << i;
        runs.push_back(registry.noteRequest("s1", profile, start));
        registry.noteSent("s1");
    }
    EXPECT_FALSE(registry.choose(required, start));
    profile.promptTokens = 100;
    profile.maxAnswerTokens = 10;
    EXPECT_FALSE(registry.choose(required, start)) << "a tenth of the memory stays free";
    profile.promptTokens = 4000;
    auto *state = registry.stateOf("s1", 1);
    ASSERT_TRUE(state);
    registry.selector().noteEnded(profile, runs[0], *state, true);
    registry.noteEnded("s1", SendOutcome::Good, start);
    EXPECT_EQ(registry.choose(required, start), "s1");
    auto restarted = makeServer("s1");
    restarted.startedAtMs = 2;
    registry.update(restarted, start);
    EXPECT_FALSE(registry.stateOf("s1", 1));
    profile.promptTokens = 9000;
    EXPECT_EQ(registry.choose(required, start + 1s), "s1");
}

// Guards against: a server whose entry was overwritten stays in use, or counts as ended.
TEST(BackendRegistry, ServerWithAnUnreadableEntryIsUnusedUntilTheNextUpdate)
{
    BackendRegistry registry("a");
    EXPECT_FALSE(registry.noteUnreadable("e1"));
    registry.update(makeServer("e1"), start);
    registry.noteSent("e1");
    EXPECT_TRUE(registry.noteUnreadable("e1"));
    EXPECT_FALSE(registry.noteUnreadable("e1"));
    EXPECT_FALSE(registry.choose(requirements(), start));
    EXPECT_FALSE(registry.hasService("filing"));
    EXPECT_EQ(registry.inFlight("e1"), 1);
    registry.update(makeServer("e2"), start);
    EXPECT_EQ(registry.choose(requirements(), start), "e2");
    registry.remove("e2");
    registry.update(makeServer("e1"), start);
    EXPECT_EQ(registry.choose(requirements(), start), "e1");
    EXPECT_EQ(registry.inFlight("e1"), 1);
}

// Guards against streams that go on at another software version (issue 35, ORDER): no question of
// the registry may leave the version out, and an unnamed one equals none.
TEST(BackendRegistry, RequiredVersionHoldsForEveryQuestion)
{
    BackendRegistry registry("a");
    auto old = makeServer("s1");
    old.softwareVersion = "v1";
    auto unnamed = makeServer("s2");
    unnamed.softwareVersion = "";
    for (const auto &server : {old, unnamed})
        registry.update(server, start);
    BackendRequirements required = requirements();
    for (const std::string version : {"v1", "v2", ""}) {
        const bool isServed = version == "v1";
        required.softwareVersion = version;
        EXPECT_EQ(registry.choose(required, start).has_value(), isServed) << version;
        EXPECT_EQ(registry.hasServerWithoutLimit(required), isServed) << version;
        EXPECT_EQ(registry.hasPossibleServer(required), isServed) << version;
    }
    registry.notePause("s2", start + 2s);
    required.softwareVersion = "v1";
    EXPECT_FALSE(registry.pauseEnd(required, start));
    registry.notePause("s1", start + 3s);
    EXPECT_EQ(registry.pauseEnd(required, start), start + 3s);
}

// Guards against: a stream is given up although a server of its version may load its model (review,
// case 4).
TEST(BackendRegistry, ServerIsPossibleIfItHoldsTheModelOrMayLoadIt)
{
    BackendRegistry registry("a");
    auto old = makeServer("s1");
    old.softwareVersion = "v1";
    auto newer = makeServer("s2");
    newer.softwareVersion = "v2";
    registry.update(old, start);
    registry.update(newer, start);
    BackendRequirements required = {"filing", "m", {}, {}, {}};
    required.softwareVersion = "v1";
    EXPECT_TRUE(registry.hasPossibleServer(required));
    newer.models["m"] = {};
    registry.update(newer, start);
    EXPECT_TRUE(registry.hasPossibleServer(required));
    EXPECT_FALSE(registry.choose(required, start)) << "not at another version";
    old.models["m"] = {};
    registry.update(old, start);
    EXPECT_TRUE(registry.hasPossibleServer(required));
    required.excluded = {"s1"};
    EXPECT_FALSE(registry.hasPossibleServer(required));
}

// Guards against streams at a server that may have started again unnoticed (issue 35, ORDER): a
// connection to it was lost. Only what is from after the loss confirms the incarnation.
TEST(BackendRegistry, LostConnectionKeepsStreamsAwayUntilTheIncarnationIsConfirmed)
{
    BackendRegistry registry("a");
    auto server = makeServer("s1");
    registry.update(server, start);
    BackendRequirements streams = requirements();
    streams.needsKnownIncarnation = true;
    const auto isUsed = [&] { return registry.choose(streams, start + 1min).has_value(); };
    EXPECT_TRUE(isUsed());

    registry.noteConnectionLost("s1", 2, start);
    EXPECT_TRUE(isUsed()) << "lost by another incarnation";
    registry.noteConnectionLost("s1", 1, start);
    EXPECT_FALSE(isUsed());
    EXPECT_TRUE(registry.hasPossibleServer(streams));
    EXPECT_TRUE(registry.choose(requirements(), start + 1min)) << "other requests are served";
    registry.update(server, start + 1s);
    registry.confirmIncarnation("s1", 1, start);
    registry.confirmIncarnation("s1", 2, start + 1s);
    registry.noteAnswered("s1", 1, start + 1s, start + 2s);
    registry.noteAnswered("s1", 1, start - 2s, start - 1s);
    EXPECT_FALSE(isUsed());

    registry.noteAnswered("s1", 1, start - 1s, start + 1s);
    EXPECT_TRUE(isUsed());
    registry.noteConnectionLost("s1", 1, start + 2s);
    registry.confirmIncarnation("s1", 1, start + 3s);
    EXPECT_TRUE(isUsed());
    registry.noteConnectionLost("s1", 1, start + 4s);
    server.startedAtMs = 2;
    registry.update(server, start + 5s);
    EXPECT_TRUE(isUsed());
}
