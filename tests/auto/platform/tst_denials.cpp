// Final denials (404, 401, 413, 431) while the gateway's configuration may be out of date.

#include "gatewayfixture.h"

#include <gateway/gatewayconstants.h>
#include <http1/socketaddress.h>

namespace {

class Denials : public Gateways
{
protected:
    /// Reports a newer configuration row to the gateway, as another gateway would.
    auto announceNewerRow(std::uint64_t row) -> void
    {
        const auto own = Http1::SocketAddress::parse("127.0.0.1:" + freePort());
        const auto link =
            std::move(*Gateway::PeerLink::open(*loop, *own, [](const auto &, auto) {}));
        Gateway::DemandMessage message;
        message.name = "g2";
        message.demand = json::array();
        message.seen.configurationRow = {Utils::StoreEra(0), row};
        link->send(peers, message.toJson());
        runUntil([] { return false; }, 50ms);
    }

    /// Makes the store ignore all calls, and waits until the open poll for changes has ended.
    auto silenceStore() -> void
    {
        store->setMode(EmulatedStore::Mode::Silent);
        runUntil([] { return false; }, Gateway::Constants::LongPollTimeout + 100ms);
    }

    /// Waits until changes acknowledged before must be in force at every gateway.
    auto waitForApplyTime() -> void
    {
        runUntil([] { return false; }, Gateway::GatewaySettings().configurationApplyTime);
    }

    static auto withRoute(const std::string &prefix) -> json
    {
        return {{"routes",
                 {{{"name", "new"},
                   {"host", "h.example"},
                   {"prefix", prefix},
                   {"routeType", "safe"},
                   {"timeoutMs", 1500},
                   {"targetLatencyMs", 100},
                   {"priority", 0},
                   {"service", "app"},
                   {"maxAttempts", 2}}}}};
    }

    static auto withKey(const std::string &key) -> json
    {
        return {{"tenants", {{{"name", "county"}, {"apiKeys", {"key1", key}}}}}};
    }
};

} // namespace

// Guards against DENIED of issue 22: a gateway answered 404 for a route of a newer configuration
// that other gateways had already reported to it.
TEST_F(Denials, RouteIsNotDeniedWhileOthersKnowANewerConfiguration)
{
    addEngine("i-1", "app");
    startReadyGateway();
    store->setMode(EmulatedStore::Mode::Silent);
    announceNewerRow(1000000);
    const auto answer = sendRequest(makeRequest("/new/x", "a1"));
    EXPECT_EQ(answer->status, 503);
    EXPECT_TRUE(answer->fields.has("Retry-After"));
    EXPECT_EQ(sendRequest(makeRequest("/look/x", "a2"))->status, 200);
}

// Guards against DENIED of issue 22 when neither the store nor another gateway reports the newer
// configuration.
TEST_F(Denials, NothingIsDeniedByAConfigurationThatTheStoreHasNotConfirmed)
{
    addEngine("i-1", "app");
    startReadyGateway();
    silenceStore();
    putConfiguration(2, withKey("key3"));
    waitForApplyTime();
    EXPECT_EQ(sendRequest(makeRequest("/new/x", "a1"))->status, 503);
    EXPECT_EQ(sendRequest(makeRequest("/look/x", "a2", {}, "key3"))->status, 503);
    EXPECT_EQ(sendRequest(makeRequest("/look/x", "a3"))->status, 200);
}

// Guards against refusing a request that a configuration still in transfer allows.
TEST_F(Denials, RequestForANewRouteWaitsForThePendingConfiguration)
{
    addEngine("i-1", "app");
    startReadyGateway();
    silenceStore();
    putConfiguration(2, withRoute("/new/"));
    waitForApplyTime();
    CallerAnswer answer;
    sendOnNewConnection(answer, address, makeRequest("/new/x", "a1"));
    runUntil([] { return false; }, 100ms);
    EXPECT_FALSE(answer.end);
    store->setMode(EmulatedStore::Mode::Normal);
    runUntil([&] { return answer.end.has_value(); });
    EXPECT_EQ(answer.status, 200);
}

// Metrics of a gateway that uses an old configuration.
TEST_F(Denials, MetricsReportTheConfigurationVersionAndAge)
{
    startReadyGateway();
    silenceStore();
    putConfiguration(2);
    waitForApplyTime();
    CallerAnswer answer;
    sendOnNewConnection(answer, metrics, "GET /metrics HTTP/1.1\r\n\r\n");
    runUntil([&] { return answer.end.has_value(); });
    EXPECT_THAT(answer.body, testing::HasSubstr("acacia_configuration_version 1\n"));
    EXPECT_THAT(answer.body, testing::HasSubstr("acacia_loop_delay_seconds "));
    const std::string age = "\nacacia_configuration_age_seconds ";
    const auto at = answer.body.find(age);
    ASSERT_NE(at, std::string::npos);
    EXPECT_GE(std::stod(answer.body.substr(at + age.size())), 2);
}

// Guards against a crash: a configuration arrived for a waiting request while the gateway was
// stopping and already refused new requests.
TEST_F(Denials, ConfigurationReceivedWhileStoppingEndsWaitingRequests)
{
    addEngine("i-1", "app");
    startReadyGateway();
    silenceStore();
    gateway->drain([] {});
    runUntil([] { return false; }, 2600ms);
    CallerAnswer answer;
    sendOnNewConnection(answer, address, makeRequest("/look/x", "a1", {}, "key3"));
    runUntil([] { return false; }, 500ms);
    EXPECT_FALSE(answer.end);
    putConfiguration(2, withKey("key3"));
    store->setMode(EmulatedStore::Mode::Normal);
    EXPECT_TRUE(runUntil([&] { return answer.end.has_value(); }));
    EXPECT_EQ(answer.status, 503);
}

// Guards against an answer after the route's timeout, which includes the wait for the
// configuration.
TEST_F(Denials, WaitForTheConfigurationCountsTowardsTheRouteTimeout)
{
    auto &engine = addEngine("i-1", "app");
    engine.behaviour.processingTime = 3s;
    startReadyGateway();
    silenceStore();
    putConfiguration(2, withKey("key3"));
    waitForApplyTime();
    const auto begun = loop->now();
    CallerAnswer answer;
    sendOnNewConnection(answer, address, makeRequest("/look/x", "a1", {}, "key3"));
    runUntil([] { return false; }, 500ms);
    store->setMode(EmulatedStore::Mode::Normal);
    EXPECT_TRUE(runUntil([&] { return answer.end.has_value(); }));
    EXPECT_EQ(answer.status, 504);
    EXPECT_LT(loop->now() - begun, 1700ms);
}

// Guards against 431 by the limits of an earlier configuration on a keep-alive connection.
TEST_F(Denials, SizeLimitsFollowTheConfigurationOnKeepAliveConnections)
{
    addEngine("i-1", "app");
    startReadyGateway();
    const auto first = sendRequest(makeRequest("/look/x", "a1"));
    EXPECT_EQ(first->status, 200);
    putConfiguration(2,
                     {{"limits",
                       {{"maxHeaderBytes", 30000},
                        {"maxBodyBytes", 100000},
                        {"headerTimeoutMs", 1000},
                        {"idleTimeoutMs", 5000}}}});
    runUntil([] { return false; }, 500ms);
    CallerAnswer second;
    second.connection = std::move(first->connection);
    call(second, makeRequest("/look/x", "a2", "X-Long: " + std::string(10 << 10, 'x') + "\r\n"));
    EXPECT_TRUE(runUntil([&] { return second.end.has_value(); }));
    EXPECT_EQ(second.status, 200);
}

// While the store answers, requests that no configuration allows are denied quickly.
TEST_F(Denials, ConfirmedDenialsAreFast)
{
    addEngine("i-1", "app");
    startReadyGateway();
    for (int i = 0; i < 12; ++i) {
        const auto begun = loop->now();
        EXPECT_EQ(sendRequest(makeRequest("/none/x", "a" + std::to_string(i)))->status, 404);
        EXPECT_EQ(sendRequest(makeRequest("/look/x", "b" + std::to_string(i), {}, "wrong"))->status,
                  401);
        EXPECT_LT(loop->now() - begun, 200ms);
        runUntil([] { return false; }, 300ms);
    }
}

// Hundreds of requests for unknown routes must cause few calls to the store.
TEST_F(Denials, UnknownRoutesCauseFewStoreCalls)
{
    addEngine("i-1", "app");
    startReadyGateway();
    const int before = store->calls();
    const auto begun = loop->now();
    for (int i = 0; i < 300; ++i) {
        EXPECT_EQ(sendRequest(makeRequest("/none/x", "a" + std::to_string(i)))->status, 404);
        runUntil([] { return false; }, 10ms);
    }
    // One call for each confirmation, in addition to the gateway's own: two long polls and the
    // lease.
    const double seconds = Utils::toSeconds(loop->now() - begun);
    EXPECT_GT(seconds, 2);
    EXPECT_LE(store->calls() - before, 4 + 4.5 * seconds);
}

// The same while the store is silent: few requests are held, the others are refused immediately.
TEST_F(Denials, RequestsForUnknownRoutesAreNotHeldIndefinitely)
{
    addEngine("i-1", "app");
    startReadyGateway();
    silenceStore();
    waitForApplyTime();
    std::vector<std::unique_ptr<CallerAnswer>> answers;
    for (int i = 0; i < 400; ++i) {
        answers.push_back(std::make_unique<CallerAnswer>());
        sendOnNewConnection(*answers.back(), address,
                            makeRequest("/none/x", "a" + std::to_string(i)));
    }
    EXPECT_TRUE(runUntil(
        [&] {
            return std::all_of(answers.begin(), answers.end(),
                               [](const auto &answer) { return answer->end.has_value(); });
        },
        2s));
    for (const auto &answer : answers)
        EXPECT_EQ(answer->status, 503);
    EXPECT_EQ(sendRequest(makeRequest("/look/x", "b"))->status, 200);
}

// Guards against 431 and 413 by default limits before any configuration has been read.
TEST_F(Denials, SizesAreNotDeniedBeforeTheFirstConfiguration)
{
    store->setMode(EmulatedStore::Mode::Busy);
    startGateway();
    EXPECT_EQ(
        sendRequest(makeRequest("/look/x", "a1", "X-Long: " + std::string(20 << 10, 'x') + "\r\n"))
            ->status,
        503);
    EXPECT_EQ(sendRequest("POST /look/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a2\r\n"
                          "Content-Length: 5000000\r\n\r\n")
                  ->status,
              503);
}
