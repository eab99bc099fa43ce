// Tests which models the planner loads on which engines: models with waiting requests first, from
// the nearest copy, in place of the least requested models.

#include <gateway/swapplanner.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace Gateway;
using namespace std::chrono_literals;
using Kind = PlannedOrder::Kind;

namespace {

class SwapPlannerTest : public testing::Test
{
protected:
    SwapPlannerTest()
    {
        description.weightsMb = 200000;
        for (int i = 0; i < 12; ++i) {
            ModelDescription model;
            model.name = "m" + std::to_string(i);
            model.weightsMb = 65000;
            model.storeLoadTime = 6s;
            model.diskLoadTime = 1s;
            model.memoryLoadTime = 400ms;
            description.models[model.name] = model;
        }
        input.description = &description;
        input.storeLoadsAllowed = 4;
        input.now = Utils::TimePoint() + 1h;
    }

    auto addEngine(const std::string &id, std::set<std::string> models) -> PlannedEngine &
    {
        PlannedEngine engine;
        engine.id = id;
        engine.models = std::move(models);
        input.engines.push_back(engine);
        return input.engines.back();
    }

    EngineDescription description;
    SwapPlanner::Input input;
    SwapPlanner planner;
};

auto find(const std::vector<PlannedOrder> &orders, Kind kind, const std::string &model)
    -> const PlannedOrder *
{
    const auto found = std::find_if(orders.begin(), orders.end(), [&](const auto &order) {
        return order.kind == kind && order.model == model;
    });
    return found == orders.end() ? nullptr : &*found;
}

} // namespace

// A rare model is requested, and one engine has its weights on disk.
TEST_F(SwapPlannerTest, WaitingRequestLoadsFromTheNearestCopy)
{
    addEngine("e1", {"m0"});
    addEngine("e2", {"m1"}).copiesOnDisk = {"m5"};
    addEngine("e3", {"m2"});
    input.demand["m5"] = {1, 0, 0.1, 10};
    const auto orders = planner.plan(input);
    const auto *load = find(orders, Kind::Load, "m5");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->engine, "e2");
    EXPECT_FALSE(load->isFromStore);
}

TEST_F(SwapPlannerTest, FullEngineUnloadsTheLeastRequestedModel)
{
    addEngine("e1", {"m0", "m1", "m2"});
    input.demand["m0"] = {0, 3, 5, 0};
    input.demand["m1"] = {0, 0, 0.01, 0};
    input.demand["m2"] = {0, 0, 2, 0};
    input.demand["m5"] = {2, 0, 0.5, 10};
    const auto orders = planner.plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, Kind::Unload);
    EXPECT_EQ(orders[0].model, "m1");
}

TEST_F(SwapPlannerTest, BusyModelIsNotEvictedForARareOne)
{
    addEngine("e1", {"m0", "m1", "m2"});
    for (const char *model : {"m0", "m1", "m2"})
        input.demand[model] = {0, 4, 5, 0};
    input.demand["m5"] = {1, 0, 0.1, 10};
    EXPECT_TRUE(planner.plan(input).empty());
}

TEST_F(SwapPlannerTest, SurplusCopyOfABusyModelIsEvicted)
{
    for (const char *id : {"e1", "e2", "e3", "e4"})
        addEngine(id, {"m0", "m1", "m2"});
    for (const char *model : {"m0", "m1", "m2"})
        input.demand[model] = {0, 4, 3, 0};
    input.demand["m5"] = {1, 0, 0.1, 10};
    const auto orders = planner.plan(input);
    ASSERT_FALSE(orders.empty());
    EXPECT_EQ(orders[0].kind, Kind::Unload);
    EXPECT_EQ(orders[0].reason, "waiting:m5");
}

TEST_F(SwapPlannerTest, RecentlyLoadedModelIsNotEvicted)
{
    auto &engine = addEngine("e1", {"m0", "m1", "m2"});
    for (const char *model : {"m0", "m1", "m2"})
        engine.readySince[model] = input.now - 100ms;
    input.demand["m5"] = {9, 0, 1, 10};
    EXPECT_TRUE(planner.plan(input).empty());
    input.now += 2s;
    EXPECT_FALSE(planner.plan(input).empty());
}

TEST_F(SwapPlannerTest, WaitsForACopyAtABusyEngineInsteadOfTheStore)
{
    auto &engine = addEngine("e1", {"m0"});
    engine.isBusy = true;
    engine.copiesOnDisk = {"m5"};
    addEngine("e2", {"m1"});
    input.demand["m5"] = {1, 0, 0.1, 10};
    EXPECT_FALSE(find(planner.plan(input), Kind::Load, "m5"));
}

TEST_F(SwapPlannerTest, RespectsTheStoreLoadLimit)
{
    for (int i = 0; i < 6; ++i)
        addEngine("e" + std::to_string(i), {});
    input.storeLoadsAllowed = 2;
    const auto orders = planner.plan(input);
    EXPECT_EQ(std::count_if(orders.begin(), orders.end(),
                            [](const auto &order) { return order.isFromStore; }),
              2);
}

// A few models get most requests. If a single engine served them, prompt processing would interrupt
// the token streams of all answers.
TEST_F(SwapPlannerTest, BusyModelIsLoadedAtFurtherEngines)
{
    addEngine("e1", {"m0", "m1"});
    addEngine("e2", {"m2"}).copiesOnDisk = {"m0"};
    addEngine("e3", {"m3"}).copiesOnDisk = {"m0"};
    input.demand["m0"] = {0, 20, 10, 0};
    input.demand["m3"] = {0, 2, 2, 0};
    const auto orders = planner.plan(input);
    const auto *load = find(orders, Kind::Load, "m0");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->engine, "e2");
    EXPECT_EQ(load->reason, "crowded");
    input.demand["m0"].perSecond = 2;
    EXPECT_FALSE(find(planner.plan(input), Kind::Load, "m0"));
}

// Requests for rare models arrive in a burst while engines wait for running requests before they
// unload. Without the intent, several engines would unload models for the same one.
TEST_F(SwapPlannerTest, OnlyOneEngineUnloadsForAModel)
{
    for (const char *id : {"e1", "e2", "e3"})
        addEngine(id, {"m0", "m1", "m2"});
    input.demand["m5"] = {3, 0, 1, 10};
    const auto unloadsForModel = [](const auto &order) { return order.reason == "waiting:m5"; };
    const auto first = planner.plan(input);
    ASSERT_EQ(std::count_if(first.begin(), first.end(), unloadsForModel), 1);
    EXPECT_EQ(first[0].kind, Kind::Unload);
    for (PlannedEngine &engine : input.engines) {
        if (engine.id != first[0].engine)
            continue;
        engine.models.erase(first[0].model);
        engine.isBusy = true;
    }
    const auto meanwhile = planner.plan(input);
    EXPECT_EQ(std::count_if(meanwhile.begin(), meanwhile.end(), unloadsForModel), 0);
    for (PlannedEngine &engine : input.engines)
        engine.isBusy = false;
    const auto next = planner.plan(input);
    const auto *load = find(next, Kind::Load, "m5");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->engine, first[0].engine);
}

TEST_F(SwapPlannerTest, NoPrefetchWhileRequestsWait)
{
    addEngine("e1", {"m0", "m1", "m2"});
    input.engines[0].readySince["m0"] = input.now;
    input.engines[0].readySince["m1"] = input.now;
    input.engines[0].readySince["m2"] = input.now;
    addEngine("e2", {}).isBusy = true;
    input.engines[1].copiesOnDisk = {"m5"};
    addEngine("e3", {"m3"});
    input.demand["m5"] = {3, 0, 1, 10};
    for (const auto &order : planner.plan(input))
        EXPECT_NE(order.reason, "prefetch");
}

TEST_F(SwapPlannerTest, PrefetchDoesNotEvictTheOnlyHolder)
{
    addEngine("e1", {"m0", "m1", "m2"});
    EXPECT_TRUE(planner.plan(input).empty());
    addEngine("e2", {"m0", "m1", "m3"});
    const auto orders = planner.plan(input);
    ASSERT_FALSE(orders.empty());
    for (const auto &order : orders)
        EXPECT_TRUE(order.model == "m0" || order.model == "m1") << order.model;
}

RC_GTEST_FIXTURE_PROP(SwapPlannerTest, NeverOverfillsAnEngineAndSendsItOneOrder,
                      (const std::vector<std::uint16_t> &choices))
{
    input.engines.clear();
    input.demand.clear();
    for (int i = 0; i < 3; ++i)
        addEngine("e" + std::to_string(i), {});
    size_t at = 0;
    for (const std::uint16_t choice : choices) {
        PlannedEngine &engine = input.engines[choice % 3];
        const std::string model = "m" + std::to_string(choice / 3 % 12);
        if (++at % 2 == 0 && engine.models.size() < 3)
            engine.models.insert(model);
        else
            input.demand[model] = {choice / 64 % 5, choice / 128 % 3, choice / 256 / 10.0, 0};
    }
    std::set<std::string> used;
    for (const PlannedOrder &order : planner.plan(input)) {
        RC_ASSERT(used.insert(order.engine).second);
        const auto engine = std::find_if(input.engines.begin(), input.engines.end(),
                                         [&](const auto &e) { return e.id == order.engine; });
        const double mb = 65000.0 * static_cast<double>(engine->models.size());
        if (order.kind == Kind::Load) {
            RC_ASSERT(mb + 65000 <= description.weightsMb);
            RC_ASSERT(engine->models.count(order.model) == 0U);
        } else {
            RC_ASSERT(engine->models.count(order.model) == 1U);
        }
    }
}

// The only engine with a busy model has crashed, and dozens of requests wait while the model is
// loaded from the weight store.
TEST_F(SwapPlannerTest, ModelIsLoadedFromTheStoreOnceAtATime)
{
    auto &first = addEngine("e1", {"m5"});
    first.loadingModel = "m5";
    first.isBusy = true;
    addEngine("e2", {"m0"});
    addEngine("e3", {"m1"});
    input.demand["m5"] = {40, 0, 20, 0};
    EXPECT_FALSE(find(planner.plan(input), Kind::Load, "m5"));
    input.engines[2].copiesOnDisk = {"m5"};
    const auto orders = planner.plan(input);
    const auto *load = find(orders, Kind::Load, "m5");
    ASSERT_TRUE(load) << "a copy on disk does not burden the store";
    EXPECT_EQ(load->engine, "e3");
}

// Models are prefetched while others are requested.
TEST_F(SwapPlannerTest, PrefetchesLeaveOneStoreLoadFree)
{
    addEngine("e1", {"m0"});
    addEngine("e2", {"m1"});
    input.demand["m0"] = {0, 1, 1, 0};
    input.storeLoadsAllowed = 1;
    EXPECT_TRUE(planner.plan(input).empty());
    input.storeLoadsAllowed = 2;
    EXPECT_EQ(planner.plan(input).size(), 1U);
}

// Engines with copies of a busy model leave one after another, and new engines are empty.
TEST_F(SwapPlannerTest, BusyModelWithFewCopiesIsPrefetchedFirst)
{
    addEngine("e1", {"m0"}).copiesOnDisk = {"m0", "m1", "m2", "m3"};
    addEngine("e2", {"m1", "m2", "m3"}).copiesOnDisk = {"m1", "m2", "m3", "m4"};
    addEngine("e3", {});
    input.demand["m0"] = {0, 6, 3, 0};
    input.demand["m1"] = {0, 6, 3, 0};
    input.demand["m2"] = {0, 1, 0.1, 0};
    input.storeLoadsAllowed = 2;
    const auto orders = planner.plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].model, "m0");
    EXPECT_EQ(orders[0].engine, "e3");
    EXPECT_TRUE(orders[0].isFromStore);
}

// There are more empty engines than waiting requests.
TEST_F(SwapPlannerTest, EmptyEnginesPrefetchWhileRequestsWait)
{
    addEngine("e1", {"m0"}).isBusy = true;
    input.engines[0].copiesOnDisk = {"m5"};
    for (const char *id : {"e2", "e3", "e4"})
        addEngine(id, {});
    input.demand["m0"] = {0, 2, 2, 0};
    input.demand["m5"] = {1, 0, 0.1, 10};
    input.storeLoadsAllowed = 2;
    const auto orders = planner.plan(input);
    EXPECT_TRUE(find(orders, Kind::Load, "m0"));
    EXPECT_FALSE(find(orders, Kind::Load, "m5")) << "a busy engine has a copy";
}

TEST_F(SwapPlannerTest, UrgentLoadsRunBesidePrefetches)
{
    for (const char *id : {"e1", "e2", "e3"})
        addEngine(id, {});
    input.demand["m5"] = {1, 0, 0.1, 10};
    input.storeLoadsAllowed = 2;
    const auto orders = planner.plan(input);
    ASSERT_EQ(orders.size(), 2U);
    EXPECT_EQ(std::count_if(orders.begin(), orders.end(),
                            [](const auto &order) { return order.reason == "waiting"; }),
              1);
    // The urgent load is still running: the next load is a prefetch.
    for (const auto &order : orders) {
        if (order.reason != "waiting")
            continue;
        for (PlannedEngine &engine : input.engines) {
            if (engine.id != order.engine)
                continue;
            engine.loadingModel = order.model;
            engine.models = {order.model};
            engine.isBusy = true;
        }
    }
    input.demand["m0"] = {0, 6, 6, 0};
    input.storeLoadsAllowed = 1;
    const auto next = planner.plan(input);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].reason, "prefetch");
}

// The only engine with a copy of the model stays busy for long.
TEST_F(SwapPlannerTest, WaitsForACopyAtABusyEngineForAWhileOnly)
{
    auto &engine = addEngine("e1", {"m0"});
    engine.isBusy = true;
    engine.copiesOnDisk = {"m5"};
    addEngine("e2", {"m1"});
    input.demand["m5"] = {1, 0, 0.1, 1900};
    EXPECT_FALSE(find(planner.plan(input), Kind::Load, "m5"));
    input.demand["m5"].longestWaitMs = 2100;
    EXPECT_TRUE(find(planner.plan(input), Kind::Load, "m5"));
}

TEST_F(SwapPlannerTest, CopyAtAnEngineThatLoadsFromTheStoreIsNotWaitedFor)
{
    auto &engine = addEngine("e1", {"m0", "m3"});
    engine.isBusy = true;
    engine.loadingModel = "m3";
    engine.copiesOnDisk = {"m0", "m5"};
    addEngine("e2", {"m1"});
    input.demand["m5"] = {1, 0, 0.1, 10};
    EXPECT_TRUE(find(planner.plan(input), Kind::Load, "m5"));
}

RC_GTEST_FIXTURE_PROP(SwapPlannerTest, NeverBeginsMoreStoreLoadsThanAllowed,
                      (const std::vector<std::uint16_t> &choices, std::uint8_t allowed))
{
    input.engines.clear();
    input.demand.clear();
    for (int i = 0; i < 5; ++i)
        addEngine("e" + std::to_string(i), {});
    for (const std::uint16_t choice : choices) {
        PlannedEngine &engine = input.engines[choice % 5];
        const std::string model = "m" + std::to_string(choice / 5 % 12);
        if (choice / 60 % 3 == 0 && engine.models.size() < 3)
            engine.models.insert(model);
        else if (choice / 60 % 3 == 1)
            engine.copiesOnDisk.insert(model);
        else
            input.demand[model] = {choice / 180 % 5, choice / 900 % 3, choice / 2700 / 3.0, 0};
    }
    input.storeLoadsAllowed = allowed % 5 - 1;
    const auto orders = planner.plan(input);
    const auto fromStore = std::count_if(orders.begin(), orders.end(),
                                         [](const auto &order) { return order.isFromStore; });
    RC_ASSERT(fromStore <= std::max(0, input.storeLoadsAllowed));
}

// Load: demand moves to a model that one engine holds, no other engine has a copy of its weights,
// and the disks are full. Guards against leaving the model at that engine as long as the demand
// lasts: only prefetches fetched further copies, and those need free disk space.
TEST_F(SwapPlannerTest, CrowdedModelIsFetchedFromTheStoreOntoAFullDisk)
{
    description.diskMb = 130000;
    addEngine("e1", {"m0"}).copiesOnDisk = {"m0", "m1"};
    addEngine("e2", {"m1"}).copiesOnDisk = {"m1", "m2"};
    addEngine("e3", {"m2"}).copiesOnDisk = {"m2", "m3"};
    input.demand["m0"] = {40, 32, 30, 1500};
    const auto orders = planner.plan(input);
    const auto *load = find(orders, Kind::Load, "m0");
    ASSERT_TRUE(load);
    EXPECT_NE(load->engine, "e1");
    EXPECT_TRUE(load->isFromStore);
    EXPECT_EQ(std::count_if(orders.begin(), orders.end(),
                            [](const auto &order) { return order.model == "m0"; }),
              1);
}

// The same model when few of its requests happen to wait: the request rate shows the demand too.
TEST_F(SwapPlannerTest, CrowdedModelIsFetchedForItsRequestRate)
{
    description.diskMb = 130000;
    addEngine("e1", {"m0"}).copiesOnDisk = {"m0", "m1"};
    addEngine("e2", {"m1"}).copiesOnDisk = {"m1", "m2"};
    input.demand["m0"] = {4, 32, 30, 100};
    const auto orders = planner.plan(input);
    EXPECT_TRUE(find(orders, Kind::Load, "m0"));
}

// Load: a crowded model, the only other copy of which is at an engine that stays busy, and requests
// that are refused before they have waited long. Guards against waiting for that engine forever.
TEST_F(SwapPlannerTest, CrowdedModelDoesNotWaitForeverForABusyEngine)
{
    description.diskMb = 130000; // Without free space, the model isn't prefetched.
    addEngine("e1", {"m0"}).copiesOnDisk = {"m0", "m1"};
    auto &busy = addEngine("e2", {"m1"});
    busy.copiesOnDisk = {"m0", "m1"};
    busy.isBusy = true;
    addEngine("e3", {"m2"}).copiesOnDisk = {"m2", "m3"};
    input.demand["m0"] = {40, 32, 30, 900};
    EXPECT_FALSE(find(planner.plan(input), Kind::Load, "m0"));
    input.now += 2500ms;
    const auto orders = planner.plan(input);
    const auto *load = find(orders, Kind::Load, "m0");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->engine, "e3");
}

// Load: demand for one model of many times what its engine serves. Guards against adding engines
// one by one, while each waits for the running requests of the model that it unloads.
TEST_F(SwapPlannerTest, SeveralEnginesUnloadForAModelInGreatDemand)
{
    for (int i = 1; i <= 4; ++i) {
        auto &engine = addEngine("e" + std::to_string(i), {"m" + std::to_string(i), "m5", "m6"});
        engine.copiesOnDisk = {"m0"};
    }
    addEngine("e0", {"m0"});
    input.demand["m0"] = {40, 32, 30, 900};
    std::set<std::string> unloading;
    for (int round = 0; round < 4; ++round) {
        for (const auto &order : planner.plan(input)) {
            if (order.kind == Kind::Unload)
                unloading.insert(order.engine);
        }
        for (auto &engine : input.engines)
            engine.isBusy = unloading.count(engine.id) > 0;
    }
    EXPECT_EQ(unloading.size(), 4U);
}

// Guards against giving the room that an engine made for an overloaded model to another one with
// more demand, after which the next engine unloaded for the first model in vain.
TEST_F(SwapPlannerTest, RoomMadeForAnOverloadedModelIsKeptForIt)
{
    auto &engine = addEngine("e1", {"m0", "m1", "m2"});
    engine.copiesOnDisk = {"m5", "m6"};
    auto &holder = addEngine("e2", {"m5"});
    holder.isBusy = true;
    input.demand["m5"] = {40, 32, 30, 900};
    const auto unloads = planner.plan(input);
    ASSERT_EQ(unloads.size(), 1U);
    ASSERT_EQ(unloads[0].kind, Kind::Unload);
    input.engines[0].models.erase(unloads[0].model);
    input.engines[0].isBusy = true;
    for (int step = 0; step < 50; ++step) { // The unload waits for running requests.
        input.now += 100ms;
        EXPECT_TRUE(planner.plan(input).empty());
    }
    input.engines[0].isBusy = false;
    input.demand["m6"] = {60, 0, 20, 10};
    const auto orders = planner.plan(input);
    EXPECT_TRUE(find(orders, Kind::Load, "m5"));
    EXPECT_FALSE(find(orders, Kind::Load, "m6"));
}
