// A backend server answers with a status that is none. Each test checks what callers get, and that
// the server counts as failed.

#include "gatewayfixture.h"
#include "rawengine.h"

#include <set>

namespace {

/// What a server sends instead of an answer.
class StatusCodes : public Gateways, public testing::WithParamInterface<std::string>
{
protected:
    /// Starts a gateway, and a server that answers every request so.
    auto startFaultyServer() -> void
    {
        raw = std::make_unique<RawEngine>(*loop, [this](const RawEngine::Arrival &arrival) {
            raw->write(arrival.connection, answerTo(arrival.attemptId));
        });
        auto &engine = addEngine("i-1", "app");
        engine.advertisedAddress = raw->address();
        engine.announce();
    }

    auto answerTo(const std::string &attemptId) const -> std::string
    {
        const std::string fields = "\r\nServer-Stamp: s\r\nAttempt-Id: " + attemptId;
        if (GetParam() != "103")
            return "HTTP/1.1 " + GetParam() + " Odd" + fields + "\r\nContent-Length: 2\r\n\r\nok";
        std::string interim;
        constexpr int many = 200;
        for (int i = 0; i < many; ++i)
            interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
        return interim;
    }

    std::unique_ptr<RawEngine> raw;
};

} // namespace

// Guards against: a caller that waits until its time is over, or gets a status that is none, and a
// connection that is used again.
TEST_P(StatusCodes, CallersOfRequestsThatMayRunOnceGet502AtOnce)
{
    startFaultyServer();
    startReadyGateway();
    const auto begun = loop->now();
    constexpr int requests = 3;
    std::set<size_t> connections;
    for (int i = 0; i < requests; ++i)
        EXPECT_EQ(sendRequest(makeRequest("/file/x", "a" + std::to_string(i)))->status, 502);
    EXPECT_LT(loop->now() - begun, 700ms);
    EXPECT_EQ(raw->arrivals().size(), size_t(requests));
    for (const RawEngine::Arrival &arrival : raw->arrivals())
        connections.insert(arrival.connection);
    EXPECT_EQ(connections.size(), size_t(requests));
}

TEST_P(StatusCodes, RepeatableRequestIsServedByAnotherServer)
{
    startFaultyServer();
    addEngine("i-2", "app").announce("draining");
    startReadyGateway();
    engines.back()->announce();
    runUntil([] { return false; }, 1s);
    const auto begun = loop->now();
    for (int i = 0; i < 6; ++i) {
        const auto answer = sendRequest(makeRequest("/look/x", "a" + std::to_string(i)));
        EXPECT_EQ(answer->status, 200);
        EXPECT_EQ(answer->body, "answer to a" + std::to_string(i));
    }
    EXPECT_LT(loop->now() - begun, 700ms);
    EXPECT_GE(raw->arrivals().size(), 1U);
}

// Guards against: a server that is not found out. Without failures, the requests of a caller that
// sends one after another all go to the same server.
TEST_P(StatusCodes, ServerCountsAsFailed)
{
    startFaultyServer();
    addEngine("i-2", "app");
    addEngine("i-3", "app");
    startReadyGateway();
    constexpr int requests = 30;
    for (int i = 0; i < requests; ++i)
        sendRequest(makeRequest("/file/x", "a" + std::to_string(i)));
    EXPECT_GE(raw->arrivals().size(), 1U);
    EXPECT_LE(raw->arrivals().size(), 4U);
    EXPECT_EQ(engines[1]->runs() + engines[2]->runs() + raw->arrivals().size(), size_t(requests));
}

INSTANTIATE_TEST_SUITE_P(Gateways, StatusCodes,
                         testing::Values("000", "099", "600", "999", "0200", "101", "103"));
