// Several gateways before emulated engines that crash when they begin to write an answer on one
// part of a prompt. Few requests with that part may reach engines, and sound requests that share
// the customer and the other parts must be served.

#include "gatewayfixture.h"

#include "../shared/crashpartchecker.h"

namespace {

class CrashingPart : public Gateways
{
protected:
    struct Member
    {
        std::unique_ptr<Platform::RowStoreClient> rows;
        std::unique_ptr<Gateway::GatewayServer> server;
        Http1::SocketAddress callers;
    };

    struct Call
    {
        CallerAnswer answer;
        Utils::TimePoint sentAt;
        Utils::TimePoint endedAt;
        bool hasPart = false;
    };

    auto start(int gatewayCount, int engineCount, const std::string &part) -> void
    {
        for (int i = 0; i < engineCount; ++i) {
            EmulatedEngine &engine = addEngine("i-" + std::to_string(i), "lm", {"m1"});
            engine.behaviour.crashingPart = part;
            engine.behaviour.events = 8;
            engine.behaviour.eventInterval = 50ms;
            engine.observer.onArrival = [this](const EmulatedEngine &, const auto &arrival) {
                if (arrival.attemptId.starts_with("bad"))
                    checker.noteArrival(loop->now());
            };
            engine.observer.onCrash = [this](const EmulatedEngine &) {
                checker.noteCrash(loop->now());
            };
        }
        for (int i = 0; i < gatewayCount; ++i) {
            startReadyGateway("g" + std::to_string(i));
            members.push_back({std::move(rows), std::move(gateway), address});
        }
    }

    /// Sends one request to the next gateway without waiting for its answer.
    auto send(const std::string &target, bool hasPart, const std::string &parts) -> void
    {
        auto call = std::make_shared<Call>();
        call->sentAt = loop->now();
        call->hasPart = hasPart;
        const std::string id = (hasPart ? "bad-" : "ok-") + std::to_string(calls.size());
        call->answer.connection = std::move(*Http1::ClientConnection::connect(
            *loop, members[calls.size() % members.size()].callers));
        call->answer.connection->call(
            makeRequest(target, id,
                        "Model: m1\r\nToken-Count: 10,10\r\nPrompt-Prefix: " + parts + "\r\n"),
            {[call](const Http1::ResponseHead &head, Http1::Framing) {
                 call->answer.status = head.status;
                 call->answer.fields = head.fields;
                 return true;
             },
             [call](std::string_view data) { call->answer.body += data; },
             [this, call](Http1::CallEnd how) {
                 call->answer.end = how;
                 call->endedAt = loop->now();
             }});
        calls.push_back(call);
    }

    auto waitUntil(Utils::TimePoint due) -> void
    {
        runUntil([&] { return loop->now() >= due; }, 60s);
    }

    /// Sends sound requests, and `badPerSecond` requests with the crashing part, at equal
    /// intervals.
    auto sendMixed(const std::string &target, double badPerSecond, std::chrono::milliseconds time)
        -> void
    {
        constexpr double soundPerSecond = 25;
        const auto from = loop->now();
        double badDue = 0;
        for (int i = 0; i < int(soundPerSecond * double(time.count()) / 1000); ++i) {
            const double seconds = i / soundPerSecond;
            waitUntil(from + Utils::fromSeconds(seconds));
            const std::string number = std::to_string(calls.size());
            send(target + number, false,
                 "f1:10,d" + std::to_string(i % 7) + ":5,u" + number + ":5");
            if (badPerSecond <= 0 || seconds < badDue)
                continue;
            badDue += 1 / badPerSecond;
            const std::string own = std::to_string(calls.size());
            send(target + own, true,
                 "f1:10,d" + std::to_string(calls.size() % 7) + ":5,bad:5,u" + own + ":5");
        }
    }

    auto waitForAnswers() -> void
    {
        ASSERT_TRUE(runUntil([this] {
            return std::all_of(calls.begin(), calls.end(),
                               [](const auto &call) { return call->answer.end.has_value(); });
        }));
        for (const auto &call : calls) {
            if (!call->hasPart)
                checker.noteSound(call->sentAt, call->answer.status == 200);
        }
    }

    std::vector<Member> members;
    std::vector<std::shared_ptr<Call>> calls;
    CrashPartChecker checker;
};

} // namespace

// Guards against requests that share one part of their prompts and crash one engine after the
// other, no two of them alike (issue 32, BUDGET), and against refusing what sound requests share.
TEST_F(CrashingPart, IsFoundByAllGatewaysAndSoundRequestsAreServed)
{
    start(4, 6, "bad");
    sendMixed("/draft/x", 0, 2s);
    sendMixed("/draft/x", 3, 11s);
    waitForAnswers();
    EXPECT_THAT(checker.violations(), testing::IsEmpty());
    EXPECT_GE(checker.crashes(), 3U);
    EXPECT_GE(checker.judgedSound(), 30);
    const auto late = loop->now() - 5s;
    for (const auto &call : calls) {
        if (!call->hasPart || call->sentAt < late || call->answer.status == 502)
            continue;
        EXPECT_EQ(call->answer.status, 503) << "it has not run";
        EXPECT_FALSE(call->answer.fields.has("Retry-After"));
        EXPECT_LT(call->endedAt - call->sentAt, 100ms);
    }
}

// The same for streams that are repeated and resumed at other engines.
TEST_F(CrashingPart, IsFoundWhereStreamsAreRepeated)
{
    start(4, 6, "bad");
    sendMixed("/batch/x", 2, 7s);
    waitForAnswers();
    EXPECT_THAT(checker.violations(), testing::IsEmpty());
    EXPECT_GE(checker.crashes(), 3U);
}

// Guards against a request that is repeated as a whole and crashes its engines, although none of
// its parts that others may share does.
TEST_F(CrashingPart, RepeatedRequestIsFoundByTheWhole)
{
    checker = CrashPartChecker(CrashPartChecker::CountedCrashOfRequest);
    start(4, 6, "last");
    for (int i = 0; i < 28; ++i) {
        send("/draft/x", true, "f1:10,d1:5,last:5");
        waitUntil(loop->now() + 250ms);
    }
    waitForAnswers();
    EXPECT_THAT(checker.violations(), testing::IsEmpty());
    EXPECT_EQ(calls.back()->answer.status, 503);
}

// Guards against: a repeated request that crashes its engines some time after the first event, when
// it counts as survived, is never refused (review, case 2).
TEST_F(CrashingPart, RepeatedRequestIsFoundThatCrashesLate)
{
    checker = CrashPartChecker(CrashPartChecker::CountedCrashOfRequest);
    start(4, 6, "last");
    for (const auto &engine : engines) {
        engine->behaviour.crashDelay = 300ms;
        engine->behaviour.events = 12;
    }
    for (int i = 0; i < 20; ++i) {
        send("/draft/x", true, "f1:10,d1:5,last:5");
        const std::string own = std::to_string(i);
        for (int sound = 0; sound < 3; ++sound)
            send("/draft/x" + own + std::to_string(sound), false, "f1:10,d1:5,u" + own + ":5");
        waitUntil(loop->now() + 450ms);
    }
    waitForAnswers();
    EXPECT_THAT(checker.violations(), testing::IsEmpty());
    EXPECT_EQ(calls[calls.size() - 4]->answer.status, 503);
}
