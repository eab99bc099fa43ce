#include "loadmodel.h"

#include <gtest/gtest.h>

#include <numeric>

using namespace LoadModels;
using namespace std::chrono_literals;

namespace {

auto everything(const ModelledRequest &) -> bool
{
    return true;
}

auto count(const std::vector<ModelledRequest> &requests,
           const std::function<bool(const ModelledRequest &)> &belongs) -> double
{
    return double(std::count_if(requests.begin(), requests.end(), belongs));
}

/// Part of the requests that were sent before the load ended.
auto servedUnderLoad(const std::vector<ModelledRequest> &requests, Milliseconds end) -> double
{
    return count(requests,
                 [end](const auto &next) {
                     return next.isSent && next.endedAt < LoadModel::start() + end;
                 })
        / double(requests.size());
}

auto refusedEarly(const ModelledRequest &next) -> bool
{
    return next.isRefusedEarly;
}

/// Time that requests spent waiting in vain, per request that was not served.
auto waitInVain(const std::vector<ModelledRequest> &requests) -> double
{
    double seconds = 0;
    double lost = 0;
    for (const auto &next : requests) {
        if (next.isSent)
            continue;
        lost += 1;
        seconds += Utils::toSeconds(next.endedAt - next.request.arrivedAt);
    }
    return lost > 0 ? seconds / lost : 0;
}

/// Urgent requests at twice the capacity, and others that can wait long.
auto urgentOverload(bool refusesEarly) -> std::vector<ModelledRequest>
{
    LoadModel load(1, 8, Admission::makeShareScheduler, 1);
    load.add({"chat", 0, "a", 0, 160, 300ms, 1000ms, 100ms, 1, "", 0s, 30s});
    load.add({"batch", 1, "a", 0, 20, 1000ms, 8000ms, 100ms, 1, "", 0s, 30s});
    if (refusesEarly)
        load.refuseEarly();
    return load.run();
}

/// One customer sends 600 requests at once to a service that can do 80 per second.
auto burst(bool refusesEarly) -> std::vector<ModelledRequest>
{
    LoadModel load(1, 8, Admission::makeShareScheduler, 2);
    load.add({"r", 0, "a", 0, 40, 500ms, 2000ms, 100ms, 1, "", 0s, 15s});
    for (int i = 0; i < 600; ++i)
        load.addAt({"r", 0, "burst", 0, 0, 500ms, 2000ms, 100ms, 1, "", 0s, 0s}, 5000ms, 0);
    if (refusesEarly)
        load.refuseEarly();
    return load.run();
}

} // namespace

// Guards against requests that wait in vain until half of their time is over.
TEST(AdmissionController, BurstOfOneCustomerIsRefusedEarlyAsFarAsItCantBeServed)
{
    const auto held = burst(false);
    const auto refused = burst(true);
    EXPECT_EQ(count(held, refusedEarly), 0);
    EXPECT_GT(count(refused, refusedEarly), 200);
    EXPECT_GE(servedPart(refused, everything), servedPart(held, everything) * 0.98)
        << "requests were refused that would have been served";
    EXPECT_LT(waitInVain(refused), waitInVain(held) * 0.6);
}

// Guards against early refusals that leave slots unused, and against requests that wait in vain
// until half of their time is over.
TEST(AdmissionController, LastingOverloadByUrgentRequestsIsServedAsMuchAsWithoutRefusals)
{
    const auto held = urgentOverload(false);
    const auto refused = urgentOverload(true);
    EXPECT_GE(servedUnderLoad(refused, 30s), servedUnderLoad(held, 30s) * 0.98);
    EXPECT_LT(waitInVain(refused), waitInVain(held) * 0.7);
}

// Guards against refusals on an estimate from intervals that vary widely: a few requests hold their
// slots fifty times as long as the others, and the queue goes down quickly once they end.
TEST(AdmissionController, LargeBesideSmallRequestsAreNotRefusedOnAnUncertainEstimate)
{
    double all = 0;
    double wrong = 0;
    double lost = 0;
    for (unsigned seed = 1; seed <= 5; ++seed) {
        const auto run = [seed](bool refusesEarly) {
            LoadModel load(1, 8, Admission::makeShareScheduler, seed);
            load.add({"small", 0, "a", 0, 60, 200ms, 1500ms, 50ms, 1, "", 0s, 40s});
            load.add({"large", 0, "a", 0, 2, 1000ms, 2000ms, 2500ms, 50, "", 0s, 40s});
            if (refusesEarly)
                load.refuseEarly();
            return load.run();
        };
        const auto held = run(false);
        const auto refused = run(true);
        for (size_t i = 0; i < held.size(); ++i) {
            all += 1;
            lost += held[i].isSent ? 0 : 1;
            wrong += refused[i].isRefusedEarly && held[i].isSent ? 1 : 0;
        }
    }
    EXPECT_GT(lost, all * 0.01) << "no request has to wait too long";
    EXPECT_LT(wrong, all * 0.01);
}

// Guards against refusals for load while slots are free or nothing else waits.
TEST(AdmissionController, NothingIsRefusedBelowTheCapacity)
{
    LoadModel load(4, 32, Admission::makeShareScheduler, 3);
    load.refuseEarly();
    load.add({"r", 0, "a", 0, 250, 300ms, 1000ms, 100ms, 1, "", 0s, 20s});
    load.add({"large", 1, "a", 0, 4, 2000ms, 4000ms, 1000ms, 50, "", 0s, 20s});
    const auto &requests = load.run();
    EXPECT_EQ(count(requests, refusedEarly), 0);
    EXPECT_GT(servedPart(requests, everything), 0.999);
}

// Guards against refusals after one long request delayed a few others.
TEST(AdmissionController, SlotThatFreesWhileARequestWaitsElsewhereIsWaitedFor)
{
    LoadModel load(2, 2, Admission::makeShareScheduler, 4);
    load.refuseEarly();
    for (int i = 0; i < 2; ++i)
        load.addAt({"r", 0, "a", 0, 0, 200ms, 1500ms, 1200ms, 1, "", 0s, 0s}, 0ms, 0);
    for (int i = 0; i < 4; ++i)
        load.addAt({"r", 0, "a", 0, 0, 200ms, 2000ms, 50ms, 1, "", 0s, 0s}, 100ms, 1);
    EXPECT_EQ(servedPart(load.run(), everything), 1);
}

namespace {

/// All gateways ask for one rare model at once.
auto rareModel(int gateways, Milliseconds loadedAfter, Milliseconds loadTime,
               std::optional<Milliseconds> forecast) -> std::vector<ModelledRequest>
{
    LoadModel load(gateways, gateways * 4, Admission::makeShareScheduler, 5);
    load.refuseEarly();
    for (int gateway = 0; gateway < gateways; ++gateway) {
        for (int i = 0; i < 3; ++i)
            load.addAt({"rare", 0, "a", 0, 0, 500ms, 3000ms, 100ms, 1, "rare", 0s, 0s}, 1000ms,
                       gateway);
    }
    load.holdModelFrom("rare", 1000ms + loadedAfter, loadTime,
                       forecast ? std::optional(1000ms + *forecast) : std::nullopt);
    return load.run();
}

} // namespace

// Guards against refusals of requests whose model is loaded in time, with and without a forecast.
TEST(AdmissionController, RareModelRequestedAtManyGatewaysIsWaitedForIfItIsLoadedInTime)
{
    for (const int gateways : {4, 26, 380}) {
        for (const auto forecast : {std::optional<Milliseconds>(), std::optional(2500ms)}) {
            const auto requests = rareModel(gateways, 2500ms, 2500ms, forecast);
            EXPECT_EQ(servedPart(requests, everything), 1) << gateways;
        }
    }
}

// Guards against waiting for a load that is known to end too late.
TEST(AdmissionController, RareModelThatIsExpectedTooLateIsRefusedWithTheExpectedTime)
{
    const auto requests = rareModel(26, 9000ms, 9000ms, 9000ms);
    EXPECT_EQ(count(requests, refusedEarly), 78);
    for (const auto &next : requests) {
        EXPECT_LE(next.endedAt - next.request.arrivedAt, 30ms);
        EXPECT_GE(next.expectedWait, 8900ms);
    }
}

// Guards against a model that is never loaded because all requests for it are refused.
TEST(AdmissionController, RareModelWithALongLoadTimeKeepsOneRequestWaitingAtEachGateway)
{
    const auto requests = rareModel(26, 20000ms, 20000ms, std::nullopt);
    EXPECT_EQ(count(requests, refusedEarly), 52);
}

// At each number of gateways, early refusals must not reduce what is served; at three times the
// capacity, most of the requests that can't be served must not wait until half of their time.
TEST(AdmissionController, RefusalsAt4And26And380GatewaysCostNothing)
{
    const auto run = [](int gateways, unsigned seed, bool refusesEarly) {
        const int slots = std::clamp(gateways, 8, 100);
        LoadModel load(gateways, slots, Admission::makeShareScheduler, seed);
        std::mt19937 random(seed);
        for (int route = 0; route < 3; ++route) {
            load.add({"r" + std::to_string(route), route, "c", 0,
                      slots * (2.0 + double(random() % 30) / 3), Milliseconds(200 + 200 * route),
                      Milliseconds(800 + 800 * route), 100ms, 1, "", 0s, 8s});
        }
        if (refusesEarly)
            load.refuseEarly();
        return load.run();
    };
    for (const auto &[gateways, seeds] :
         {std::pair(4, 5U), std::pair(26, 2U), std::pair(380, 1U)}) {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            SCOPED_TRACE(std::to_string(gateways) + " gateways, seed " + std::to_string(seed));
            const auto held = run(gateways, seed, false);
            const auto refused = run(gateways, seed, true);
            EXPECT_GE(servedUnderLoad(refused, 8s), servedUnderLoad(held, 8s) * 0.98);
            EXPECT_LE(waitInVain(refused), waitInVain(held) * 1.02);
        }
    }
}
