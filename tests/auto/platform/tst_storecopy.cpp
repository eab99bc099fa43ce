// What gateways know of the configuration, of servers and of each other after the store came back
// from a copy.

#include "storecopyfixture.h"

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
        message.seen.configurationRow = {Utils::StoreEra(0), 1};
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
    store->setEraHeader("0");
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

// A server that is leaving looks ready in the copy until it writes again.
TEST_F(StoreBackFromACopy, LeavingServerGetsNoRequestsAfterACopy)
{
    auto &leaving = addEngine("i-1", "app");
    auto &other = addEngine("i-2", "app");
    startGateways(2);
    wait(200ms);
    leaving.announce("draining");
    wait(1s);
    store->restoreCopy(1100ms);
    wait(100ms);
    const int before = leaving.runs();
    for (int i = 0; i < 20; ++i) {
        address = members.at(static_cast<size_t>(i) % members.size()).callers;
        EXPECT_EQ(statusOf("/look/x", "q" + std::to_string(i)), 200) << i;
    }
    EXPECT_EQ(leaving.runs(), before);
    EXPECT_GE(other.runs(), 20);
    store->rewriteLost();
}

// Requests go on while the copy lacks the servers' rows, until the servers have written them again.
TEST_F(StoreBackFromACopy, LostRowsOfServersRefuseNoRequest)
{
    wait(50ms);
    const auto copiedAt = loop->now();
    wait(10ms);
    addEngine("i-1", "app");
    startGateways(2);
    wait(300ms);
    store->restoreCopy(
        std::chrono::duration_cast<std::chrono::milliseconds>(loop->now() - copiedAt));
    for (int i = 0; i < 40; ++i) {
        if (i == 20)
            store->rewriteLost();
        address = members.at(static_cast<size_t>(i) % members.size()).callers;
        EXPECT_EQ(statusOf("/file/x", "q" + std::to_string(i)), 200) << i;
        wait(20ms);
    }
    EXPECT_EQ(engines.front()->runs(), 40);
}

// Guards against a customer's quota being exceeded (issue 32, soak seed 3216): a gateway that
// starts after the copy counts the rows of the others, which only the holder wrote again.
TEST_F(StoreBackFromACopy, GatewayWritesItsLostRowAgainWithoutAHolder)
{
    isFirstStart = false;
    const auto copiedAt = loop->now();
    wait(10ms);
    startGateways(1);
    ASSERT_TRUE(runUntil([this] { return !store->value("acaciahall", "gateway/g0").empty(); }));
    store->restoreCopy(
        std::chrono::duration_cast<std::chrono::milliseconds>(loop->now() - copiedAt));
    ASSERT_TRUE(store->value("acaciahall", "gateway/g0").empty());
    store->rewriteLost();
    EXPECT_TRUE(runUntil([this] { return !store->value("acaciahall", "gateway/g0").empty(); }, 1s));
}
