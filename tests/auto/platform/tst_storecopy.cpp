// Gateways before a store that comes back from a copy: what it has acknowledged since is gone, and
// versions of rows are given out again.

#include "gatewayfixture.h"

namespace {

class StoreBackFromACopy : public Gateways
{
protected:
    struct Member
    {
        std::unique_ptr<Platform::RowStoreClient> rows;
        std::unique_ptr<Gateway::GatewayServer> server;
        Http1::SocketAddress callers;
    };

    struct SentOrder
    {
        std::string holder;
        std::uint64_t fence = 0;
        Utils::TimePoint at;
    };

    auto startGateways(int count) -> void
    {
        for (int i = 0; i < count; ++i) {
            startReadyGateway("g" + std::to_string(i));
            members.push_back({std::move(rows), std::move(gateway), address});
        }
    }

    auto watchOrders(EmulatedEngine &engine) -> void
    {
        engine.observer.onOrder = [this](const EmulatedEngine &, const auto &order) {
            orders.push_back({order.holder, order.fence, loop->now()});
        };
    }

    auto wait(std::chrono::milliseconds time) -> void
    {
        const auto from = loop->now();
        runUntil([&] { return loop->now() - from >= time; }, time + 1s);
    }

    /// Writes rows that gateways don't follow, so that the store's version rises.
    auto raiseVersion(int by) -> void
    {
        for (int i = 0; i < by; ++i)
            store->put("other", "row", std::to_string(i));
    }

    /// A configuration whose safe route has another prefix.
    auto putRoute(int version, const std::string &prefix) -> void
    {
        putConfiguration(version);
        json configuration = json::parse(store->value("op", "config"));
        configuration["routes"][0]["prefix"] = prefix;
        store->put("op", "config", configuration.dump());
    }

    /// Sends requests for the model until the holder of the lease has sent an order.
    auto requestModel(const std::string &model) -> void
    {
        const size_t before = orders.size();
        ASSERT_TRUE(runUntil(
            [&] {
                sendRequest(makeRequest(
                    "/draft/x",
                    model + "-" + std::to_string(loop->now().time_since_epoch().count()),
                    "Model: " + model + "\r\nToken-Count: 10,10\r\n"));
                return orders.size() > before;
            },
            12s));
    }

    auto statusOf(const std::string &target, const std::string &id) -> int
    {
        return sendRequest(makeRequest(target, id))->status;
    }

    std::vector<Member> members;
    std::vector<SentOrder> orders;
};

} // namespace

// Guards against a configuration that is never taken (issue 32, CONFIG): a follower that names
// states by their versions alone drops changes until the store's counter has passed its old value.
TEST_F(StoreBackFromACopy, NewConfigurationIsInForceInTime)
{
    addEngine("i-1", "app");
    startReadyGateway();
    wait(100ms);
    raiseVersion(200);
    wait(100ms);
    putRoute(2, "/second/");
    ASSERT_TRUE(runUntil([this] { return statusOf("/second/x", "a") == 200; }));
    store->restoreCopy(150ms);
    store->rewriteLost();
    putRoute(3, "/third/");
    EXPECT_TRUE(runUntil([this] { return statusOf("/third/x", "b") == 200; }, 2s));
    EXPECT_EQ(statusOf("/second/x", "c"), 404);
}

// The same after versions have been given out again beyond the last one that the gateway knows: an
// answer about changes after that version then lacks what was changed before it.
TEST_F(StoreBackFromACopy, VersionsGivenOutAgainHideNoChange)
{
    addEngine("i-1", "app");
    startReadyGateway();
    wait(200ms);
    raiseVersion(20);
    putRoute(2, "/second/");
    ASSERT_TRUE(runUntil([this] { return statusOf("/second/x", "a") == 200; }));
    store->setMode(EmulatedStore::Mode::Busy);
    store->restoreCopy(150ms);
    store->rewriteLost();
    putRoute(3, "/third/");
    raiseVersion(40);
    store->setMode(EmulatedStore::Mode::Normal);
    EXPECT_TRUE(runUntil([this] { return statusOf("/third/x", "b") == 200; }, 3s));
}

// Guards against two holders (issue 32, ONE): the fencing token is the version of the lease's row,
// which is lower in the copy.
TEST_F(StoreBackFromACopy, FencingTokensNeverFall)
{
    auto &engine = addEngine("i-1", "lm", {"m1"});
    watchOrders(engine);
    startGateways(2);
    wait(1500ms);
    raiseVersion(100);
    wait(600ms);
    requestModel("m1/a1");
    store->restoreCopy(1s);
    store->rewriteLost();
    wait(1500ms);
    requestModel("m1/a2");
    for (size_t i = 1; i < orders.size(); ++i)
        EXPECT_GE(orders[i].fence, orders[i - 1].fence) << i;
}

// Guards against orders of two holders (issue 32, ONE): the lease's row is gone, so another gateway
// takes the lease while the former holder still relies on its last renewal.
TEST_F(StoreBackFromACopy, HoldersOrdersStayApart)
{
    auto &engine = addEngine("i-1", "lm", {"m1"});
    watchOrders(engine);
    const auto copiedAt = loop->now();
    wait(10ms);
    startGateways(1);
    wait(1500ms);
    requestModel("m1/a1");
    // The former holder is cut off: it renews no more, and nobody receives its messages.
    members.clear();
    const auto lastOrder = orders.back();
    store->restoreCopy(
        std::chrono::duration_cast<std::chrono::milliseconds>(loop->now() - copiedAt));
    store->rewriteLost();
    isFirstStart = false;
    startReadyGateway("other");
    requestModel("m1/a2");
    const auto next = std::find_if(orders.begin(), orders.end(),
                                   [](const auto &order) { return order.holder == "other"; });
    ASSERT_NE(next, orders.end());
    EXPECT_GE(next->at - lastOrder.at, 3s);
    EXPECT_GT(next->fence, lastOrder.fence);
}

// Guards against a customer's quota being exceeded (issue 32, review): the lease learns of the new
// era before the followers do, and the holder counts only the gateways whose rows the copy has.
TEST_F(StoreBackFromACopy, GatewayWhoseRowIsLostStillCounts)
{
    startGateways(1);
    const auto holder = peers;
    const auto copiedAt = loop->now();
    wait(100ms);
    int counted = 0;
    struct Peer
    {
        std::string name;
        std::unique_ptr<Gateway::PeerLink> link;
    };
    std::vector<Peer> others;
    for (const char *name : {"g1", "g2"}) {
        const auto own = Http1::SocketAddress::parse("127.0.0.1:" + freePort());
        others.push_back(
            {name,
             std::move(*Gateway::PeerLink::open(*loop, *own, [&counted](const json &message, auto) {
                 if (message["kind"] == Gateway::HolderMessage::Kind)
                     counted = Gateway::HolderMessage::fromJson(message).gateways;
             }))});
    }
    const auto report = [&](const Peer &peer) {
        Gateway::DemandMessage message;
        message.name = peer.name;
        message.demand = json::array();
        message.seen.configurationRow = {Utils::StoreEra(1), 1};
        peer.link->send(holder, message.toJson());
    };
    for (int i = 0; i < 4; ++i) {
        for (const Peer &peer : others)
            report(peer);
        wait(250ms);
    }
    ASSERT_EQ(counted, 3);
    // From here on g2 is cut off from the holder. Its part of the quotas lasts for some seconds.
    const auto keepReporting = [&](std::chrono::milliseconds time) {
        for (auto left = time; left > 0ms; left -= 50ms) {
            report(others[0]);
            wait(50ms);
        }
    };
    store->setListDelay("op", 800ms);
    const auto renewed = store->version();
    ASSERT_TRUE(runUntil([&] { return store->version() != renewed; }));
    store->setMode(EmulatedStore::Mode::Busy);
    store->restoreCopy(
        std::chrono::duration_cast<std::chrono::milliseconds>(loop->now() - copiedAt));
    keepReporting(750ms);
    store->setMode(EmulatedStore::Mode::Normal);
    keepReporting(1500ms);
    EXPECT_EQ(counted, 3);
}

// Guards against a configuration that is never taken (issue 32, review): one answer names a wrong
// era.
TEST_F(StoreBackFromACopy, OneWrongEraDoesNotHideNewConfigurations)
{
    addEngine("i-1", "app");
    startReadyGateway();
    wait(100ms);
    store->setEraHeader("18446744073709551615");
    store->compact();
    wait(300ms);
    store->setEraHeader("1");
    store->compact();
    putRoute(2, "/second/");
    EXPECT_TRUE(runUntil([this] { return statusOf("/second/x", "a") == 200; }, 4s));
}

// Guards against a server that is never used (issue 32, review): it was taken for ended, registered
// again while the store was out of reach, and the copy has that row.
TEST_F(StoreBackFromACopy, ServerThatRegisteredAgainBeforeTheCopyIsUsed)
{
    addEngine("i-1", "app");
    startReadyGateway();
    wait(200ms);
    ASSERT_EQ(statusOf("/look/x", "a"), 200);
    const std::string row = store->value("servers", "i-1");
    store->remove("servers", "i-1");
    ASSERT_TRUE(runUntil([this] { return statusOf("/look/x", "b") == 503; }));
    store->setMode(EmulatedStore::Mode::Busy);
    store->compact();
    wait(300ms);
    store->put("servers", "i-1", row);
    wait(100ms);
    store->restoreCopy(50ms);
    store->rewriteLost();
    store->setMode(EmulatedStore::Mode::Normal);
    EXPECT_TRUE(runUntil([this] { return statusOf("/look/x", "c") == 200; }, 4s));
}
