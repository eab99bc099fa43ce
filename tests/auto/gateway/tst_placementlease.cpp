// The lease on model placement over starts of gateways under a name that the row already bears.

#include "memoryrowstore.h"

#include <gateway/placementlease.h>
#include <utils/boottime.h>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <thread>

using namespace std::chrono_literals;
using Gateway::PlacementLease;
using nlohmann::json;

namespace {

class PlacementLeases : public testing::Test
{
protected:
    static constexpr Membership::LeaseTiming Timing = {5ms, 60ms, 200ms, 200ms};
    static constexpr auto Address = "127.0.0.1:7001";

    auto start(const std::string &address = Address) -> std::shared_ptr<PlacementLease>
    {
        PlacementLease::Events events;
        events.onAnswer = [](auto) {};
        events.onOtherHolder = [this](const auto &holder) { otherHolder = holder; };
        events.onStoreRecovered = [] {};
        events.onWriteFinished = [] {};
        return std::make_shared<PlacementLease>(
            store, "t", "g1", *Http1::SocketAddress::parse(address), Timing, std::move(events));
    }

    /// Ticks until the lease is held; returns how long that took.
    static auto acquire(PlacementLease &lease) -> Utils::Duration
    {
        const auto from = Utils::bootTime();
        while (!lease.isHeld() && Utils::bootTime() - from < 2s) {
            lease.tick();
            std::this_thread::sleep_for(1ms);
        }
        EXPECT_TRUE(lease.isHeld());
        return Utils::bootTime() - from;
    }

    /// Acquires the lease and renews it once; returns its fencing token.
    auto holdBefore() -> std::uint64_t
    {
        const auto lease = start();
        acquire(*lease);
        const auto acquired = lease->version();
        while (lease->version() == acquired) {
            lease->tick();
            std::this_thread::sleep_for(1ms);
        }
        lease->stop();
        return lease->fence();
    }

    auto putRow(const json &value) -> void { store.put(PlacementLease::Key, value.dump()); }

    MemoryRowStore store;
    std::optional<Http1::SocketAddress> otherHolder; ///< As the lease has named it.
};

} // namespace

// Guards against a lower fencing token after a higher one (issue 35, ONE): a process that is killed
// and started again found its own name in the row and got a higher token than its orders under way.
TEST_F(PlacementLeases, ProcessThatStartsAgainGoesOnUnderItsToken)
{
    const auto before = holdBefore();
    const auto lease = start();
    EXPECT_LT(acquire(*lease), 100ms);
    EXPECT_EQ(lease->fence(), before);
    EXPECT_EQ(lease->tenureOrigin(), Membership::TenureOrigin::OwnRow);
}

// Guards against two holders (issue 35, ONE): a machine that replaces the holder under its name
// took the lease at once.
TEST_F(PlacementLeases, MachineThatReplacesTheHolderWaits)
{
    const auto before = holdBefore();
    const auto lease = start("127.0.0.1:7002");
    EXPECT_GE(acquire(*lease), Timing.takeoverTimeout);
    EXPECT_EQ(lease->tenureOrigin(), Membership::TenureOrigin::NewTenure);
    EXPECT_GT(lease->fence(), before);
}

// Guards against two views of who decides (issue 35, ONE): a former holder kept its record of the
// engines although a machine that took over its name had held the lease meanwhile.
TEST_F(PlacementLeases, MachineThatTookOverTheNameIsAnotherHolder)
{
    const auto former = start();
    acquire(*former);
    std::this_thread::sleep_for(Timing.holdTimeout);
    const auto other = start("127.0.0.1:7002");
    acquire(*other);
    otherHolder.reset();
    for (int i = 0; i < 50 && !otherHolder; ++i) {
        former->tick();
        std::this_thread::sleep_for(1ms);
    }
    EXPECT_FALSE(former->isHeld());
    EXPECT_EQ(otherHolder, *Http1::SocketAddress::parse("127.0.0.1:7002"));
}

// The same in a later era, in which the row may hide another holder's.
TEST_F(PlacementLeases, ProcessThatStartsAgainInALaterEraWaits)
{
    const auto before = holdBefore();
    store.era = Utils::StoreEra(1);
    const auto lease = start();
    EXPECT_GE(acquire(*lease), Timing.takeoverTimeout);
    EXPECT_GT(lease->fence(), before);
}

// Earlier software renews the row without its tenure.
TEST_F(PlacementLeases, RowWithoutATenureIsWaitedFor)
{
    const auto before = holdBefore();
    putRow({{"holder", "g1"}, {"address", Address}, {"era", 0}});
    const auto lease = start();
    EXPECT_GE(acquire(*lease), Timing.takeoverTimeout);
    EXPECT_GT(lease->fence(), before);
}

// A tenure that is newer than its row, or no tenure at all, names nothing.
TEST_F(PlacementLeases, RowWithAnImpossibleTenureIsWaitedFor)
{
    for (const json &tenure :
         {json{{"era", 0}, {"number", 1000}}, json{{"era", 7}, {"number", 1}}, json("x"), json{},
          json{{"era", 0}, {"number", "1"}}, json{{"era", 0}}, json{{"number", -1}}}) {
        putRow({{"holder", "g1"}, {"address", Address}, {"era", 0}, {"tenure", tenure}});
        const auto lease = start();
        EXPECT_GE(acquire(*lease), Timing.takeoverTimeout) << tenure;
        EXPECT_LT(lease->fence(), 100U) << tenure;
        lease->stop();
    }
}

// Guards against a token that is higher than that of a later holder (issue 35, ONE, review): a
// damaged row names a tenure of an earlier era with a number that no store has reached.
TEST_F(PlacementLeases, RowWithAnImpossibleTenureOfAnEarlierEraIsWaitedFor)
{
    store.era = Utils::StoreEra(1);
    constexpr std::uint64_t outOfReach = std::uint64_t(1) << 40;
    putRow({{"holder", "g1"},
            {"address", Address},
            {"era", 1},
            {"tenure", {{"era", 0}, {"number", outOfReach}}}});
    const auto lease = start();
    EXPECT_GE(acquire(*lease), Timing.takeoverTimeout);
    EXPECT_LT(lease->fence(), outOfReach);
}

// The process ends before it learns that it has become the holder.
TEST_F(PlacementLeases, FirstWriteWithoutAnswerNamesItsTenure)
{
    const auto former = start();
    store.losesAnswers = true;
    const auto until = Utils::bootTime() + Timing.takeoverTimeout + 20ms;
    while (Utils::bootTime() < until) {
        former->tick();
        std::this_thread::sleep_for(1ms);
    }
    former->stop();
    ASSERT_FALSE(former->isHeld());
    store.losesAnswers = false;
    const auto lease = start();
    EXPECT_LT(acquire(*lease), 100ms);
    constexpr std::uint64_t firstVersion = 1;
    EXPECT_EQ(lease->fence(), firstVersion);
}

// Rows of this software are read by earlier one, which knows these fields.
TEST_F(PlacementLeases, RowKeepsTheFieldsOfEarlierSoftware)
{
    holdBefore();
    const auto row = json::parse(store.value(PlacementLease::Key));
    EXPECT_EQ(row["holder"], "g1");
    EXPECT_EQ(row["address"], Address);
    EXPECT_EQ(row["era"], 0);
    EXPECT_EQ(row["tenure"], (json{{"era", 0}, {"number", 1}}));
}
