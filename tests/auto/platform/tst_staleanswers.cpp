// A faulty backend server writes an earlier answer once more on a connection that was kept. Each
// test checks that it is not taken for the answer to what was sent later.

#include "gatewayfixture.h"
#include "rawengine.h"

#include <set>

namespace {

/// The route of a request, and the refusal that its server writes twice.
using Repetition = std::pair<std::string, std::string>;

class RepeatedRefusals : public Gateways, public testing::WithParamInterface<Repetition>
{ };

auto answerTo(const std::string &attemptId) -> std::string
{
    const std::string name = attemptId.empty() ? "" : "Attempt-Id: " + attemptId + "\r\n";
    const std::string body = "ran " + attemptId;
    return "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n" + name
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string namedRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: a1\r\n"
    "Content-Length: 0\r\n\r\n";
const std::string wrongServer =
    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against "not run" for a request that runs (issue 32): a server refuses a request, runs its
// repetition, and meanwhile writes the refusal once more on the connection of the first send.
TEST_P(RepeatedRefusals, AreNotTakenForTheAnswerToTheRepetition)
{
    const auto &[target, refusal] = GetParam();
    RawEngine raw(*loop, [&](const RawEngine::Arrival &arrival) {
        if (arrival.number == 1)
            return raw.write(arrival.connection, refusal);
        raw.writeLater(0, 2ms, refusal);
        raw.writeLater(arrival.connection, 20ms, answerTo("a1"));
    });
    auto &engine = addEngine("i-1", "app");
    engine.advertisedAddress = raw.address();
    engine.announce();
    startReadyGateway();
    const auto answer = sendRequest(makeRequest(target, "a1"));
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "ran a1");
    EXPECT_EQ(raw.arrivals().size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(Gateways, RepeatedRefusals,
                         testing::Values(Repetition{"/look/x", namedRefusal},
                                         Repetition{"/file/x", namedRefusal},
                                         Repetition{"/look/x", wrongServer},
                                         Repetition{"/file/x", wrongServer}));

// Guards against the same where callers name no attempt: no answer can be told from an earlier one.
TEST_F(Gateways, EarlierAnswerIsNotTakenForTheAnswerToANamelessRequest)
{
    const std::string refusal =
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    RawEngine raw(*loop, [&](const RawEngine::Arrival &arrival) {
        if (arrival.number == 1)
            return raw.write(arrival.connection, answerTo({}));
        raw.write(0, refusal);
        raw.writeLater(arrival.connection, 10ms, answerTo({}));
    });
    auto &engine = addEngine("i-1", "app");
    engine.advertisedAddress = raw.address();
    engine.announce();
    startReadyGateway();
    const std::string request =
        "POST /file/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key1\r\n"
        "Deadline-Ms: 1400\r\nContent-Length: 4\r\n\r\nbody";
    EXPECT_EQ(sendRequest(request)->status, 200);
    EXPECT_EQ(sendRequest(request)->status, 200);
    EXPECT_EQ(raw.arrivals().size(), 2U);
}

// Connections are priced, so those on which other requests were refused are used on.
TEST_F(Gateways, ConnectionOnWhichAnotherRequestWasRefusedIsReused)
{
    RawEngine raw(*loop, [&](const RawEngine::Arrival &arrival) {
        raw.write(arrival.connection,
                  arrival.number == 1 ? namedRefusal : answerTo(arrival.attemptId));
    });
    auto &engine = addEngine("i-1", "app");
    engine.advertisedAddress = raw.address();
    engine.announce();
    startReadyGateway();
    EXPECT_EQ(sendRequest(makeRequest("/look/x", "a1"))->body, "ran a1");
    EXPECT_EQ(sendRequest(makeRequest("/look/x", "a2"))->body, "ran a2");
    EXPECT_EQ(sendRequest(makeRequest("/look/x", "a3"))->body, "ran a3");
    EXPECT_LE(raw.connectionCount(), 2U);
}

// A server answers every request with a refusal that names no other server. Each repetition draws
// on the budget that all gateways share.
TEST_F(Gateways, WrongServerWithoutAnotherNameIsNotAskedAgainAtOnce)
{
    RawEngine raw(*loop, [&](const RawEngine::Arrival &arrival) {
        raw.write(arrival.connection, wrongServer);
    });
    auto &engine = addEngine("i-1", "app");
    engine.advertisedAddress = raw.address();
    engine.announce();
    startReadyGateway();
    const auto answer = sendRequest(makeRequest("/file/x", "a1"));
    EXPECT_EQ(answer->status, 503);
    EXPECT_LE(raw.arrivals().size(), 4U) << "in 0.7 s";
}

// A server writes each answer once more when the next call arrives. Orders and report requests name
// no attempt, so each needs a connection that has carried nothing before.
TEST_F(Gateways, RepeatedAnswersToOrdersAndReportsAreNotTakenForLaterOnes)
{
    int orders = 0;
    bool isHeld = false;
    std::set<size_t> used;
    int callsOnUsedConnections = 0;
    std::pair<size_t, std::string> last;
    const auto writeAfterLast = [&last](RawEngine &raw, size_t connection,
                                        const std::string &answer) {
        if (!last.second.empty())
            raw.write(last.first, last.second);
        raw.write(connection, answer);
        last = {connection, answer};
    };
    RawEngine raw(*loop, [&](const RawEngine::Arrival &arrival) {
        used.insert(arrival.connection);
        writeAfterLast(raw, arrival.connection, answerTo(arrival.attemptId));
    });
    raw.onOwnCall = [&](const RawEngine::Arrival &arrival) {
        callsOnUsedConnections += used.insert(arrival.connection).second ? 0 : 1;
        if (arrival.target == "/-/order") {
            // Refused once, so that the answer to an earlier order would be a wrong one.
            isHeld = ++orders > 1;
            return writeAfterLast(raw, arrival.connection,
                                  std::string("HTTP/1.1 ")
                                      + (isHeld ? "202 Accepted" : "409 Conflict")
                                      + "\r\nContent-Length: 0\r\n\r\n");
        }
        json models = json::array();
        models.push_back({{"name", "m1"}, {"version", 1}, {"adapters", json::array()}});
        if (isHeld)
            models.push_back({{"name", "m2"}, {"version", 1}, {"adapters", json::array()}});
        const json report = {
            {"stage", "both"}, {"models", models}, {"busy", false}, {"sequence", isHeld ? 1 : 0}};
        writeAfterLast(raw, arrival.connection,
                       "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(report.dump().size())
                           + "\r\n\r\n" + report.dump());
    };
    auto &engine = addEngine("i-1", "lm", {"m1"});
    engine.advertisedAddress = raw.address();
    engine.announce();
    startReadyGateway();
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, address,
                        makeRequest("/batch/x", "a1", "Model: m2\r\nToken-Count: 10,10\r\n"));
    EXPECT_TRUE(runUntil([&] { return isHeld && !raw.arrivals().empty(); }, 3s));
    runUntil([] { return false; }, 300ms);
    EXPECT_EQ(orders, 2);
    EXPECT_EQ(callsOnUsedConnections, 0);
}
