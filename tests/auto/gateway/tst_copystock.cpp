// Tests that copies of weights are replenished: engines that leave take their copies along, and the
// weight store serves only a few loads at a time.

#include <gateway/swapplanner.h>
#include <placement/storeloadlimiter.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

using namespace Gateway;
using namespace std::chrono_literals;
using std::chrono::milliseconds;
using Utils::TimePoint;

namespace {

constexpr int EngineCount = 24;
constexpr int ModelCount = 84;
/// Number of models without a copy on any engine at the start.
constexpr int ModelsWithoutCopy = 6;
/// Number of models that get most of the requests.
constexpr int BusyModelCount = 6;
constexpr double BusyModelRate = 8; ///< Requests a second.
constexpr double RareModelRate = 0.1; ///< Requests a second.
constexpr size_t CopiesOnDisk = 10;
constexpr size_t CopiesInMemory = 2;
constexpr double WeightsMb = 65000;
/// Number of concurrent loads from the weight store at full speed; beyond it, a load takes
/// proportionally longer.
constexpr int StoreLoadsAtFullSpeed = 2;
constexpr milliseconds Step = 50ms;
constexpr milliseconds RunTime = 1500ms;
constexpr milliseconds CallerTimeout = 6000ms;
constexpr milliseconds UnloadTime = 100ms;
constexpr double AveragingSeconds = 8; ///< Averaging window of the request rate.

auto modelName(int number) -> std::string
{
    return "m" + std::to_string(number);
}

/// Simulates engines, a weight store and callers in virtual time. Callers wait for an engine with
/// their model until a timeout; an engine serves any number of requests.
class Fleet
{
public:
    struct Count
    {
        int requested = 0;
        int served = 0;
    };

    explicit Fleet(unsigned seed)
        : m_random(seed)
    {
        m_description.weightsMb = 200000;
        m_description.diskMb = WeightsMb * static_cast<double>(CopiesOnDisk);
        for (int i = 0; i < ModelCount; ++i) {
            ModelDescription model;
            model.name = modelName(i);
            model.weightsMb = WeightsMb;
            model.storeLoadTime = 7800ms;
            model.diskLoadTime = 1000ms;
            model.memoryLoadTime = 400ms;
            m_description.models[model.name] = model;
        }
        std::vector<std::string> copies;
        for (size_t i = 0; i < EngineCount * CopiesOnDisk; ++i)
            copies.push_back(modelName(static_cast<int>(i) % (ModelCount - ModelsWithoutCopy)));
        std::shuffle(copies.begin(), copies.end(), m_random);
        for (size_t i = 0; i < copies.size(); ++i) {
            if (i % CopiesOnDisk == 0)
                addEngine();
            std::deque<std::string> &onDisk = m_engines.back().onDisk;
            if (std::count(onDisk.begin(), onDisk.end(), copies[i]) == 0)
                onDisk.push_back(copies[i]);
        }
    }

    auto run(milliseconds time) -> void
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += Step) {
            if (hasCallers)
                addArrivals();
            completeFinished();
            serve();
            plan();
        }
    }

    /// Replaces the oldest engine by a new one without copies.
    auto replaceOldest() -> void
    {
        m_engines.pop_front();
        addEngine();
    }

    auto copiesOf(const std::string &model) const -> long
    {
        return std::count_if(m_engines.begin(), m_engines.end(), [&](const Engine &engine) {
            return engine.held.count(model) > 0
                || std::count(engine.onDisk.begin(), engine.onDisk.end(), model) > 0;
        });
    }

    auto busyModelsWithoutCopy() const -> int
    {
        int count = 0;
        for (int i = 0; i < BusyModelCount; ++i)
            count += copiesOf(modelName(i)) == 0 ? 1 : 0;
        return count;
    }

    bool hasCallers = false;
    Count ofBusyModels;
    Count ofRareModels;
    int storeLoads = 0;
    int maxConcurrentStoreLoads = 0;

private:
    struct Engine
    {
        std::string id;
        std::map<std::string, TimePoint> held; ///< Models, with the time they became ready.
        std::deque<std::string> onDisk; ///< Most recently used last.
        std::string loadingModel;
        int storeLoads = 0; ///< Concurrent at its start, including it; 0 if from a copy.
        TimePoint startedAt;
        TimePoint readyAt;
        std::string unloadingModel;
        TimePoint unloadedAt;
        std::vector<std::pair<std::string, TimePoint>> runs; ///< Models, with end times.
    };

    struct Demand
    {
        std::deque<TimePoint> waiting; ///< Arrival times.
        double perSecond = 0;
    };

    auto addEngine() -> void
    {
        Engine engine;
        engine.id = "e" + std::to_string(m_nextEngine++);
        m_engines.push_back(engine);
    }

    auto countOf(const std::string &model) -> Count &
    {
        return std::stoi(model.substr(1)) < BusyModelCount ? ofBusyModels : ofRareModels;
    }

    auto storeLoadsRunning() const -> int
    {
        return static_cast<int>(
            std::count_if(m_engines.begin(), m_engines.end(), [](const Engine &engine) {
                return !engine.loadingModel.empty() && engine.storeLoads > 0;
            }));
    }

    static auto copiesInMemory(const Engine &engine) -> std::set<std::string>
    {
        const size_t count = std::min(CopiesInMemory, engine.onDisk.size());
        return {engine.onDisk.end() - static_cast<long>(count), engine.onDisk.end()};
    }

    auto addArrivals() -> void
    {
        const double seconds = Utils::toSeconds(Step);
        for (int i = 0; i < ModelCount; ++i) {
            Demand &demand = m_demand[modelName(i)];
            std::poisson_distribution<int> arrivals(
                (i < BusyModelCount ? BusyModelRate : RareModelRate) * seconds);
            const int count = arrivals(m_random);
            demand.waiting.insert(demand.waiting.end(), static_cast<size_t>(count), m_now);
            demand.perSecond =
                demand.perSecond * std::exp(-seconds / AveragingSeconds) + count / AveragingSeconds;
            countOf(modelName(i)).requested += count;
        }
    }

    /// Completes the runs, loads and unloads that have ended by now.
    auto completeFinished() -> void
    {
        for (Engine &engine : m_engines) {
            std::erase_if(engine.runs, [this](const auto &run) { return run.second <= m_now; });
            const bool isUnloadingModelInUse =
                std::any_of(engine.runs.begin(), engine.runs.end(),
                            [&](const auto &run) { return run.first == engine.unloadingModel; });
            if (m_now >= engine.unloadedAt && !isUnloadingModelInUse)
                engine.unloadingModel.clear();
            if (engine.loadingModel.empty() || m_now < engine.readyAt)
                continue;
            if (engine.storeLoads > 0)
                m_limiter.noteLoadFinished(
                    m_description.models[engine.loadingModel].storeLoadTime,
                    std::chrono::duration_cast<milliseconds>(m_now - engine.startedAt),
                    engine.storeLoads);
            engine.held[engine.loadingModel] = m_now;
            std::erase(engine.onDisk, engine.loadingModel);
            engine.onDisk.push_back(engine.loadingModel);
            if (engine.onDisk.size() > CopiesOnDisk)
                engine.onDisk.pop_front();
            engine.loadingModel.clear();
        }
    }

    auto serve() -> void
    {
        for (auto &[model, demand] : m_demand) {
            while (!demand.waiting.empty() && m_now - demand.waiting.front() > CallerTimeout)
                demand.waiting.pop_front();
            Engine *best = nullptr;
            for (Engine &engine : m_engines) {
                if (engine.held.count(model) > 0
                    && (!best || engine.runs.size() < best->runs.size()))
                    best = &engine;
            }
            if (!best)
                continue;
            countOf(model).served += static_cast<int>(demand.waiting.size());
            for (; !demand.waiting.empty(); demand.waiting.pop_front())
                best->runs.emplace_back(model, m_now + RunTime);
        }
    }

    auto plan() -> void
    {
        SwapPlanner::Input input;
        input.description = &m_description;
        input.now = m_now;
        for (const Engine &engine : m_engines) {
            PlannedEngine planned;
            planned.id = engine.id;
            planned.readySince = engine.held;
            for (const auto &[model, since] : engine.held)
                planned.models.insert(model);
            planned.loadingModel = engine.loadingModel;
            if (!engine.loadingModel.empty())
                planned.models.insert(engine.loadingModel);
            planned.isBusy = !engine.loadingModel.empty() || !engine.unloadingModel.empty();
            planned.copiesOnDisk.insert(engine.onDisk.begin(), engine.onDisk.end());
            planned.copiesInMemory = copiesInMemory(engine);
            input.engines.push_back(planned);
            for (const auto &[model, until] : engine.runs)
                ++input.demand[model].running;
        }
        for (const auto &[model, demand] : m_demand) {
            if (demand.waiting.empty() && demand.perSecond < 0.005)
                continue;
            TotalDemand &total = input.demand[model];
            total.waiting = static_cast<int>(demand.waiting.size());
            total.perSecond = demand.perSecond;
            if (!demand.waiting.empty())
                total.longestWaitMs = Utils::toSeconds(m_now - demand.waiting.front()) * 1000;
        }
        input.storeLoadsAllowed = m_limiter.limit() - storeLoadsRunning();
        for (const PlannedOrder &order : m_planner.plan(input))
            execute(order);
        maxConcurrentStoreLoads = std::max(maxConcurrentStoreLoads, storeLoadsRunning());
    }

    auto execute(const PlannedOrder &order) -> void
    {
        Engine &engine = *std::find_if(m_engines.begin(), m_engines.end(),
                                       [&](const Engine &e) { return e.id == order.engine; });
        if (order.kind == PlannedOrder::Kind::Unload) {
            engine.held.erase(order.model);
            engine.unloadingModel = order.model;
            engine.unloadedAt = m_now + UnloadTime;
            return;
        }
        const ModelDescription &model = m_description.models.at(order.model);
        engine.loadingModel = order.model;
        engine.startedAt = m_now;
        engine.storeLoads = order.isFromStore ? storeLoadsRunning() + 1 : 0;
        if (!order.isFromStore) {
            const bool inMemory = copiesInMemory(engine).count(order.model) > 0;
            engine.readyAt = m_now + (inMemory ? model.memoryLoadTime : model.diskLoadTime);
            return;
        }
        m_limiter.noteLoadStarted(engine.storeLoads);
        engine.readyAt = m_now
            + model.storeLoadTime * std::max(engine.storeLoads, StoreLoadsAtFullSpeed)
                / StoreLoadsAtFullSpeed;
        ++storeLoads;
    }

    EngineDescription m_description;
    TimePoint m_now = TimePoint() + 1h;
    std::deque<Engine> m_engines;
    std::map<std::string, Demand> m_demand;
    SwapPlanner m_planner;
    Placement::StoreLoadLimiter m_limiter;
    int m_nextEngine = 0;
    std::mt19937 m_random;
};

auto share(const Fleet::Count &count) -> double
{
    return static_cast<double>(count.served) / count.requested;
}

} // namespace

// Nearly all engines are replaced one after another by new ones without copies of weights, while
// the demand stays the same.
TEST(ModelCopies, AreReplenishedWhileEnginesAreReplaced)
{
    constexpr int seeds = 8;
    double servedOfBusy = 0;
    double servedOfRare = 0;
    double storeLoads = 0;
    int missing = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        Fleet fleet(seed);
        fleet.run(10s);
        fleet.hasCallers = true;
        fleet.run(3s);
        fleet.storeLoads = 0;
        fleet.ofBusyModels = {};
        fleet.ofRareModels = {};
        for (int i = 0; i < EngineCount - 2; ++i) {
            fleet.replaceOldest();
            fleet.run(1300ms);
        }
        missing += fleet.busyModelsWithoutCopy();
        fleet.run(10s);
        servedOfBusy += share(fleet.ofBusyModels) / seeds;
        servedOfRare += share(fleet.ofRareModels) / seeds;
        storeLoads += static_cast<double>(fleet.storeLoads) / seeds;
        EXPECT_LE(fleet.maxConcurrentStoreLoads, StoreLoadsAtFullSpeed + 1);
    }
    EXPECT_GT(servedOfBusy, 0.9);
    EXPECT_GT(servedOfRare, 0.58);
    EXPECT_GT(storeLoads, 9.5) << "the store serves two loads in 7.8 s, and 38.6 s pass";
    EXPECT_LT(missing, 24) << "busy models without a copy, of 48";
}
