// Tests that models and adapters share one account of an engine's memory and slots (review, case
// 5).

#include <gateway/configuration.h>
#include <gateway/enginememory.h>
#include <gateway/swapplanner.h>

#include <gtest/gtest.h>

#include <random>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

const Utils::TimePoint start = Utils::TimePoint() + 1h;

auto makeDescription(double memoryMb, int slots, double modelMb, double adapterMb)
    -> EngineDescription
{
    EngineDescription description;
    description.weightsMb = memoryMb;
    description.adapterSlots = slots;
    for (const char *name : {"m1", "m2", "m3", "m4"}) {
        auto &model = description.models[name];
        model.name = name;
        model.weightsMb = modelMb;
        model.adapterMb = adapterMb;
    }
    return description;
}

} // namespace

// Guards against: adapters are ordered beyond the memory that models leave, which is less than the
// planner's reserve as the engine held them from its start.
TEST(EngineLedger, AdaptersFitBesideTheModels)
{
    const auto description = makeDescription(200000, 8, 66600, 66);
    PlannedEngine engine;
    engine.models = {"m1", "m2", "m3"};
    engine.adapterModels = {"m1", "m1"};
    EXPECT_EQ(adapterRoomOf(description, engine, "m1"), AdapterRoom::Free);
    engine.adapterModels.emplace_back("m1");
    EXPECT_EQ(adapterRoomOf(description, engine, "m1"), AdapterRoom::AfterUnload);
    engine.adapterModels.clear();
    engine.models.insert("unlisted");
    EXPECT_EQ(adapterRoomOf(description, engine, "m1"), AdapterRoom::None);
}

// Guards against: a model is loaded beside adapters that take more than the planner's reserve.
TEST(EngineLedger, ModelsFitBesideTheAdapters)
{
    const auto description = makeDescription(100, 2, 40, 10);
    PlannedEngine engine;
    engine.models = {"m1"};
    engine.adapterModels = {"m1", "m1", "m1"};
    auto ledger = ledgerOf(description, engine);
    ledger.keepForAdapters(20);
    EXPECT_GT(ledger.missingForModel(40), 0);
    EXPECT_LE(ledger.missingForModel(30), 0);
}

// Guards against: the memory of an adapter whose order got no answer counts as free.
TEST(EngineLedger, UnansweredAdaptersTakeMemory)
{
    const auto description = makeDescription(100, 8, 40, 10);
    Placement::UnansweredOrders orders(start - 1h);
    orders.noteSent("e1", 1, {0, true, 10}, start);
    PlannedEngine engine;
    engine.models = {"m1", "m2"};
    engine.adapterModels = {"m1"};
    engine.reserve = orders.reserveFor("e1", 2, start, start + 1s);
    EXPECT_EQ(adapterRoomOf(description, engine, "m1"), AdapterRoom::AfterUnload);
    engine.reserve = orders.reserveFor("e1", 2, start, start + 13s);
    EXPECT_EQ(adapterRoomOf(description, engine, "m1"), AdapterRoom::Free);
}

namespace {

/// One engine, the holder of the lease, and the orders that may still arrive. The holder's view is
/// the engine's state, as it orders nothing before a report has resolved an unanswered order.
class World
{
public:
    explicit World(std::uint32_t seed)
        : m_random(seed)
        , m_description(
              makeDescription(100, 1 + static_cast<int>(below(4)), 20 + below(20), 1 + below(20)))
    { }

    auto step() -> void
    {
        switch (below(8)) {
        case 0:
        case 1:
            return loadModel();
        case 2:
        case 3:
        case 4:
            return loadAdapter();
        case 5:
            return unload();
        case 6:
            return executeLate();
        default:
            if (below(4) == 0)
                restart();
        }
    }

    auto usedMb() const -> double
    {
        double used = 0;
        for (const std::string &model : m_engine.models)
            used += weightsOf(m_description, model);
        for (const std::string &model : m_engine.adapterModels)
            used += adapterMemoryOf(m_description, model);
        return used;
    }
    auto capacityMb() const -> double { return m_description.weightsMb; }
    auto slots() const -> size_t { return static_cast<size_t>(m_description.adapterSlots); }
    auto adapters() const -> size_t { return m_engine.adapterModels.size(); }

private:
    struct LateOrder
    {
        std::int64_t expected = 0;
        std::string model;
        bool isAdapter = false;
    };

    auto below(std::uint32_t count) -> std::uint32_t { return m_random() % count; }

    auto loadModel() -> void
    {
        const std::string model = "m" + std::to_string(1 + below(4));
        refreshReserve();
        const auto ledger = ledgerOf(m_description, m_engine);
        const double mb = weightsOf(m_description, model);
        if (m_engine.models.count(model) == 0 && ledger.mayFitModel(mb)
            && ledger.missingForModel(mb) <= 0)
            order({m_count, model, false}, mb);
    }

    auto loadAdapter() -> void
    {
        if (m_engine.models.empty())
            return;
        const std::string model = *m_engine.models.begin();
        refreshReserve();
        if (adapterRoomOf(m_description, m_engine, model) == AdapterRoom::Free)
            order({m_count, model, true}, adapterMemoryOf(m_description, model));
    }

    auto refreshReserve() -> void
    {
        m_engine.reserve = m_orders.reserveFor("e1", m_startedAtMs, start, start + 1s);
    }

    auto order(const LateOrder &order, double mb) -> void
    {
        const Placement::UnansweredOrders::Load load{m_count, order.isAdapter, mb};
        m_orders.noteSent("e1", m_startedAtMs, load, start + 1s);
        const auto fate = below(4);
        if (fate == 0) // Lost or delayed.
            return m_late.push_back(order);
        execute(order);
        if (fate > 1) // Otherwise the response is lost.
            m_orders.noteAnswered("e1", load);
    }

    auto execute(const LateOrder &order) -> void
    {
        if (order.expected != m_count)
            return;
        ++m_count;
        if (order.isAdapter)
            m_engine.adapterModels.push_back(order.model);
        else
            m_engine.models.insert(order.model);
    }

    auto executeLate() -> void
    {
        if (m_late.empty())
            return;
        const auto at = m_late.begin() + below(static_cast<std::uint32_t>(m_late.size()));
        const LateOrder order = *at;
        m_late.erase(at);
        execute(order);
    }

    auto unload() -> void
    {
        if (!m_engine.adapterModels.empty()) {
            m_engine.adapterModels.pop_back();
            ++m_count;
        } else if (!m_engine.models.empty()) {
            m_engine.models.erase(m_engine.models.begin());
            ++m_count;
        }
    }

    auto restart() -> void
    {
        ++m_startedAtMs;
        m_count = 0;
        m_engine.models.clear();
        m_engine.adapterModels.clear();
    }

    std::mt19937 m_random;
    EngineDescription m_description;
    PlannedEngine m_engine;
    Placement::UnansweredOrders m_orders{start - 1h};
    std::int64_t m_startedAtMs = 1;
    std::int64_t m_count = 0;
    std::vector<LateOrder> m_late;
};

} // namespace

// No sequence of orders, late orders, restarts and lost responses exceeds an engine's memory or
// slots.
TEST(EngineLedger, NoSequenceOfOrdersExceedsTheCapacity)
{
    constexpr std::uint32_t seeds = 3000;
    constexpr int steps = 60;
    size_t most = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        World world(seed);
        for (int i = 0; i < steps; ++i) {
            world.step();
            ASSERT_LE(world.usedMb(), world.capacityMb()) << "seed " << seed << ", step " << i;
            ASSERT_LE(world.adapters(), world.slots()) << "seed " << seed << ", step " << i;
            most = std::max(most, world.adapters());
        }
    }
    EXPECT_EQ(most, 4U) << "the slots were used";
}
