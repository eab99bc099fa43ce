// Gateways before a store that comes back from a copy: what it has acknowledged since is gone, and
// versions of rows are given out again.

#include "gatewayfixture.h"

#include <standins/standinwire.h>

namespace {

class StoreBackFromACopy : public Gateways
{
protected:
    struct Member
    {
        std::unique_ptr<Platform::RowStoreClient> rows;
        std::unique_ptr<Gateway::GatewayServer> server;
        Http1::SocketAddress callers;
        std::string name;
        std::unique_ptr<StandIns::StandInWire> storeWire;
    };

    struct SentOrder
    {
        std::string holder;
        std::uint64_t fence = 0;
        Utils::TimePoint at;
    };

    auto startGateways(int count) -> void
    {
        for (int i = 0; i < count; ++i)
            startMember("g" + std::to_string(members.size()));
    }

    auto startMember(const std::string &name) -> void
    {
        auto wire = std::move(
            *StandIns::StandInWire::create(*loop, "127.0.0.1:0", store->address().toString()));
        storeLink = *Http1::SocketAddress::parse("127.0.0.1:" + std::to_string(wire->port()));
        startReadyGateway(name);
        storeLink.reset();
        members.push_back({std::move(rows), std::move(gateway), address, name, std::move(wire)});
    }

    auto endMember(const std::string &name) -> void
    {
        std::erase_if(members, [&](const Member &member) { return member.name == name; });
    }

    auto member(const std::string &name) -> Member &
    {
        return *std::find_if(members.begin(), members.end(),
                             [&](const Member &one) { return one.name == name; });
    }

    /// Name of the gateway that sent the last order.
    auto lastHolder() const -> std::string
    {
        return orders.empty() ? std::string() : orders.back().holder;
    }

    /// Callers ask all gateways for changing adapters, so that the holder sends orders all the
    /// time.
    auto demandFor(std::chrono::milliseconds time) -> void
    {
        const auto until = loop->now() + time;
        for (int i = 0; loop->now() < until; ++i) {
            constexpr int adapters = 3;
            const std::string id = "d" + std::to_string(++requestCount);
            demand.push_back(std::make_shared<CallerAnswer>());
            sendOnNewConnection(*demand.back(),
                                members.at(static_cast<size_t>(i) % members.size()).callers,
                                makeRequest("/draft/x", id,
                                            "Model: m1/a" + std::to_string(1 + i / 8 % adapters)
                                                + "\r\nToken-Count: 10,10\r\n"));
            wait(25ms);
        }
    }

    /// Checks ONE over all orders to one engine.
    auto expectOneHolderAtATime() -> void
    {
        constexpr auto leaseTime = 3s;
        for (size_t i = 1; i < orders.size(); ++i) {
            const SentOrder &last = orders[i - 1];
            const SentOrder &next = orders[i];
            EXPECT_GE(next.fence, last.fence) << i;
            if (next.holder == last.holder)
                continue;
            EXPECT_GT(next.fence, last.fence) << i;
            EXPECT_GE(next.at - last.at, leaseTime) << last.holder << " and " << next.holder;
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
    std::vector<std::shared_ptr<CallerAnswer>> demand;
    int requestCount = 0;
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

// The holder doesn't learn of the new era, as it is cut off from the store, while another gateway
// does (issue 32, ONE).
TEST_F(StoreBackFromACopy, HolderThatIsCutOffAndItsSuccessorStayApart)
{
    watchOrders(addEngine("i-1", "lm", {"m1"}));
    startGateways(2);
    demandFor(1s);
    const std::string holder = lastHolder();
    ASSERT_FALSE(holder.empty());
    member(holder).storeWire->setSilence(StandIns::StandInWire::Silence::Both);
    store->restoreCopy(3s);
    demandFor(200ms);
    store->rewriteLost();
    demandFor(6s);
    EXPECT_NE(lastHolder(), holder);
    member(holder).storeWire->setSilence(StandIns::StandInWire::Silence::None);
    demandFor(500ms);
    expectOneHolderAtATime();
}

// The holder ends just before the copy, which shows an earlier row, and orders arrive late (issue
// 32, ONE).
TEST_F(StoreBackFromACopy, ChangeOfHolderBesideACopyWithLateOrders)
{
    auto &engine = addEngine("i-1", "lm", {"m1"});
    auto engineWire = std::move(
        *StandIns::StandInWire::create(*loop, "127.0.0.1:0", engine.address().toString()));
    engine.advertisedAddress =
        *Http1::SocketAddress::parse("127.0.0.1:" + std::to_string(engineWire->port()));
    engine.announce();
    watchOrders(engine);
    startGateways(2);
    demandFor(1s);
    const std::string holder = lastHolder();
    ASSERT_FALSE(holder.empty());
    engineWire->setDelay(300ms);
    demandFor(300ms);
    endMember(holder);
    store->restoreCopy(800ms);
    store->rewriteLost();
    for (int i = 0; i < 10 && lastHolder() == holder; ++i)
        demandFor(1s);
    EXPECT_NE(lastHolder(), holder);
    expectOneHolderAtATime();
}

// The second copy goes back behind the first one, and gives its versions out once more.
TEST_F(StoreBackFromACopy, TwoCopiesInARow)
{
    watchOrders(addEngine("i-1", "lm", {"m1"}));
    addEngine("i-2", "app");
    startGateways(2);
    demandFor(1s);
    putRoute(2, "/second/");
    demandFor(300ms);
    store->restoreCopy(1s);
    demandFor(200ms);
    store->restoreCopy(1s);
    store->rewriteLost();
    putRoute(3, "/third/");
    demandFor(1500ms);
    for (const Member &member : members) {
        address = member.callers;
        EXPECT_EQ(statusOf("/third/x", "t-" + member.name), 200) << member.name;
        EXPECT_EQ(statusOf("/second/x", "s-" + member.name), 404) << member.name;
    }
    const size_t before = orders.size();
    demandFor(500ms);
    EXPECT_GT(orders.size(), before);
    expectOneHolderAtATime();
}

// Nobody remembers the lease, and the copy lacks its row (issue 32, ONE: a token must rise over a
// restart of all gateways).
TEST_F(StoreBackFromACopy, RestartOfAllGateways)
{
    watchOrders(addEngine("i-1", "lm", {"m1"}));
    startGateways(2);
    demandFor(1s);
    ASSERT_FALSE(orders.empty());
    members.clear();
    store->restoreCopy(10s);
    store->rewriteLost();
    isFirstStart = false;
    const size_t before = orders.size();
    startMember("h0");
    startMember("h1");
    demandFor(6s);
    EXPECT_GT(orders.size(), before);
    expectOneHolderAtATime();
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
