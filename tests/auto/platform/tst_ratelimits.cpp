// Several gateways before emulated backend servers that name a limit on their requests per second.
// The sum over all gateways must stay within it, and callers must get an answer or a true refusal.

#include "gatewayfixture.h"

#include "../shared/ratelimitchecker.h"

namespace {

const std::string m1 = "Model: m1\r\nToken-Count: 10,10\r\n";

/// Four gateways; each has its own callers.
class LimitedServers : public Gateways
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
        size_t gateway = 0;
        Utils::TimePoint sentAt;
        Utils::TimePoint endedAt;
    };

    auto startGateways(int count) -> void
    {
        for (int i = 0; i < count; ++i) {
            startReadyGateway("g" + std::to_string(i));
            members.push_back({std::move(rows), std::move(gateway), address});
        }
    }

    auto watch(EmulatedEngine &engine) -> void
    {
        engine.observer.onArrival = [this](const EmulatedEngine &server, const auto &arrival) {
            const size_t member = std::stoul(arrival.attemptId.substr(1));
            if (const auto violation = checker.noteArrival(server.id(), member, loop->now()))
                violations.push_back(*violation);
        };
    }

    auto nameLimit(EmulatedEngine &engine, const std::string &limit) -> void
    {
        engine.behaviour.rateLimit = limit;
        checker.noteNamed(engine.id(), std::stod(limit), loop->now());
    }

    /// Sends one request to a gateway without waiting for its answer.
    auto sendTo(size_t member, const std::string &target, const std::string &extra) -> void
    {
        auto call = std::make_shared<Call>();
        call->gateway = member;
        call->sentAt = loop->now();
        const std::string id = "g" + std::to_string(member) + "-" + std::to_string(calls.size());
        call->answer.connection =
            std::move(*Http1::ClientConnection::connect(*loop, members[member].callers));
        call->answer.connection->call(
            makeRequest(target, id, extra),
            {[call](const Http1::ResponseHead &head, Http1::Framing) {
                 call->answer.status = head.status;
                 call->answer.fields = head.fields;
                 return true;
             },
             [call](std::string_view data) { call->answer.body += data; },
             [this, call](Http1::CallEnd how) {
                 call->answer.end = how;
                 call->endedAt = loop->now();
                 const std::string stamp(call->answer.fields.value("Server-Stamp").value_or(""));
                 constexpr size_t prefix = 6; // "stamp-"
                 if (stamp.size() > prefix)
                     checker.noteTold(stamp.substr(prefix), call->gateway, loop->now());
             }});
        calls.push_back(call);
    }

    /// Sends requests to all gateways in turn, at equal intervals, and waits for all answers.
    auto sendSteadily(double perSecond, std::chrono::seconds time, const std::string &target,
                      const std::string &extra = {}) -> void
    {
        const auto from = loop->now();
        const auto total = static_cast<size_t>(perSecond * static_cast<double>(time.count()));
        for (size_t i = 0; i < total; ++i) {
            const auto due = from + Utils::fromSeconds(static_cast<double>(i) / perSecond);
            runUntil([&] { return loop->now() >= due; }, time + 5s);
            sendTo(i % members.size(), target, extra);
        }
        ASSERT_TRUE(runUntil([this] {
            return std::all_of(calls.begin(), calls.end(),
                               [](const auto &call) { return call->answer.end.has_value(); });
        }));
    }

    auto count(int status) const -> long
    {
        return std::count_if(calls.begin(), calls.end(),
                             [status](const auto &call) { return call->answer.status == status; });
    }

    std::vector<Member> members;
    std::vector<std::shared_ptr<Call>> calls;
    RateLimitChecker checker;
    std::vector<std::string> violations;
};

} // namespace

// Guards against gateways that ignore a server's limit or keep it one by one (issue 28): each sends
// what the limit allows, or more, and the server gets the sum.
TEST_F(LimitedServers, SumOverAllGatewaysStaysWithinTheLimitOfTheOnlyServer)
{
    auto &engine = addEngine("i-1", "app");
    watch(engine);
    startGateways(4);
    sendSteadily(20, 1s, "/file/x");
    EXPECT_EQ(count(200), 20) << "without a limit, nothing is refused";
    nameLimit(engine, "1");
    calls.clear();
    sendSteadily(12, 9s, "/file/x");
    EXPECT_THAT(violations, testing::IsEmpty());
    EXPECT_GE(count(200), 6) << "the server is used as far as it allows";
    EXPECT_EQ(count(200) + count(503), 108);
    EXPECT_TRUE(std::all_of(calls.begin(), calls.end(), [](const auto &call) {
        return call->answer.status != 503 || call->answer.fields.has("Retry-After");
    }));
}

// Guards against repeats and resumed streams that bypass the limit (issue 28).
TEST_F(LimitedServers, RetriesAndResumedStreamsCountAgainstTheLimit)
{
    for (const char *id : {"i-1", "i-2"}) {
        auto &engine = addEngine(id, "lm", {"m1"});
        engine.behaviour.cutAfterEvents = 2;
        watch(engine);
    }
    startGateways(4);
    sendSteadily(8, 1s, "/batch/x", m1);
    for (const auto &engine : engines)
        nameLimit(*engine, "1.5");
    sendSteadily(12, 9s, "/batch/x", m1);
    EXPECT_THAT(violations, testing::IsEmpty());
}

// Guards against refusals while another server has room.
TEST_F(LimitedServers, AnotherServerTakesWhatTheLimitLeaves)
{
    for (const char *id : {"i-1", "i-2"})
        watch(addEngine(id, "app"));
    startGateways(4);
    sendSteadily(20, 1s, "/file/x");
    nameLimit(*engines[0], "0.5");
    calls.clear();
    sendSteadily(20, 4s, "/file/x");
    EXPECT_EQ(count(200), 80);
    EXPECT_THAT(violations, testing::IsEmpty());
}

// Guards against callers that wait for their deadline although the next permit is known to come
// later, and against a Retry-After that leads them into another refusal.
TEST_F(LimitedServers, RequestThatTheLimitLeavesNoRoomForIsRefusedAtOnce)
{
    addEngine("i-1", "app");
    startGateways(2);
    nameLimit(*engines[0], "0.5");
    sendSteadily(20, 1s, "/file/x");
    calls.clear();
    sendSteadily(20, 1s, "/file/x");
    ASSERT_GE(count(503), 18);
    for (const auto &call : calls) {
        if (call->answer.status != 503)
            continue;
        EXPECT_LT(call->endedAt - call->sentAt, 200ms);
        const double retryAfter = std::stod(std::string(*call->answer.fields.value("Retry-After")));
        EXPECT_GE(retryAfter, 0.7) << "half of the caller's time; an earlier permit would be used";
        EXPECT_LE(retryAfter, 2.5);
    }
}

TEST_F(LimitedServers, AllRequestsAreServedAgainAfterTheLimitHasEnded)
{
    auto &engine = addEngine("i-1", "app");
    startGateways(2);
    nameLimit(engine, "2");
    sendSteadily(10, 1s, "/file/x");
    EXPECT_GT(count(503), 0);
    engine.behaviour.rateLimit.clear();
    sendSteadily(10, 4s, "/file/x");
    calls.clear();
    sendSteadily(20, 1s, "/file/x");
    EXPECT_EQ(count(200), 20);
}
