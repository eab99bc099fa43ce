// Requests that are denied for good (404, 401, 413, 431) by a configuration that may have aged.

#include "gatewayfixture.h"

#include <gateway/gatewayconstants.h>
#include <http1/socketaddress.h>

namespace {

class Denials : public Gateways
{
protected:
    /// As another gateway tells that it knows a newer row of the configuration.
    auto announceNewerRow(std::uint64_t row) -> void
    {
        const auto own = Http1::SocketAddress::parse("127.0.0.1:" + freePort());
        const auto link =
            std::move(*Gateway::PeerLink::open(*loop, *own, [](const auto &, auto) {}));
        Gateway::DemandMessage message;
        message.name = "g2";
        message.demand = json::array();
        message.seen.configurationRow = row;
        link->send(peers, message.toJson());
        runUntil([] { return false; }, 50ms);
    }

    /// The store swallows all questions, also the one for changes that was open.
    auto silenceStore() -> void
    {
        store->setMode(EmulatedStore::Mode::Silent);
        runUntil([] { return false; }, Gateway::Constants::LongPollTimeout + 100ms);
    }

    /// What was acknowledged before must be in force everywhere after it.
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

// Guards against DENIED of issue 22: a gateway that others have told of a newer configuration
// answered 404 for a route of that configuration.
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

// Guards against DENIED of issue 22, whatever keeps the news away: no store that answers, and
// nobody who tells.
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

// Guards against the refusal of a request that a configuration on its way allows.
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

// What an operator sees of a gateway that goes by an old configuration.
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

// Guards against a crash: a configuration came for a request that waited for it, at a gateway that
// was already refusing what comes.
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

// Guards against an answer later than the route allows: the wait for the configuration counts too.
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

// Guards against 431 by limits of a configuration before, on a connection that was kept.
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

// A gateway whose store answers denies what no configuration allows, soon.
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

// Pattern: strangers ask for what does not exist, by the hundred. They cost the store few calls,
// and the callers of routes nothing.
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
    // A call for each confirmation that ends, beside the gateway's own: two long questions and the
    // lease.
    const double seconds = Utils::toSeconds(loop->now() - begun);
    EXPECT_GT(seconds, 2);
    EXPECT_LE(store->calls() - before, 4 + 4.5 * seconds);
}

// Pattern: the same while the store is silent. Few are held, the others are told at once.
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

// Guards against 431 and 413 by limits that no configuration has set.
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
