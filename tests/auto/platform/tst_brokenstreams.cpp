// A stream breaks off, and its engine or the next one sends something else. Each test checks that
// the caller gets only events, and that an incomplete stream does not look complete.

#include "gatewayfixture.h"
#include "rawengine.h"

#include <array>
#include <cstdio>
#include <ostream>

namespace {

/// What the next engine sends after a stream has broken off.
struct Continuation
{
    std::string name;
    std::string bytes;
    bool endsConnection = false;
};

auto PrintTo(const Continuation &one, std::ostream *out) -> void
{
    *out << one.name;
}

class Continuations : public Gateways, public testing::WithParamInterface<Continuation>
{ };

const std::string m1 = "Model: m1\r\nToken-Count: 10,10\r\n";
const std::string streamHead = "HTTP/1.1 200 OK\r\nServer-Stamp: s1\r\nAttempt-Id: a1\r\n"
                               "Content-Type: text/event-stream\r\n";

auto event(int id) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: token\n\n";
}

auto chunk(const std::string &data) -> std::string
{
    std::array<char, 16> size = {};
    std::snprintf(size.data(), size.size(), "%zx", data.size());
    return std::string(size.data()) + "\r\n" + data + "\r\n";
}

auto chunkedStream(const std::string &data) -> std::string
{
    return streamHead + "Transfer-Encoding: chunked\r\n\r\n" + (data.empty() ? "" : chunk(data))
        + "0\r\n\r\n";
}

auto answer(const std::string &firstLines, const std::string &body) -> std::string
{
    return "HTTP/1.1 " + firstLines
        + "Attempt-Id: a1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto addRawEngine(EmulatedEngine &engine, const RawEngine &raw) -> void
{
    engine.advertisedAddress = raw.address();
    engine.announce();
}

} // namespace

// Guards against an error's text in the middle of a stream, and against a stream that ends as if it
// were complete (issue 32): a stream breaks off, and the next engine sends no continuation of it.
TEST_P(Continuations, ThatAreNoneAreKeptFromTheCaller)
{
    RawEngine raw(*loop, [&](const RawEngine::Arrival &arrival) {
        if (arrival.number == 1) {
            raw.write(arrival.connection,
                      streamHead + "Transfer-Encoding: chunked\r\n\r\n"
                          + chunk(event(1) + "id: 2\ndata: to"));
            return raw.reset(arrival.connection);
        }
        raw.write(arrival.connection, GetParam().bytes);
        if (GetParam().endsConnection)
            raw.finish(arrival.connection);
    });
    addRawEngine(addEngine("i-1", "lm", {"m1"}), raw);
    addRawEngine(addEngine("i-2", "lm", {"m1"}), raw);
    startReadyGateway();
    const auto answer = sendRequest(makeRequest("/batch/x", "a1", m1));
    ASSERT_TRUE(answer->end.has_value());
    EXPECT_FALSE(answer->isWhole());
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, event(1));
    EXPECT_EQ(answer->fields.value("Server-Stamp"), "s1");
    EXPECT_GE(raw.arrivals().size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    Gateways, Continuations,
    testing::Values(
        Continuation{"ServerError",
                     answer("500 Internal Server Error\r\nServer-Stamp: s2\r\n", "error\n\n")},
        Continuation{"NotFound", answer("404 Not Found\r\nServer-Stamp: s2\r\n", "error\n\n")},
        Continuation{"UnsignedSuccess", answer("200 OK\r\n", event(2))},
        Continuation{"NoStream", answer("200 OK\r\nServer-Stamp: s2\r\n", "{\"error\":1}")},
        Continuation{"EventsWithoutId",
                     answer("200 OK\r\nServer-Stamp: s2\r\n", "data: error\n\n")},
        Continuation{"TextLikeEvents",
                     answer("200 OK\r\nServer-Stamp: s2\r\n", "error: no\r\n\r\n")},
        Continuation{"EventsWithoutIdWithoutLength",
                     "HTTP/1.1 200 OK\r\nServer-Stamp: s2\r\nAttempt-Id: a1\r\n\r\ndata: error\n\n",
                     true},
        Continuation{"Nothing", answer("200 OK\r\nServer-Stamp: s2\r\n", "")},
        Continuation{"NothingInChunks", chunkedStream("")},
        Continuation{"OnlyEarlierEvents", chunkedStream(event(1))},
        Continuation{"OnlyComments", chunkedStream(": alive\n\n")},
        Continuation{"Refusal", answer("503 Service Unavailable\r\nNot-Executed: 1\r\n", "error")},
        Continuation{"EndInAHead", "HTTP/1.1 200 OK\r\nServer-Stamp: s2\r\nAttempt", true},
        Continuation{"ErrorInAHead",
                     "HTTP/1.1 200 OK\r\nServer-StHTTP/1.1 500 Internal Server Error\r\n"
                     "Content-Length: 7\r\n\r\nerror\n\n",
                     true},
        Continuation{"ErrorInAnEvent",
                     streamHead + "\r\nid: 2\ndata: HTTP/1.1 500 Internal Server Error", true}),
    [](const auto &one) { return one.param.name; });

// The next engine sends the rest; comments between its events are no harm.
TEST_F(Gateways, ContinuationWithNewEventsEndsTheStreamComplete)
{
    RawEngine raw(*loop, [&](const RawEngine::Arrival &arrival) {
        if (arrival.number == 1) {
            raw.write(arrival.connection, streamHead + "\r\n" + event(1) + "id: 2\ndata: to");
            return raw.finish(arrival.connection);
        }
        raw.write(arrival.connection, chunkedStream(": alive\n\n" + event(2) + event(3)));
    });
    addRawEngine(addEngine("i-1", "lm", {"m1"}), raw);
    addRawEngine(addEngine("i-2", "lm", {"m1"}), raw);
    startReadyGateway();
    const auto answer = sendRequest(makeRequest("/batch/x", "a1", m1));
    EXPECT_TRUE(answer->isWhole());
    EXPECT_EQ(events(answer->body), (std::vector<int>{1, 2, 3}));
}

// The next engine adds nothing, and the one after it sends the rest.
TEST_F(Gateways, ContinuationThatAddsNothingIsFollowedByAnother)
{
    putConfiguration(2,
                     {{"routes",
                       {{{"name", "r"},
                         {"host", "h.example"},
                         {"prefix", "/batch/"},
                         {"routeType", "streaming"},
                         {"timeoutMs", 1500},
                         {"targetLatencyMs", 100},
                         {"service", "lm"},
                         {"maxAttempts", 3},
                         {"resumable", true}}}}});
    RawEngine raw(*loop, [&](const RawEngine::Arrival &arrival) {
        if (arrival.number == 1) {
            raw.write(arrival.connection, streamHead + "\r\n" + event(1));
            return raw.reset(arrival.connection);
        }
        raw.write(arrival.connection, chunkedStream(arrival.number == 2 ? "" : event(2)));
    });
    for (const char *id : {"i-1", "i-2", "i-3"})
        addRawEngine(addEngine(id, "lm", {"m1"}), raw);
    startReadyGateway();
    const auto answer = sendRequest(makeRequest("/batch/x", "a1", m1));
    EXPECT_TRUE(answer->isWhole());
    EXPECT_EQ(events(answer->body), (std::vector<int>{1, 2}));
    EXPECT_EQ(raw.arrivals().size(), 3U);
}

// Without ids, nothing tells the next engine where to go on, so events would come twice.
TEST_F(Gateways, StreamOfEventsWithoutIdIsNotResumed)
{
    RawEngine raw(*loop, [&](const RawEngine::Arrival &arrival) {
        raw.write(arrival.connection,
                  streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("data: x\n\n"));
        raw.reset(arrival.connection);
    });
    addRawEngine(addEngine("i-1", "lm", {"m1"}), raw);
    addRawEngine(addEngine("i-2", "lm", {"m1"}), raw);
    startReadyGateway();
    const auto answer = sendRequest(makeRequest("/batch/x", "a1", m1));
    EXPECT_FALSE(answer->isWhole());
    EXPECT_EQ(answer->body, "data: x\n\n");
    EXPECT_EQ(raw.arrivals().size(), 1U);
}

// An answer has neither a length nor chunks and ends with its connection. Only an end inside an
// event or a reset shows that it is incomplete.
TEST_F(Gateways, StreamThatEndsWithItsConnectionIsCompleteOnlyAtAnEventsEnd)
{
    struct Case
    {
        std::string rest;
        bool isReset = false;
        bool isComplete = false;
    };
    const std::vector<Case> cases = {{event(2), false, true},
                                     {"id: 2\ndata: tok", false, false},
                                     {"id: 2\ndata: token\n", false, false},
                                     {"id: 2\n", false, false},
                                     {event(2), true, false}};
    RawEngine raw(*loop, [&](const RawEngine::Arrival &arrival) {
        const Case &one = cases[static_cast<size_t>(arrival.number) - 1];
        std::string head = streamHead;
        head.replace(head.find("a1"), 2, arrival.attemptId);
        raw.write(arrival.connection, head + "\r\n" + event(1) + one.rest);
        loop->callAfter(20ms, [&raw, one, connection = arrival.connection] {
            if (one.isReset)
                raw.reset(connection);
            else
                raw.finish(connection);
        });
    });
    addRawEngine(addEngine("i-1", "lm", {"m1"}), raw);
    startReadyGateway();
    int number = 0;
    for (const Case &one : cases) {
        const auto answer =
            sendRequest(makeRequest("/draft/x", "a" + std::to_string(++number), m1));
        EXPECT_EQ(answer->isWhole(), one.isComplete) << number;
        EXPECT_EQ(answer->body, one.rest.ends_with("\n\n") ? event(1) + event(2) : event(1));
    }
}

// Guards against an answer's head in the middle of a stream (issue 32): an engine writes an earlier
// refusal once more between two events of a stream that has neither a length nor chunks.
TEST_F(Gateways, RefusalBetweenTwoEventsOfAStreamIsKeptFromTheCaller)
{
    RawEngine raw(*loop, [&](const RawEngine::Arrival &arrival) {
        raw.write(arrival.connection,
                  streamHead + "\r\n" + event(1)
                      + "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                        "Content-Length: 0\r\n\r\n"
                      + event(2));
        raw.finish(arrival.connection);
    });
    addRawEngine(addEngine("i-1", "lm", {"m1"}), raw);
    startReadyGateway();
    const auto answer = sendRequest(makeRequest("/draft/x", "a1", m1));
    EXPECT_FALSE(answer->isWhole());
    EXPECT_EQ(answer->body, event(1));
}

// A request makes its engine crash while it writes, and the engine's machine ends the connection in
// an orderly way. The third such request is refused before it reaches an engine.
TEST_F(Gateways, StreamThatEndsInsideAnEventCountsAsASignOfACrash)
{
    putConfiguration(2,
                     {{"routes",
                       {{{"name", "r"},
                         {"host", "h.example"},
                         {"prefix", "/flow/"},
                         {"routeType", "streaming"},
                         {"timeoutMs", 1500},
                         {"targetLatencyMs", 100},
                         {"service", "app"}}}}});
    RawEngine raw(*loop, [&](const RawEngine::Arrival &arrival) {
        std::string head = streamHead;
        head.replace(head.find("a1"), 2, arrival.attemptId);
        raw.write(arrival.connection, head + "\r\n" + event(1) + "id: 2\ndata: to");
        raw.finish(arrival.connection);
    });
    auto &engine = addEngine("i-1", "app");
    addRawEngine(engine, raw);
    startReadyGateway();
    for (int i = 1; i <= 2; ++i) {
        EXPECT_FALSE(sendRequest(makeRequest("/flow/x", "a" + std::to_string(i)))->isWhole());
        engine.crash();
        engine.restart("i-1");
        runUntil([] { return false; }, 700ms);
    }
    EXPECT_EQ(sendRequest(makeRequest("/flow/x", "a3"))->status, 503);
    EXPECT_EQ(raw.arrivals().size(), 2U);
}
