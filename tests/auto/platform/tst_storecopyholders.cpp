// Orders to engines and their fencing tokens while the store comes back from a copy.

#include "storecopyfixture.h"

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
    for (int i = 0; i < 6 && orders.size() == before; ++i)
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

// Guards against a lower fencing token (issue 32, ONE): the duty was taken at a high version, and
// the copy is from before it. The holder goes on with its token (issue 35, ONE: it used to change
// while orders were under way); that of the next holder is higher.
TEST_F(StoreBackFromACopy, FencingTokenRisesAlthoughVersionsFall)
{
    watchOrders(addEngine("i-1", "lm", {"m1"}));
    const auto copiedAt = loop->now();
    wait(10ms);
    raiseVersion(100);
    startGateways(1);
    requestModel("m1/a1");
    const auto first = orders.back().fence;
    store->restoreCopy(
        std::chrono::duration_cast<std::chrono::milliseconds>(loop->now() - copiedAt));
    store->rewriteLost();
    wait(1s);
    requestModel("m1/a2");
    EXPECT_EQ(orders.back().fence, first);
    members.clear();
    startMember("other");
    requestModel("m1/a3");
    EXPECT_EQ(lastHolder(), "other");
    EXPECT_GT(orders.back().fence, first);
}
