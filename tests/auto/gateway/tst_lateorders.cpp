// Tests the tracking of unanswered orders across restarts of engines and changes of the lease
// holder.

#include <placement/unansweredorders.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace Placement;
using namespace std::chrono_literals;

namespace {

const Utils::TimePoint start = Utils::TimePoint() + 1h;
auto load(std::int64_t expected, double memoryMb, bool isAdapter = false) -> UnansweredOrders::Load
{
    return {expected, isAdapter, memoryMb};
}

} // namespace

// A load gets no answer; the engine crashes, restarts under its id and reaches the count of orders
// that the load names. The delayed load would then be executed in addition to newer ones.
TEST(UnansweredOrders, MemoryOfAnUnansweredLoadStaysReservedAtTheNextIncarnation)
{
    UnansweredOrders orders(start);
    orders.noteSent("e1", 1, load(3, 65000), start + 20s);
    EXPECT_EQ(orders.reserveFor("e1", 1, {}, start + 21s).weightsMb, 0)
        << "the count protects the same incarnation";
    EXPECT_EQ(orders.reserveFor("e1", 1, {}, start + 21s).lateMb, 65000);
    EXPECT_EQ(orders.reserveFor("e1", 2, start + 21s, start + 21s).weightsMb, 65000);
    EXPECT_EQ(orders.reserveFor("e2", 2, start + 21s, start + 21s).weightsMb, 0);
    EXPECT_EQ(orders.reserveFor("e1", 2, start + 21s, start + 32s).weightsMb, 0);
}

TEST(UnansweredOrders, AnsweredLoadsReserveNothing)
{
    UnansweredOrders orders(start);
    orders.noteSent("e1", 1, load(3, 65000), start + 20s);
    orders.noteAnswered("e1", load(3, 65000));
    orders.noteSent("e1", 1, load(4, 30, true), start + 20s);
    const auto reserve = orders.reserveFor("e1", 2, start + 21s, start + 21s);
    EXPECT_EQ(reserve.weightsMb, 30) << "of the adapter";
    EXPECT_EQ(reserve.adapters, 1);
}

// The lease holder changes around a crash; the previous holder's orders are unknown.
TEST(UnansweredOrders, NewHolderOrdersNoLoadsFromARecentlyRestartedEngine)
{
    UnansweredOrders orders(start);
    EXPECT_TRUE(orders.reserveFor("e1", 2, start - 5s, start + 1s).blocksAllLoads);
    EXPECT_TRUE(orders.reserveFor("e1", 2, start + 2s, start + 3s).blocksAllLoads);
    EXPECT_FALSE(orders.reserveFor("e1", 2, start - 13s, start + 1s).blocksAllLoads);
    EXPECT_FALSE(orders.reserveFor("e1", 2, {}, start + 1s).blocksAllLoads);
    EXPECT_FALSE(orders.reserveFor("e1", 2, start + 2s, start + 13s).blocksAllLoads);
}

namespace {

/// One engine with memory for two models, the lease holder, and the orders still in flight.
struct World
{
    static constexpr double maxMb = 2;
    static constexpr double modelMb = 1;

    struct InFlightOrder
    {
        std::int64_t expected = 0;
        bool isFromPreviousHolder = false;
    };

    UnansweredOrders orders{start - 1h};
    std::int64_t startedAtMs = 1;
    std::optional<Utils::TimePoint> restartedAt;
    std::int64_t count = 0;
    double heldMb = 0;
    std::vector<InFlightOrder> inFlight;

    auto mayLoad() const -> bool
    {
        const auto reserve = orders.reserveFor("e1", startedAtMs, restartedAt, start + 1s);
        return !reserve.blocksAllLoads && reserve.lateMb + modelMb <= maxMb
            && heldMb + reserve.weightsMb + modelMb <= maxMb;
    }
    auto execute(std::int64_t expected) -> void
    {
        if (expected != count)
            return;
        ++count;
        heldMb += modelMb;
    }
    auto order(bool isAnswered) -> void
    {
        orders.noteSent("e1", startedAtMs, load(count, modelMb), start + 1s);
        if (!isAnswered)
            return inFlight.push_back({count, false});
        const auto given = load(count, modelMb);
        execute(count);
        orders.noteAnswered("e1", given);
    }
};

/// Explores all sequences of `steps` events; returns the number of final states.
auto play(const World &world, int steps) -> long
{
    EXPECT_LE(world.heldMb, World::maxMb);
    if (steps == 0 || testing::Test::HasFailure())
        return 1;
    long ends = 0;
    const auto go = [&](const auto &change) {
        World next = world;
        change(next);
        ends += play(next, steps - 1);
    };
    if (world.mayLoad()) {
        go([](World &next) { next.order(true); });
        // Unanswered orders of two holders at once are not covered.
        if (std::none_of(world.inFlight.begin(), world.inFlight.end(),
                         [](const auto &sent) { return sent.isFromPreviousHolder; }))
            go([](World &next) { next.order(false); });
    }
    if (world.heldMb > 0)
        go([](World &next) { // An unload.
            ++next.count;
            next.heldMb -= World::modelMb;
        });
    go([](World &next) { // The engine restarts under its id.
        ++next.startedAtMs;
        next.restartedAt = start + 1s;
        next.count = 0;
        next.heldMb = 0;
    });
    if (world.inFlight.empty())
        return ends;
    for (size_t i = 0; i < world.inFlight.size(); ++i)
        go([i](World &next) { // A delayed order is executed.
            const auto expected = next.inFlight[i].expected;
            next.inFlight.erase(next.inFlight.begin() + static_cast<long>(i));
            next.execute(expected);
        });
    go([](World &next) { // Another gateway gets the lease.
        next.orders = UnansweredOrders(start);
        for (auto &sent : next.inFlight)
            sent.isFromPreviousHolder = true;
    });
    return ends;
}

} // namespace

// For any combination of lost answers, delayed orders, restarts of the engine and changes of the
// holder, orders never exceed the engine's memory.
TEST(UnansweredOrders, LoadsNeverExceedTheEnginesMemory)
{
    constexpr int steps = 9;
    EXPECT_GT(play(World(), steps), 10000);
}
