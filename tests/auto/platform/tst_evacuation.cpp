// Operators evacuate a failure domain while a gateway serves requests. Each test causes one failure
// and checks which servers get requests and orders.

#include "gatewayfixture.h"

#include <platform/evacuationcodec.h>

namespace {

const std::string m1 = "Model: m1\r\nToken-Count: 10,10\r\n";

/// A gateway in front of servers in two failure domains, of which one is evacuated.
class Evacuation : public Gateways
{
protected:
    auto addEngineIn(const std::string &domain, const std::string &id, const std::string &service,
                     const std::set<std::string> &models = {}) -> EmulatedEngine &
    {
        EmulatedEngine &engine = addEngine(id, service, models);
        engine.failureDomain = domain;
        engine.announce();
        return engine;
    }

    auto evacuate() -> void { store->put("op", "evacuate/a", "{}"); }
    auto endEvacuation() -> void { store->remove("op", "evacuate/a"); }

    /// Waits until the gateway's metrics count that many evacuated domains.
    auto waitForDomains(int count) -> bool
    {
        const auto expected = "acacia_evacuated_domains " + std::to_string(count) + "\n";
        return runUntil([&] { return scrape().find(expected) != std::string::npos; });
    }

    auto scrape() -> std::string
    {
        CallerAnswer answer;
        sendOnNewConnection(answer, metrics, "GET /metrics HTTP/1.1\r\n\r\n");
        runUntil([&] { return answer.end.has_value(); });
        return answer.body;
    }

    auto sendMany(int count) -> void
    {
        for (int i = 0; i < count; ++i)
            EXPECT_EQ(sendRequest(makeRequest("/file/x", "a" + std::to_string(++sent)))->status,
                      200);
    }

    int sent = 0;
};

} // namespace

TEST(EvacuationCodec, OnlyKeysOfTheRightFormEvacuateADomain)
{
    EXPECT_EQ(Platform::decodeEvacuationKey("evacuate/tw-north-a"), "tw-north-a");
    EXPECT_EQ(Platform::decodeEvacuationKey("evacuate/a/b"), "a/b");
    for (const char *key : {"config", "evacuate", "evacuate/", "Evacuate/a", "x/evacuate/a", ""})
        EXPECT_FALSE(Platform::decodeEvacuationKey(key)) << key;
}

TEST_F(Evacuation, NoRequestIsSentToTheDomainUntilTheRowIsRemoved)
{
    auto &evacuated = addEngineIn("a", "i-1", "app");
    auto &other = addEngineIn("b", "i-2", "app");
    startReadyGateway();
    sendMany(3);
    EXPECT_EQ(evacuated.runs(), 3) << "servers of the own domain come first";
    evacuate();
    ASSERT_TRUE(waitForDomains(1));
    sendMany(10);
    EXPECT_EQ(evacuated.arrivals().size(), 3U);
    EXPECT_EQ(other.runs(), 10);
    endEvacuation();
    ASSERT_TRUE(waitForDomains(0));
    sendMany(3);
    EXPECT_EQ(evacuated.runs(), 6);
}

// Guards against: a server that starts in the domain during the evacuation.
TEST_F(Evacuation, GatewayThatStartsDuringItSendsNothingThere)
{
    auto &evacuated = addEngineIn("a", "i-1", "app");
    auto &other = addEngineIn("b", "i-2", "app");
    evacuate();
    startReadyGateway();
    sendMany(5);
    auto &late = addEngineIn("a", "i-3", "app");
    runUntil([] { return false; }, 1s);
    sendMany(5);
    EXPECT_EQ(evacuated.arrivals().size() + late.arrivals().size(), 0U);
    EXPECT_EQ(other.runs(), 10);
}

TEST_F(Evacuation, ServiceWithoutAnotherServerRefusesAtOnce)
{
    auto &evacuated = addEngineIn("a", "i-1", "app");
    evacuated.behaviour.sheds = true;
    startReadyGateway();
    auto waiting = std::make_shared<CallerAnswer>();
    evacuate();
    sendOnNewConnection(*waiting, address, makeRequest("/file/x", "a1"));
    const auto begin = loop->now();
    ASSERT_TRUE(runUntil([&] { return waiting->end.has_value(); }));
    EXPECT_EQ(waiting->status, 503);
    ASSERT_TRUE(waitForDomains(1));
    const auto answer = sendRequest(makeRequest("/file/x", "a2"));
    EXPECT_EQ(answer->status, 503);
    EXPECT_TRUE(answer->fields.has("Retry-After"));
    EXPECT_LT(loop->now() - begin, 700ms) << "the requests could have waited for this time";
}

TEST_F(Evacuation, RunningStreamsRunToCompletion)
{
    auto &evacuated = addEngineIn("a", "i-1", "lm", {"m1"});
    evacuated.behaviour.eventInterval = 150ms;
    startReadyGateway();
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, address, makeRequest("/draft/x", "a1", m1));
    ASSERT_TRUE(runUntil([&] { return !answer->body.empty(); }));
    evacuate();
    ASSERT_TRUE(waitForDomains(1));
    EXPECT_FALSE(answer->end) << "the stream ended too early for this test";
    ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }));
    EXPECT_TRUE(answer->isWhole());
    EXPECT_EQ(events(answer->body), allEvents);
    EXPECT_FALSE(evacuated.arrivals().front().wasAbandoned);
}

// Guards against: placement that counts on what evacuated servers hold, or sends them orders.
TEST_F(Evacuation, ModelsAreLoadedElsewhere)
{
    auto &evacuated = addEngineIn("a", "i-1", "lm", {"m1"});
    auto &other = addEngineIn("b", "i-2", "lm", {"m2"});
    startReadyGateway();
    EXPECT_EQ(sendRequest(makeRequest("/draft/x", "a1", m1))->status, 200);
    EXPECT_EQ(evacuated.runs(), 1);
    evacuate();
    ASSERT_TRUE(waitForDomains(1));
    const int orders = evacuated.orders();
    const auto isLoaded = [&] {
        return sendRequest(makeRequest("/draft/x", "b" + std::to_string(++sent), m1))->status
            == 200;
    };
    EXPECT_TRUE(runUntil(isLoaded));
    EXPECT_EQ(other.models().count("m1"), 1U);
    EXPECT_EQ(evacuated.orders(), orders);
    EXPECT_EQ(evacuated.runs(), 1);
}

TEST_F(Evacuation, StaysInForceWhileTheStoreIsUnavailable)
{
    auto &evacuated = addEngineIn("a", "i-1", "app");
    addEngineIn("b", "i-2", "app");
    startReadyGateway();
    evacuate();
    ASSERT_TRUE(waitForDomains(1));
    store->setMode(EmulatedStore::Mode::Reset);
    store->compact();
    runUntil([] { return false; }, 500ms);
    sendMany(5);
    EXPECT_EQ(evacuated.arrivals().size(), 0U);
    endEvacuation();
    store->setMode(EmulatedStore::Mode::Normal);
    EXPECT_TRUE(waitForDomains(0)) << "the removal is learned from a read of the whole table";
}

TEST_F(Evacuation, WrittenWhileTheStoreIsUnavailableIsLearnedWhenItReturns)
{
    addEngineIn("a", "i-1", "app");
    startReadyGateway();
    store->setMode(EmulatedStore::Mode::Reset);
    store->compact();
    evacuate();
    runUntil([] { return false; }, 300ms);
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a1"))->status, 200);
    store->setMode(EmulatedStore::Mode::Normal);
    EXPECT_TRUE(waitForDomains(1));
}

TEST_F(Evacuation, CopyOfTheStoreWithoutTheRowEndsIt)
{
    addEngineIn("a", "i-1", "app");
    startReadyGateway();
    runUntil([] { return false; }, 300ms);
    evacuate();
    ASSERT_TRUE(waitForDomains(1));
    store->restoreCopy(200ms);
    EXPECT_TRUE(store->value("op", "evacuate/a").empty());
    EXPECT_TRUE(waitForDomains(0));
}
