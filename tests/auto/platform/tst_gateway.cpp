// A gateway between callers, emulated backend servers and an emulated store, on loopback. Each test
// causes one failure and checks what callers and servers see of it.

#include "gatewayfixture.h"

#include <http1/tcplistener.h>
#include <http1/tcpstream.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

/// What a server sends on a request, and what it then sends repeatedly.
using Flood = std::pair<std::string, std::string>;

class Floods : public Gateways, public testing::WithParamInterface<Flood>
{ };

/// What a server sends before the expected answer.
class LateDuplicates : public Gateways, public testing::WithParamInterface<std::string>
{ };

const std::string m1 = "Model: m1\r\nToken-Count: 10,10\r\n";

} // namespace

TEST_F(Gateways, ServesPlainRequestsAndHidesTheKey)
{
    auto &engine = addEngine("i-1", "app");
    startReadyGateway();
    const auto answer =
        sendRequest(makeRequest("/file/x?y=1", "a1", "X-Extra: 1\r\nTenant: forged\r\n"));
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "answer to a1");
    EXPECT_EQ(answer->fields.value("Server-Stamp"), "stamp-i-1");
    ASSERT_EQ(engine.arrivals().size(), 1U);
    const auto &arrival = engine.arrivals()[0];
    EXPECT_EQ(arrival.target, "/file/x?y=1");
    EXPECT_EQ(arrival.body, "body");
    EXPECT_EQ(arrival.fields.value("Tenant"), "county");
    EXPECT_EQ(arrival.fields.value("X-Extra"), "1");
    EXPECT_FALSE(arrival.fields.has("Authorization"));
}

TEST_F(Gateways, RefusesOnlyWhatTheConfigurationForbids)
{
    addEngine("i-1", "app");
    startReadyGateway();
    EXPECT_EQ(sendRequest(makeRequest("/none/x", "a1"))->status, 404);
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a2", {}, "wrong"))->status, 401);
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a3", "Deadline-Ms: soon\r\n"))->status, 200);
}

TEST_F(Gateways, WithoutAConfigurationNothingIsDeniedAndReadinessIsOff)
{
    store->setMode(EmulatedStore::Mode::Busy);
    startGateway();
    EXPECT_EQ(readinessStatus(), 503);
    const auto answer = sendRequest(makeRequest("/none/x", "a1"));
    EXPECT_EQ(answer->status, 503);
    EXPECT_TRUE(answer->fields.has("Retry-After"));
    store->setMode(EmulatedStore::Mode::Normal);
    EXPECT_TRUE(runUntil([this] { return readinessStatus() == 200; }));
}

TEST_F(Gateways, AtMostOnceRequestWhoseAnswerIsLostIsNotSentAgain)
{
    auto &first = addEngine("i-1", "app");
    auto &second = addEngine("i-2", "app");
    first.behaviour.losesAnswers = second.behaviour.losesAnswers = true;
    startReadyGateway();
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a1"))->status, 502);
    EXPECT_EQ(first.runs() + second.runs(), 1);
}

TEST_F(Gateways, IdempotentRequestWhoseAnswerIsLostGoesToAnotherServer)
{
    auto &first = addEngine("i-1", "app");
    auto &second = addEngine("i-2", "app");
    startReadyGateway();
    first.behaviour.losesAnswers = true;
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(sendRequest(makeRequest("/look/x", "a" + std::to_string(i)))->status, 200);
    EXPECT_GE(first.runs(), 1);
    EXPECT_GE(second.runs(), 5);
}

TEST_F(Gateways, RefusedRequestGoesToAnotherServer)
{
    auto &first = addEngine("i-1", "app");
    auto &second = addEngine("i-2", "app");
    first.behaviour.sheds = true;
    startReadyGateway();
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(sendRequest(makeRequest("/file/x", "a" + std::to_string(i)))->status, 200);
    EXPECT_EQ(second.runs(), 4);
}

TEST_F(Gateways, UnsignedSuccessIsRejected)
{
    addEngine("i-1", "app").behaviour.omitsSignature = true;
    startReadyGateway();
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a1"))->status, 502);
}

TEST_F(Gateways, RefusalStatusWithoutNotExecutedHeaderIsNotForwarded)
{
    addEngine("i-1", "app").behaviour.status = 503;
    startReadyGateway();
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a1"))->status, 502);
}

TEST_F(Gateways, StreamArrivesWhole)
{
    addEngine("i-1", "lm", {"m1"});
    startReadyGateway();
    const auto answer = sendRequest(makeRequest("/draft/x", "a1", m1));
    EXPECT_TRUE(answer->isWhole());
    EXPECT_EQ(events(answer->body), allEvents);
}

TEST_F(Gateways, ResumableStreamGoesOnAtAnotherEngineWithoutGapOrRepeat)
{
    auto &first = addEngine("i-1", "lm", {"m1"});
    auto &second = addEngine("i-2", "lm", {"m1"});
    first.behaviour.cutAfterEvents = second.behaviour.cutAfterEvents = 2;
    startReadyGateway();
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, address, makeRequest("/batch/x", "a1", m1));
    ASSERT_TRUE(runUntil([&] { return first.runs() + second.runs() == 1; }));
    (first.runs() == 1 ? second : first).behaviour.cutAfterEvents = -1;
    ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }));
    EXPECT_TRUE(answer->isWhole());
    EXPECT_EQ(events(answer->body), allEvents);
    EXPECT_EQ(answer->body.find("ha"), std::string::npos);
    EXPECT_EQ(first.runs() + second.runs(), 2);
}

TEST_F(Gateways, SilentResumableStreamGoesOnAtAnotherEngine)
{
    auto &first = addEngine("i-1", "lm", {"m1"});
    auto &second = addEngine("i-2", "lm", {"m1"});
    first.behaviour.silentAfterEvents = second.behaviour.silentAfterEvents = 0;
    startReadyGateway();
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, address, makeRequest("/batch/x", "a1", m1));
    ASSERT_TRUE(runUntil([&] { return first.runs() + second.runs() == 1; }));
    auto &silent = first.runs() == 1 ? first : second;
    (first.runs() == 1 ? second : first).behaviour.silentAfterEvents = -1;
    ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }));
    EXPECT_EQ(events(answer->body), allEvents);
    EXPECT_TRUE(silent.arrivals()[0].wasAbandoned);
}

TEST_F(Gateways, StreamThatMayNotResumeEndsIncomplete)
{
    addEngine("i-1", "lm", {"m1"}).behaviour.cutAfterEvents = 2;
    addEngine("i-2", "lm", {"m1"}).behaviour.cutAfterEvents = 2;
    startReadyGateway();
    const auto answer = sendRequest(makeRequest("/draft/x", "a1", m1));
    EXPECT_FALSE(answer->isWhole());
    EXPECT_EQ(engines[0]->runs() + engines[1]->runs(), 1);
}

TEST_F(Gateways, EngineStopsWhenTheCallerLeaves)
{
    auto &engine = addEngine("i-1", "lm", {"m1"});
    engine.behaviour.processingTime = 1s;
    startReadyGateway();
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, address, makeRequest("/draft/x", "a1", m1));
    ASSERT_TRUE(runUntil([&] { return engine.runs() == 1; }));
    answer->connection->closeNow();
    EXPECT_TRUE(runUntil([&] { return engine.arrivals()[0].wasAbandoned; }, 500ms));
}

TEST_F(Gateways, RequestEndsWithItsRoutesTime)
{
    addEngine("i-1", "app").behaviour.processingTime = 10s;
    startReadyGateway();
    const auto begun = loop->now();
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a1"))->status, 504);
    EXPECT_LT(loop->now() - begun, 1700ms);
}

TEST_F(Gateways, ModelThatIsAskedForIsLoaded)
{
    auto &engine = addEngine("i-1", "lm", {"m1", "m2"});
    startReadyGateway();
    runUntil([] { return false; }, 400ms);
    const auto answer =
        sendRequest(makeRequest("/draft/x", "a1", "Model: m3\r\nToken-Count: 10,10\r\n"));
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(events(answer->body), allEvents);
    EXPECT_EQ(engine.models().count("m3"), 1U);
    EXPECT_LE(engine.models().size(), 2U);
}

TEST_F(Gateways, AdapterThatIsAskedForIsLoaded)
{
    auto &engine = addEngine("i-1", "lm", {"m1"});
    startReadyGateway();
    for (const char *adapter : {"a1", "a2", "a3"}) {
        const auto answer = sendRequest(
            makeRequest("/draft/x", adapter,
                        std::string("Model: m1/") + adapter + "\r\nToken-Count: 10,10\r\n"));
        EXPECT_EQ(answer->status, 200) << adapter;
        runUntil([] { return false; }, 450ms);
    }
    EXPECT_LE(engine.models().at("m1").size(), 2U);
}

// All adapter slots are taken, and one adapter is to be evicted while its streams continue.
TEST_F(Gateways, AdapterKeepsItsSlotUntilItsLastRunHasEnded)
{
    auto &engine = addEngine("i-1", "lm", {"m1"});
    engine.behaviour.eventInterval = 150ms;
    startReadyGateway();
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    const auto start = [&](const char *adapter) {
        answers.push_back(std::make_shared<CallerAnswer>());
        sendOnNewConnection(
            *answers.back(), address,
            makeRequest("/draft/x", adapter,
                        std::string("Model: m1/") + adapter + "\r\nToken-Count: 10,10\r\n"));
    };
    start("a1");
    start("a2");
    runUntil([] { return false; }, 500ms);
    ASSERT_EQ(engine.runs(), 2);
    start("a3");
    runUntil([&] {
        return std::all_of(answers.begin(), answers.end(),
                           [](const auto &one) { return one->end.has_value(); });
    });
    EXPECT_EQ(engine.overloads(), 0);
    EXPECT_TRUE(answers[0]->isWhole());
    EXPECT_TRUE(answers[1]->isWhole());
    EXPECT_EQ(sendRequest(makeRequest("/draft/x", "b3", "Model: m1/a3\r\nToken-Count: 10,10\r\n"))
                  ->status,
              200);
}

TEST_F(Gateways, UnansweredOrderIsNotAssumedDone)
{
    auto &engine = addEngine("i-1", "lm", {"m1"});
    engine.behaviour.ignoresOrders = true;
    startReadyGateway();
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, address,
                        makeRequest("/batch/x", "a1", "Model: m2\r\nToken-Count: 10,10\r\n"));
    runUntil([] { return false; }, 300ms);
    EXPECT_EQ(engine.runs(), 0);
    engine.behaviour.ignoresOrders = false;
    ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }));
    EXPECT_TRUE(answer->status == 200 || answer->status == 503);
    EXPECT_EQ(
        sendRequest(makeRequest("/batch/x", "a2", "Model: m2\r\nToken-Count: 10,10\r\n"))->status,
        200);
}

TEST_F(Gateways, AnotherIncarnationAtTheAddressRunsNothing)
{
    auto &engine = addEngine("i-1", "app");
    startReadyGateway();
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a1"))->status, 200);
    engine.crash();
    engine.restart("i-2", false);
    const auto answer = sendRequest(makeRequest("/file/x", "a2"));
    EXPECT_EQ(answer->status, 503);
    EXPECT_EQ(engine.runs(), 1);
}

TEST_F(Gateways, LeavingServerGetsNothingNewAndAWithdrawnKeyStops)
{
    auto &first = addEngine("i-1", "app");
    auto &second = addEngine("i-2", "app");
    startReadyGateway();
    first.announce("draining");
    putConfiguration(2, {{"tenants", {{{"name", "county"}, {"apiKeys", {"key2"}}}}}});
    runUntil([] { return false; }, 700ms);
    const auto before = first.arrivals().size();
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(sendRequest(makeRequest("/file/x", "a" + std::to_string(i), {}, "key2"))->status,
                  200);
    EXPECT_EQ(first.arrivals().size(), before);
    EXPECT_GE(second.runs(), 4);
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a9"))->status, 401);
}

// A server sends a late duplicate of an answer on a connection that has been reused. The duplicate
// may be a refusal, which needn't name its request.
TEST_P(LateDuplicates, AreNotTakenForTheNextAnswer)
{
    std::unique_ptr<Http1::TcpStream> peer;
    int asked = 0;
    const auto answerTo = [](const std::string &id) {
        return "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: " + id
            + "\r\nContent-Length: 2\r\n\r\n" + id;
    };
    const auto listener = std::move(*Http1::TcpListener::listen(
        *loop, *Http1::SocketAddress::parse("127.0.0.1:0"),
        [&](std::unique_ptr<Http1::TcpStream> stream) {
            peer = std::move(stream);
            peer->setEvents({[&](std::string_view) {
                                 ++asked;
                                 peer->write(asked == 1 ? answerTo("a1")
                                                        : GetParam() + answerTo("a2"));
                             },
                             [&](Http1::StreamEnd) {}});
        }));
    auto &engine = addEngine("i-1", "app");
    engine.advertisedAddress =
        *Http1::SocketAddress::parse("127.0.0.1:" + std::to_string(listener->port()));
    engine.announce();
    auto &other = addEngine("i-2", "app");
    other.announce("draining");
    startReadyGateway();
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a1"))->body, "a1");
    other.announce();
    const auto answer = sendRequest(makeRequest("/file/x", "a2"));
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "a2");
    EXPECT_EQ(asked, 2);
    EXPECT_EQ(other.runs(), 0) << "it would run twice";
}

INSTANTIATE_TEST_SUITE_P(Gateways, LateDuplicates,
                         testing::Values("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: a1\r\n"
                                         "Content-Length: 2\r\n\r\na1",
                                         "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                                         "Content-Length: 0\r\n\r\n",
                                         "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-9\r\n"
                                         "Content-Length: 0\r\n\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"));

// One stream's engine is slow but makes progress; another stream only sends keep-alive comments.
TEST_F(Gateways, SlowStreamIsKeptAndStalledStreamIsMoved)
{
    const auto slowRoute = [](const char *prefix, bool resumable) {
        return json{{"name", std::string("r") + prefix},
                    {"host", "h.example"},
                    {"prefix", prefix},
                    {"routeType", "streaming"},
                    {"timeoutMs", 12000},
                    {"targetLatencyMs", 400},
                    {"service", "lm"},
                    {"maxAttempts", 2},
                    {"resumable", resumable}};
    };
    putConfiguration(2, {{"routes", {slowRoute("/batch/", true)}}});
    auto &first = addEngine("i-1", "lm", {"m1"});
    auto &second = addEngine("i-2", "lm", {"m1"});
    first.behaviour.eventInterval = second.behaviour.eventInterval = 1200ms;
    startReadyGateway();
    const auto request = [](const std::string &id) {
        return "POST /batch/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
            + "\r\nAuthorization: Bearer key1\r\nDeadline-Ms: 12000\r\n" + m1
            + "Content-Length: 0\r\n\r\n";
    };
    auto slow = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*slow, address, request("a1"));
    ASSERT_TRUE(runUntil([&] { return slow->end.has_value(); }, 8s));
    EXPECT_TRUE(slow->isWhole());
    EXPECT_EQ(events(slow->body), allEvents);
    EXPECT_EQ(first.runs() + second.runs(), 1);

    first.behaviour.eventInterval = second.behaviour.eventInterval = 5ms;
    first.behaviour.pingsAfterEvents = second.behaviour.pingsAfterEvents = 2;
    auto stalled = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*stalled, address, request("a2"));
    ASSERT_TRUE(runUntil([&] { return first.runs() + second.runs() == 2; }));
    runUntil([] { return false; }, 100ms);
    first.behaviour.pingsAfterEvents = second.behaviour.pingsAfterEvents = -1;
    const auto begun = loop->now();
    ASSERT_TRUE(runUntil([&] { return stalled->end.has_value(); }, 5s));
    EXPECT_LT(loop->now() - begun, 2s);
    EXPECT_TRUE(stalled->isWhole());
    EXPECT_EQ(events(stalled->body), allEvents);
    EXPECT_EQ(first.runs() + second.runs(), 3);
}

// A lossy link drops the SYN packets to one server; they are only retransmitted after a second.
TEST_F(Gateways, RequestWhoseOpeningPacketIsLostGoesToAnotherServer)
{
    const int fullListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in bindAddress = {};
    bindAddress.sin_family = AF_INET;
    bindAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof bindAddress;
    ASSERT_EQ(::bind(fullListener, reinterpret_cast<sockaddr *>(&bindAddress), sizeof bindAddress),
              0);
    ASSERT_EQ(::listen(fullListener, 0), 0);
    ASSERT_EQ(::getsockname(fullListener, reinterpret_cast<sockaddr *>(&bindAddress), &length), 0);
    const auto listenAddress =
        Http1::SocketAddress::create(INADDR_LOOPBACK, ntohs(bindAddress.sin_port));
    // Once the accept queue is full, further SYN packets are dropped.
    std::vector<std::unique_ptr<Http1::TcpStream>> queuedConnections;
    for (int i = 0; i < 3; ++i)
        queuedConnections.push_back(std::move(*Http1::TcpStream::connect(*loop, listenAddress)));
    runUntil([] { return false; }, 50ms);
    ASSERT_FALSE(queuedConnections.back()->isConnected());
    auto &unreachable = addEngine("i-1", "app");
    unreachable.advertisedAddress = listenAddress;
    unreachable.announce();
    auto &reachable = addEngine("i-2", "app");
    startReadyGateway();
    for (int i = 0; i < 6; ++i) {
        const auto begun = loop->now();
        EXPECT_EQ(sendRequest(makeRequest("/file/x", "a" + std::to_string(i)))->status, 200);
        EXPECT_LT(loop->now() - begun, 600ms);
    }
    EXPECT_EQ(reachable.runs(), 6);
    ::close(fullListener);
}

// After a power loss, every gateway and engine restarts, and only the store has kept its state.
TEST_F(Gateways, ServiceResumesFromTheStoreAfterTotalPowerLoss)
{
    auto &app = addEngine("i-1", "app");
    auto &lm = addEngine("i-2", "lm", {"m1"});
    startReadyGateway();
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a1"))->status, 200);
    putConfiguration(2, {{"tenants", {{{"name", "county"}, {"apiKeys", {"key2"}}}}}});
    gateway.reset();
    rows.reset();
    app.crash();
    lm.crash();
    runUntil([] { return false; }, 100ms);
    const auto begun = loop->now();
    startGateway();
    app.restart("i-1");
    lm.restart("i-2");
    ASSERT_TRUE(runUntil([this] { return readinessStatus() == 200; }));
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a2"))->status, 401)
        << "the newest configuration is in force";
    const auto recovered = [&, number = 0]() mutable {
        return sendRequest(makeRequest("/batch/x", "b" + std::to_string(++number), m1, "key2"))
                   ->status
            == 200;
    };
    EXPECT_TRUE(runUntil(recovered, 11s)) << "the duty is taken again and the model loaded";
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a3", {}, "key2"))->status, 200);
    EXPECT_LT(loop->now() - begun, 12s);
}

// An engine announces in its answers that it is leaving; the list of servers still shows it ready.
TEST_F(Gateways, ServerThatSaysItLeavesGetsNothingNew)
{
    auto &first = addEngine("i-1", "app");
    auto &second = addEngine("i-2", "app");
    first.behaviour.announcesLeaving = second.behaviour.announcesLeaving = true;
    startReadyGateway();
    EXPECT_EQ(sendRequest(makeRequest("/look/x", "a0"))->status, 200);
    auto &leaving = first.runs() == 1 ? first : second;
    auto &other = first.runs() == 1 ? second : first;
    other.behaviour.announcesLeaving = false;
    leaving.announce();
    runUntil([] { return false; }, 700ms);
    for (int i = 1; i < 6; ++i)
        EXPECT_EQ(sendRequest(makeRequest("/look/x", "a" + std::to_string(i)))->status, 200);
    EXPECT_EQ(leaving.arrivals().size(), 1U);
}

TEST_F(Gateways, LeavingServerReportedByAnotherGatewayGetsNothing)
{
    auto &first = addEngine("i-1", "app");
    addEngine("i-2", "app");
    startReadyGateway();
    const auto bindAddress = Http1::SocketAddress::parse("127.0.0.1:" + freePort());
    const auto link =
        std::move(*Gateway::PeerLink::open(*loop, *bindAddress, [](const auto &, auto) {}));
    link->send(peers, {{"kind", "leaving"}, {"server", "i-1"}, {"started", 1}});
    runUntil([] { return false; }, 50ms);
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(sendRequest(makeRequest("/look/x", "a" + std::to_string(i)))->status, 200);
    EXPECT_EQ(first.arrivals().size(), 0U);
}

// Engines are full and send the time after which requests may be retried.
TEST_F(Gateways, ServerThatSendsRetryAfterGetsNoRequestsAndCallersGetItsDelay)
{
    auto &engine = addEngine("i-1", "app");
    engine.behaviour.sheds = true;
    engine.behaviour.retryAfter = "1.5";
    startReadyGateway();
    const auto begun = loop->now();
    for (int i = 0; i < 5; ++i) {
        const auto answer = sendRequest(makeRequest("/file/x", "a" + std::to_string(i)));
        EXPECT_EQ(answer->status, 503);
        const double wait =
            std::stod(std::string(answer->fields.value("Retry-After").value_or("0")));
        EXPECT_NEAR(wait, 1.5 - Utils::toSeconds(loop->now() - begun), 0.2);
    }
    EXPECT_LT(loop->now() - begun, 500ms) << "refused at once";
    EXPECT_EQ(engine.arrivals().size(), 1U);
    engine.behaviour.sheds = false;
    runUntil([] { return false; }, 1500ms);
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "b"))->status, 200);
}

// A faulty server sends endless data: in a head, in a body, or as unsolicited answers.
TEST_P(Floods, AreCutOffAndTheServerCountsAsFailed)
{
    const auto &[opening, rest] = GetParam();
    std::string unit;
    while (unit.size() < 64 << 10)
        unit += rest;
    std::unique_ptr<Http1::TcpStream> peer;
    bool asked = false;
    bool closed = false;
    const auto listener = std::move(
        *Http1::TcpListener::listen(*loop, *Http1::SocketAddress::parse("127.0.0.1:0"),
                                    [&](std::unique_ptr<Http1::TcpStream> stream) {
                                        peer = std::move(stream);
                                        peer->setEvents({[&](std::string_view) {
                                                             asked = true;
                                                             peer->write(opening);
                                                         },
                                                         [&](Http1::StreamEnd) { closed = true; }});
                                    }));
    auto &flooding = addEngine("i-1", "app");
    flooding.advertisedAddress =
        *Http1::SocketAddress::parse("127.0.0.1:" + std::to_string(listener->port()));
    flooding.announce();
    startReadyGateway();
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, address, makeRequest("/file/x", "a1"));
    size_t sent = 0;
    const auto begun = loop->now();
    runUntil([&] {
        if (asked && !closed && peer->unsentBytes() < unit.size()) {
            peer->write(unit);
            sent += unit.size();
        }
        return answer->end.has_value();
    });
    EXPECT_EQ(answer->status, 502);
    EXPECT_LT(loop->now() - begun, 1s) << "long before the request's deadline";
    EXPECT_LT(sent, 8U << 20);
    EXPECT_TRUE(runUntil([&] { return closed; }, 500ms));
    EXPECT_EQ(readinessStatus(), 200);
}

INSTANTIATE_TEST_SUITE_P(
    Gateways, Floods,
    testing::Values(
        Flood{"", "rubbish "}, Flood{"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
        Flood{"", "HTTP/1.1 102 Processing\r\n\r\n"},
        Flood{"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\n", "endless body "},
        Flood{"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
              "4\r\nmore\r\n"},
        Flood{"HTTP/1.1 200 OK\r\nAttempt-Id: another\r\n\r\n", "an answer to nobody "},
        Flood{"", "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nContent-Length: 2\r\n\r\nno"}));

// A stream contains an event that never ends.
TEST_F(Gateways, EndlessEventEndsTheStreamIncomplete)
{
    std::unique_ptr<Http1::TcpStream> peer;
    bool closed = false;
    const auto listener = std::move(*Http1::TcpListener::listen(
        *loop, *Http1::SocketAddress::parse("127.0.0.1:0"),
        [&](std::unique_ptr<Http1::TcpStream> stream) {
            peer = std::move(stream);
            peer->setEvents({[&](std::string_view) {
                                 peer->write("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\n"
                                             "id: 1\ndata: x\n\nid: 2\ndata: ");
                                 peer->write(std::string(1 << 20, 'y'));
                             },
                             [&](Http1::StreamEnd) { closed = true; }});
        }));
    auto &flooding = addEngine("i-1", "lm", {"m1"});
    flooding.advertisedAddress =
        *Http1::SocketAddress::parse("127.0.0.1:" + std::to_string(listener->port()));
    flooding.announce();
    startReadyGateway();
    const auto begun = loop->now();
    const auto answer = sendRequest(makeRequest("/draft/x", "a1", m1));
    EXPECT_LT(loop->now() - begun, 1s);
    EXPECT_EQ(answer->status, 200);
    EXPECT_FALSE(answer->isWhole());
    EXPECT_EQ(events(answer->body), std::vector<int>{1});
    EXPECT_TRUE(runUntil([&] { return closed; }, 500ms));
}

TEST_F(Gateways, TruncatedHistoryIsReplacedByAFullReadIncludingRemovals)
{
    auto &first = addEngine("i-1", "app");
    addEngine("i-2", "app");
    startReadyGateway();
    store->setMode(EmulatedStore::Mode::Busy);
    store->compact();
    first.withdraw();
    store->compact();
    store->setMode(EmulatedStore::Mode::Normal);
    // The entry may only have expired during the outage, so it is dropped after a grace period.
    runUntil([] { return false; }, 3500ms);
    const auto before = first.arrivals().size();
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(sendRequest(makeRequest("/file/x", "a" + std::to_string(i)))->status, 200);
    EXPECT_EQ(first.arrivals().size(), before);
}

// Guards against requests to a server that has left (issue 35, DRAIN on a day of our own): its
// entry was removed after the store's return, and was kept as long as if that had just been
// noticed.
TEST_F(Gateways, EntryThatIsRemovedAfterTheStoresReturnIsDroppedInTime)
{
    auto &engine = addEngine("i-1", "app");
    startReadyGateway();
    // A change ends the poll that is under way; the next one fails.
    engine.announce();
    store->setMode(EmulatedStore::Mode::Reset);
    runUntil([] { return false; }, 1s);
    store->setMode(EmulatedStore::Mode::Normal);
    runUntil([] { return false; }, 600ms);
    ASSERT_EQ(sendRequest(makeRequest("/file/x", "a1"))->status, 200);
    // Changes that follow each other are read together, some time after the first one.
    engine.announce();
    runUntil([] { return false; }, 100ms);
    engine.withdraw();
    constexpr auto leaveNotice = 2000ms;
    runUntil([] { return false; }, leaveNotice);
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a2"))->status, 503);
    EXPECT_EQ(engine.arrivals().size(), 1U);
}

TEST_F(Gateways, ServesRequestsWhileTheStoreIsUnavailable)
{
    addEngine("i-1", "app");
    startReadyGateway();
    for (const auto mode : {EmulatedStore::Mode::Busy, EmulatedStore::Mode::Reset}) {
        store->setMode(mode);
        runUntil([] { return false; }, 300ms);
        EXPECT_EQ(readinessStatus(), 200);
        EXPECT_EQ(sendRequest(makeRequest("/file/x", "a1"))->status, 200);
    }
}

// The store is silent for seconds and never answers the polls for changes.
TEST_F(Gateways, PollLostByASilentStoreIsRepeated)
{
    addEngine("i-1", "app");
    startReadyGateway();
    runUntil([] { return false; }, 800ms);
    store->setMode(EmulatedStore::Mode::Silent);
    putConfiguration(2);
    runUntil([] { return false; }, 2500ms);
    store->setMode(EmulatedStore::Mode::Normal);
    putConfiguration(3, {{"tenants", {{{"name", "county"}, {"apiKeys", {"key2"}}}}}});
    runUntil([] { return false; }, 4s);
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a1"))->status, 401);
}

TEST_F(Gateways, OlderConfigurationIsIgnored)
{
    addEngine("i-1", "app");
    putConfiguration(5);
    startReadyGateway();
    putConfiguration(4, {{"routes", json::array()}});
    store->put("op", "config", "{\"version\":9");
    runUntil([] { return false; }, 300ms);
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a1"))->status, 200);
}

TEST_F(Gateways, QuotaIsEnforced)
{
    auto &engine = addEngine("i-1", "app");
    putConfiguration(2,
                     {{"tenants",
                       {{{"name", "county"},
                         {"apiKeys", {"key1"}},
                         {"unit", "token_stream"},
                         {"plainTokens", 10},
                         {"ratePerS", 1},
                         {"burst", 40}}}}});
    startReadyGateway();
    int served = 0;
    int refused = 0;
    for (int i = 0; i < 8; ++i) {
        const auto answer = sendRequest(makeRequest("/file/x", "a" + std::to_string(i)));
        served += answer->status == 200 ? 1 : 0;
        refused += answer->status == 429 && answer->fields.has("Retry-After") ? 1 : 0;
    }
    EXPECT_EQ(served + refused, 8);
    EXPECT_LE(served, 5);
    EXPECT_EQ(engine.runs(), served);
}

// A gateway is stopped while requests wait for a model that is not loaded in time.
TEST_F(Gateways, StopRefusesWaitingRequests)
{
    addEngine("i-1", "lm", {"m1"}).behaviour.ignoresOrders = true;
    putConfiguration(2,
                     {{"routes",
                       {{{"name", "r"},
                         {"host", "h.example"},
                         {"prefix", "/batch/"},
                         {"routeType", "streaming"},
                         {"timeoutMs", 20000},
                         {"targetLatencyMs", 5000},
                         {"service", "lm"},
                         {"resumable", true}}}}});
    startReadyGateway();
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(
        *answer, address,
        "POST /batch/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 20000\r\n"
        "Authorization: Bearer key1\r\nModel: m2\r\nContent-Length: 0\r\n\r\n");
    runUntil([] { return false; }, 200ms);
    bool done = false;
    gateway->drain([&] { done = true; });
    ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }, 4s));
    EXPECT_EQ(answer->status, 503);
    EXPECT_TRUE(answer->fields.has("Retry-After"));
    EXPECT_TRUE(runUntil([&] { return done; }, 2s));
}

TEST_F(Gateways, StopFinishesOpenRequestsAndTurnsReadinessOff)
{
    auto &engine = addEngine("i-1", "app");
    engine.behaviour.processingTime = 600ms;
    startReadyGateway();
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, address, makeRequest("/file/x", "a1"));
    ASSERT_TRUE(runUntil([&] { return engine.runs() == 1; }));
    bool done = false;
    gateway->drain([&] { done = true; });
    EXPECT_EQ(readinessStatus(), 503);
    ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }));
    EXPECT_EQ(answer->status, 200);
    EXPECT_TRUE(answer->fields.hasToken("Connection", "close"));
    EXPECT_TRUE(runUntil([&] { return done; }, 6s));
}

// Guards against a fleet that exceeds its retries together (issue 28): each gateway got a full
// budget again whenever the number of gateways changed or the settings were read.
TEST_F(Gateways, NewNumberOfGatewaysOrNewSettingsAddNoRetries)
{
    auto &first = addEngine("i-1", "app");
    auto &second = addEngine("i-2", "app");
    first.behaviour.losesAnswers = second.behaviour.losesAnswers = true;
    retrySlack = 5;
    startReadyGateway();
    int requests = 0;
    const auto sendLost = [&](int count) {
        for (int i = 0; i < count; ++i)
            sendRequest(makeRequest("/look/x", "a" + std::to_string(++requests)));
        return static_cast<int>(first.arrivals().size() + second.arrivals().size()) - requests;
    };
    const int retries = sendLost(10);
    EXPECT_GE(retries, 4);
    EXPECT_LE(retries, 6);
    const auto bindAddress = Http1::SocketAddress::parse("127.0.0.1:" + freePort());
    const auto link =
        std::move(*Gateway::PeerLink::open(*loop, *bindAddress, [](const auto &, auto) {}));
    link->send(peers, {{"kind", "demand"}, {"name", "g2"}, {"demand", json::array()}});
    runUntil([] { return false; }, 100ms);
    EXPECT_EQ(sendLost(2), retries) << "after a second gateway was heard of";
    Gateway::GatewaySettings settings;
    settings.retryRatio = 0.2;
    settings.retrySlack = 5;
    gateway->reload(settings);
    EXPECT_EQ(sendLost(1), retries) << "after the settings were read";
}

// The holder of the placement duty is stopped and still receives demand until its process ends.
TEST_F(Gateways, StoppedDutyHolderIgnoresDatagrams)
{
    auto &engine = addEngine("i-1", "lm", {"m1"});
    startReadyGateway();
    sendRequest(makeRequest("/batch/x", "a1", "Model: m2\r\nToken-Count: 10,10\r\n"));
    ASSERT_GT(engine.orders(), 0) << "it holds the duty";
    bool done = false;
    gateway->drain([&] { done = true; });
    ASSERT_TRUE(runUntil([&] { return done; }, 6s));
    const int orders = engine.orders();
    const auto bindAddress = Http1::SocketAddress::parse("127.0.0.1:" + freePort());
    const auto link =
        std::move(*Gateway::PeerLink::open(*loop, *bindAddress, [](const auto &, auto) {}));
    const json wanted = json::array({{"lm", "m3", "", 5, 0, 1.0, 100.0}});
    link->send(peers, {{"kind", "demand"}, {"name", "g2"}, {"demand", wanted}});
    runUntil([] { return false; }, 200ms);
    EXPECT_EQ(engine.orders(), orders);
}

// A long stream is requested three seconds after the stop request, and couldn't be finished in the
// remaining time.
TEST_F(Gateways, StoppingGatewayRefusesRequestsItMightNotFinish)
{
    auto &engine = addEngine("i-1", "lm", {"m1"});
    startReadyGateway();
    gateway->drain([] {});
    runUntil([] { return false; }, 2950ms);
    const auto answer = sendRequest(makeRequest("/draft/x", "a1", m1));
    EXPECT_EQ(answer->status, 503);
    EXPECT_TRUE(answer->fields.has("Retry-After"));
    EXPECT_EQ(answer->fields.value("Attempt-Id").value_or(""), "a1");
    EXPECT_EQ(engine.runs(), 0);
}

// The store briefly answers the duty holder late or not at all while a model is loaded from the
// weight store.
TEST_F(Gateways, HolderThatRegainsTheDutyKnowsItsEarlierOrders)
{
    int loads = 0;
    for (const char *id : {"i-1", "i-2"}) {
        auto &engine = addEngine(id, "lm", {id == std::string("i-1") ? "m1" : "m3"});
        engine.behaviour.loadTime = 6s;
        engine.observer.onOrder = [&loads](const auto &, const EmulatedEngine::Order &order) {
            loads += order.isLoad && order.model == "m2" ? 1 : 0;
        };
    }
    putConfiguration(2);
    startReadyGateway();
    ASSERT_TRUE(runUntil([&] { return loads == 1; })) << "m2 is loaded for later";
    store->setMode(EmulatedStore::Mode::Busy);
    runUntil([] { return false; }, 1700ms);
    store->setMode(EmulatedStore::Mode::Normal);
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    for (int i = 0; i < 8; ++i) {
        answers.push_back(std::make_shared<CallerAnswer>());
        sendOnNewConnection(*answers.back(), address,
                            makeRequest("/batch/x", "a" + std::to_string(i),
                                        "Model: m2\r\nToken-Count: 10,10\r\n"));
        runUntil([] { return false; }, 300ms);
    }
    EXPECT_EQ(loads, 1);
}
