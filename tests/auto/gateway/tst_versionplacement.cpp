// Models that continuations of streams await are loaded at the version that began the streams
// (review, case 4).

#include <gateway/swapplanner.h>

#include <gtest/gtest.h>

using namespace Gateway;
using namespace std::chrono_literals;
using Kind = PlannedOrder::Kind;

namespace {

class VersionPlacement : public testing::Test
{
protected:
    VersionPlacement()
    {
        m_description.weightsMb = 200000;
        for (const char *name : {"m1", "m2", "m3", "m4"}) {
            ModelDescription model;
            model.name = name;
            model.weightsMb = 65000;
            model.storeLoadTime = 6s;
            m_description.models[name] = model;
        }
        input.description = &m_description;
        input.storeLoadsAllowed = 4;
        input.now = Utils::TimePoint() + 1h;
    }

    auto addEngine(const std::string &id, const std::string &version, std::set<std::string> models)
        -> PlannedEngine &
    {
        PlannedEngine engine;
        engine.id = id;
        engine.softwareVersion = version;
        engine.models = std::move(models);
        input.engines.push_back(engine);
        return input.engines.back();
    }

    /// The engine that is ordered to load the model; empty if there is none.
    auto loadOf(const std::string &model) -> std::string
    {
        for (const PlannedOrder &order : planner.plan(input)) {
            if (order.kind == Kind::Load && order.model == model)
                return order.engine;
        }
        return {};
    }

    SwapPlanner::Input input;
    SwapPlanner planner;

private:
    EngineDescription m_description;
};

} // namespace

// Guards against: two copies of a model are enough for placement whichever versions hold them.
TEST_F(VersionPlacement, ModelIsLoadedWhereAnEngineOfTheVersionServes)
{
    addEngine("e1", "v1", {"m2"});
    addEngine("e2", "v2", {"m1"});
    addEngine("e3", "v2", {"m3"}).copiesOnDisk = {"m1"};
    input.demand["m1"] = {1, 0, 0.1, 10};
    EXPECT_NE(loadOf("m1"), "e1") << "for any version it is held";
    input.waitingAtVersion[{"m1", "v1"}] = 1;
    EXPECT_EQ(loadOf("m1"), "e1");
    input.engines[0].models.insert("m1");
    EXPECT_EQ(loadOf("m1"), "") << "an engine of the version holds it";
}

// Guards against: a load at another version for a continuation that can't use it.
TEST_F(VersionPlacement, NothingIsLoadedIfNoEngineOfTheVersionServes)
{
    addEngine("e1", "v2", {"m1"});
    addEngine("e2", "v2", {"m2"}).copiesOnDisk = {"m1"};
    input.demand["m1"] = {1, 0, 0.1, 10};
    input.waitingAtVersion[{"m1", "v1"}] = 1;
    EXPECT_EQ(loadOf("m1"), "");
}
