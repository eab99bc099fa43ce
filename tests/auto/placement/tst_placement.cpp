#include <placement/keepwarmpolicy.h>
#include <placement/loadpacer.h>
#include <placement/modeltable.h>
#include <placement/wakepolicy.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Placement;
using Utils::TimePoint;

namespace {

using Milliseconds = std::chrono::milliseconds;
const TimePoint start = TimePoint() + std::chrono::hours(1);

/// A simulated engine that carries out orders at once or late and tracks the models it holds.
struct Engine
{
    std::map<std::string, std::uint64_t> held;
    std::vector<std::pair<std::string, std::uint64_t>> lateLoads;

    auto bytes() const -> std::uint64_t
    {
        std::uint64_t sum = 0;
        for (const auto &[name, size] : held)
            sum += size;
        return sum;
    }
    auto report() const -> std::vector<ReportedModel>
    {
        std::vector<ReportedModel> models;
        for (const auto &[name, size] : held)
            models.push_back({name, size, false});
        return models;
    }
};

} // namespace

RC_GTEST_PROP(ModelTable, NeverOvercommitsTheEngineWhateverAnswersAreLost, ())
{
    constexpr std::uint64_t capacity = 100;
    constexpr Milliseconds maxExecutionDelay(1000);
    ModelTable table(capacity);
    Engine engine;
    TimePoint now = start;
    TimePoint lateUntil = start;
    for (int i = 0; i < 150; ++i) {
        now += Milliseconds(*rc::gen::inRange(1, 300));
        const std::string model(1, static_cast<char>('a' + *rc::gen::inRange(0, 6)));
        const auto size = static_cast<std::uint64_t>(20 + (model[0] - 'a') * 10);
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            if (!table.beginLoad(model, size))
                break;
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                engine.held[model] = size;
                table.finishLoad(model, now);
                break;
            case 1: // The answer is lost; the order takes effect within maxExecutionDelay.
                engine.lateLoads.emplace_back(model, size);
                lateUntil = now + maxExecutionDelay;
                table.markUncertain(model, now + maxExecutionDelay);
                break;
            default:
                table.cancelLoad(model);
            }
            break;
        case 1:
            if (!table.beginUnload(model))
                break;
            engine.held.erase(model);
            if (*rc::gen::arbitrary<bool>())
                table.finishUnload(model);
            else
                table.markUncertain(model, now + maxExecutionDelay);
            break;
        case 2:
            table.reconcile(engine.report(), now);
            break;
        default:
            break;
        }
        const bool lands = !engine.lateLoads.empty()
            && (now >= lateUntil - Milliseconds(300) || *rc::gen::arbitrary<bool>());
        if (lands) {
            for (const auto &[name, bytes] : std::exchange(engine.lateLoads, {}))
                engine.held[name] = bytes;
        }
        RC_ASSERT(engine.bytes() <= capacity);
        RC_ASSERT(table.memory().usedBytes() >= engine.bytes());
    }
}

TEST(ModelTable, MemoryOfALostOrderStaysReservedUntilItCanNoLongerArrive)
{
    ModelTable table(100);
    ASSERT_TRUE(table.beginLoad("a", 80));
    table.markUncertain("a", start + Milliseconds(500));
    table.reconcile({}, start + Milliseconds(400));
    EXPECT_FALSE(table.beginLoad("b", 80));
    table.reconcile({}, start + Milliseconds(500));
    EXPECT_TRUE(table.beginLoad("b", 80));
}

TEST(ModelTable, UnloadingAModelUnloadsItsAdapters)
{
    ModelTable table(100);
    table.beginLoad("m", 50);
    table.finishLoad("m", start);
    table.beginLoad("m:x", 10);
    table.setBase("m:x", "m");
    table.finishLoad("m:x", start);
    ASSERT_TRUE(table.beginUnload("m"));
    table.finishUnload("m");
    EXPECT_EQ(table.stateOf("m:x"), ModelState::Absent);
    EXPECT_EQ(table.memory().usedBytes(), 0U);
}

TEST(ModelTable, EvictsTheModelLeastLikelyToBeRequested)
{
    ModelTable table(100);
    TimePoint now = start;
    for (const auto *name : {"often", "rarely"}) {
        table.beginLoad(name, 50);
        table.finishLoad(name, now);
    }
    for (int i = 0; i < 8; ++i) {
        now += std::chrono::seconds(10);
        table.beginUse("often", now);
        table.endUse("often", now);
    }
    table.beginUse("rarely", now);
    table.endUse("rarely", now);
    EXPECT_EQ(table.evictionCandidates(50, now), std::vector<std::string>{"rarely"});
    table.beginUse("rarely", now);
    EXPECT_EQ(table.evictionCandidates(50, now), std::vector<std::string>{"often"})
        << "never one in use";
    EXPECT_TRUE(table.evictionCandidates(101, now).empty());
}

RC_GTEST_PROP(LoadPacer, KeepsWithinRateAndCount, ())
{
    const LoadLimits limits{static_cast<double>(*rc::gen::inRange(1, 10)), *rc::gen::inRange(1, 5)};
    LoadPacer pacer(limits);
    TimePoint now = start;
    std::uint64_t id = 0;
    std::vector<std::uint64_t> running;
    std::vector<TimePoint> starts;
    for (int i = 0; i < 200; ++i) {
        now += Milliseconds(*rc::gen::inRange(0, 200));
        if (*rc::gen::arbitrary<bool>())
            pacer.request({++id, "h", now + std::chrono::seconds(30), 1});
        if (!running.empty() && *rc::gen::inRange(0, 3) == 0) {
            pacer.finish(running.back());
            running.pop_back();
        }
        for (const auto &granted : pacer.grant(now)) {
            running.push_back(granted.id);
            starts.push_back(now);
        }
        RC_ASSERT(pacer.inFlight() <= static_cast<size_t>(limits.maxConcurrent));
    }
    for (size_t i = 1; i < starts.size(); ++i)
        RC_ASSERT(Utils::toSeconds(starts[i] - starts[i - 1]) >= 1.0 / limits.perSecond - 1e-6);
}

TEST(LoadPacer, OrdersByDeadlineThenByServedShare)
{
    LoadPacer pacer({1, 1});
    pacer.request({1, "h", start + std::chrono::seconds(20), 1});
    pacer.request({2, "h", start + std::chrono::seconds(5), 1});
    pacer.request({3, "h", start + std::chrono::seconds(5), 0.2});
    EXPECT_EQ(pacer.grant(start).front().id, 3U);
}

TEST(LoadPacer, AHolderThatNeverReturnsItsSlotLosesIt)
{
    LoadPacer pacer({10, 1});
    pacer.request({1, "h", start + std::chrono::hours(1), 1});
    ASSERT_EQ(pacer.grant(start).size(), 1U);
    pacer.request({2, "h", start + std::chrono::hours(1), 1});
    EXPECT_TRUE(pacer.grant(start + std::chrono::seconds(10)).empty());
    EXPECT_EQ(pacer.grant(start + std::chrono::minutes(5)).size(), 1U);
}

TEST(KeepWarmPolicy, FollowsTheModelsOwnGaps)
{
    const HistoryKeepWarmPolicy policy(std::chrono::seconds(10), std::chrono::seconds(600));
    const std::deque<Utils::Duration> shortGaps(8, std::chrono::seconds(60));
    const std::deque<Utils::Duration> longGaps(8, std::chrono::hours(2));
    EXPECT_GT(policy.idleLimit(shortGaps), std::chrono::seconds(60));
    EXPECT_LT(policy.idleLimit(shortGaps), std::chrono::seconds(120));
    EXPECT_EQ(policy.idleLimit(longGaps), std::chrono::seconds(10));
}

TEST(WakePolicy, AllEntriesSendTheFirstRequestsToOneHolder)
{
    const auto policy = makeWakePolicy("nearest");
    std::vector<WakeCandidate> candidates;
    for (const auto *name : {"e1", "e2", "e3", "e4"})
        candidates.push_back({name, false, CheckpointPlace::Remote, false, 0, false});
    const auto first = policy->rank("m", candidates);
    std::reverse(candidates.begin(), candidates.end());
    candidates[0].isInCallersDomain = true;
    EXPECT_EQ(policy->rank("m", candidates), first);
    candidates[2].isLoaded = true;
    EXPECT_EQ(policy->rank("m", candidates).front(), candidates[2].server);
    candidates[2].queuedRequests = 1000;
    candidates[1].isLoaded = true;
    EXPECT_EQ(policy->rank("m", candidates).front(), candidates[1].server)
        << "a long queue makes another loaded holder preferable";
}
