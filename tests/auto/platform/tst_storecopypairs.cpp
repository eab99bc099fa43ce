// The lease while the store comes back from a copy beside another fault. A new store may count its
// eras from 0 or from 1.

#include "storecopyfixture.h"

namespace {

class CopyBesideAnotherFault : public StoreBackFromACopy,
                               public testing::WithParamInterface<const char *>
{
protected:
    auto SetUp() -> void override
    {
        StoreBackFromACopy::SetUp();
        store->setEraHeader(GetParam());
    }

    /// Demand until the first gateway has taken the lease and sent orders.
    auto demandForFirstOrders() -> void
    {
        for (int i = 0; i < 14 && orders.empty(); ++i)
            demandFor(500ms);
        ASSERT_FALSE(orders.empty());
        demandFor(500ms);
    }

    /// Demand until an order comes from another gateway than that, or a while has passed.
    auto demandForOrdersOfAnother(const std::string &holder) -> void
    {
        for (int i = 0; i < 16 && lastHolder() == holder; ++i)
            demandFor(500ms);
        EXPECT_NE(lastHolder(), holder);
    }
};

} // namespace

INSTANTIATE_TEST_SUITE_P(FirstEra, CopyBesideAnotherFault, testing::Values("0", "1"));

// Guards against two holders (issue 35, ONE): a gateway of the first start takes a row that the
// copy lacks, while the holder, which is cut off from the store, relies on its lease.
TEST_P(CopyBesideAnotherFault, InTheFirstSeconds)
{
    watchOrders(addEngine("i-1", "lm", {"m1"}));
    startGateways(1);
    demandForFirstOrders();
    const std::string holder = lastHolder();
    member(holder).storeWire->setSilence(StandIns::StandInWire::Silence::Both);
    store->restoreCopy(10s);
    store->rewriteLost();
    startMember("late");
    demandForOrdersOfAnother(holder);
    member(holder).storeWire->setSilence(StandIns::StandInWire::Silence::None);
    demandFor(500ms);
    expectOneHolderAtATime();
}

// Guards against a lower fencing token after a higher one (issue 35, ONE): the holder is killed and
// starts again, and its orders are still under way.
TEST_P(CopyBesideAnotherFault, AfterARestartOfTheHolderOverASlowLink)
{
    auto &engine = addEngine("i-1", "lm", {"m1"});
    const auto path = insertPath(engine);
    watchOrders(engine);
    startGateways(1);
    demandForFirstOrders();
    const auto first = orders.back().fence;
    path->setDelay(200ms);
    demandFor(400ms);
    size_t before = orders.size();
    isFirstStart = false;
    restartMember("g0");
    for (int i = 0; i < 6 && orders.size() < before + 2; ++i)
        demandFor(500ms);
    EXPECT_GT(orders.size(), before);
    EXPECT_EQ(orders.back().fence, first);
    store->restoreCopy(300ms);
    store->rewriteLost();
    before = orders.size();
    demandFor(2s);
    EXPECT_GT(orders.size(), before);
    EXPECT_EQ(orders.back().fence, first);
    expectOneHolderAtATime();
}

// The holder ends at the copy, and starts again in the new era, in which its row may hide
// another's.
TEST_P(CopyBesideAnotherFault, BesideARestartOfTheHolder)
{
    watchOrders(addEngine("i-1", "lm", {"m1"}));
    startGateways(1);
    demandForFirstOrders();
    const auto last = orders.back();
    isFirstStart = false;
    store->restoreCopy(200ms);
    store->rewriteLost();
    restartMember("g0");
    const size_t before = orders.size();
    for (int i = 0; i < 16 && orders.size() == before; ++i)
        demandFor(500ms);
    ASSERT_GT(orders.size(), before);
    EXPECT_GT(orders.back().fence, last.fence);
    EXPECT_GE(orders.at(before).at - last.at, 3s);
    expectOneHolderAtATime();
}

// Two copies within the time of a takeover: the wait of a successor begins anew.
TEST_P(CopyBesideAnotherFault, TwiceBeforeTheLeaseIsTakenOver)
{
    watchOrders(addEngine("i-1", "lm", {"m1"}));
    startGateways(2);
    demandForFirstOrders();
    const std::string holder = lastHolder();
    endMember(holder);
    store->restoreCopy(500ms);
    store->rewriteLost();
    demandFor(2s);
    store->restoreCopy(2500ms);
    store->rewriteLost();
    const auto secondCopyAt = loop->now();
    const size_t before = orders.size();
    demandForOrdersOfAnother(holder);
    ASSERT_GT(orders.size(), before);
    constexpr auto takeoverTime = 4700ms;
    EXPECT_GE(orders.at(before).at - secondCopyAt, takeoverTime);
    expectOneHolderAtATime();
}
