// Measures the time of each decision at today's and at the target deployment sizes.

#include <admission/admissionqueue.h>
#include <contracts/contractbook.h>
#include <control/acceptancetracker.h>
#include <control/controlnode.h>
#include <entry/backenddirectory.h>
#include <placement/planner.h>
#include <routing/crashsuspects.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace {

using Utils::TimePoint;
const TimePoint start = TimePoint() + std::chrono::hours(1);

/// A control state with these numbers of models, adapters, engines and entries.
auto makeState(int models, int adapters, int engines, int entries) -> Control::ControlState
{
    Control::ControlState state;
    Control::Change change{1, "t", "bench", "bench", 0, {}, {}};
    const std::string attribution = "   # asked by somebody at some desk";
    for (int i = 0; i < models; ++i) {
        const std::string name = "model-" + std::to_string(i);
        const std::string text =
            "model " + name + " engines g replicas 2 memory 8GiB" + attribution;
        change.puts["rule/model/" + name] = {{"text", text}, {"person", "somebody"}, {"line", i}};
        Placement::Permit permit;
        permit.granted = {"engine-" + std::to_string(i % engines),
                          "engine-" + std::to_string((i + 1) % engines)};
        change.puts[Placement::permitItemKey(name)] = Placement::toJson(permit);
    }
    for (int i = 0; i < adapters; ++i) {
        const std::string name = "adapter-" + std::to_string(i);
        const std::string text = "adapter " + name + " model model-" + std::to_string(i % models)
            + " memory 100MiB" + attribution;
        change.puts["rule/adapter/" + name] = {{"text", text}, {"person", "somebody"}, {"line", i}};
    }
    for (int i = 0; i < engines; ++i) {
        const std::string name = "engine-" + std::to_string(i);
        const std::string domain = "domain-" + std::to_string(i % 9);
        change.puts["backend/" + name] = {{"name", name},
                                          {"kind", "engine"},
                                          {"group", "g"},
                                          {"agent", "agent-" + name},
                                          {"address", "10.0.0.1:1"},
                                          {"failureDomain", domain},
                                          {"memoryBytes", 640ULL << 30},
                                          {"leaving", false}};
        const Control::RegisteredInstance agent{"agent-" + name, "agent", domain, "10.0.0.1:1",
                                                "0123456789abcdef"};
        change.puts[Control::instanceItemKey(agent.name)] = Control::toJson(agent);
    }
    for (int i = 0; i < entries; ++i) {
        const std::string name = "entry-" + std::to_string(i);
        const Control::RegisteredInstance entry{name, "entry", "domain-" + std::to_string(i % 9),
                                                "10.0.0.2:1", "0123456789abcdef"};
        change.puts[Control::instanceItemKey(name)] = Control::toJson(entry);
    }
    state.apply(change);
    return state;
}

/// Today: the Hsinyi and Authority deployments together; target: the required sizes.
auto stateFor(const benchmark::State &state) -> const Control::ControlState &
{
    static const Control::ControlState today = makeState(100, 90, 21, 3);
    static const Control::ControlState target = makeState(520, 2000, 790, 380);
    return state.range(0) == 0 ? today : target;
}

void route(benchmark::State &state)
{
    const auto &control = stateFor(state);
    Entry::BackendDirectory directory(Placement::makeWakePolicy("nearest"), "domain-1");
    for (auto _ : state)
        benchmark::DoNotOptimize(directory.forModel(control, "model-7", {}, start));
}

void admit(benchmark::State &state)
{
    const int waiting = state.range(0) == 0 ? 16 : 256;
    Admission::AdmissionQueue queue(Admission::makeQueueOrder("fair"), 1000,
                                    std::chrono::milliseconds(100));
    std::uint64_t id = 0;
    const auto request = [&id] {
        return Admission::QueuedRequest{++id,  "customer-" + std::to_string(id % 20), 1, 100, "m",
                                        start, start + std::chrono::hours(1)};
    };
    for (int i = 0; i < waiting; ++i)
        queue.enqueue(request(), {}, start);
    for (auto _ : state) {
        queue.enqueue(request(), {}, start);
        const auto next = queue.next([](const auto &) { return true; });
        queue.finish(*next, 100, std::chrono::milliseconds(100));
    }
}

void charge(benchmark::State &state)
{
    const int entries = state.range(0) == 0 ? 3 : 380;
    Contracts::Epoch epoch;
    epoch.number = 1;
    for (int i = 0; i < entries; ++i)
        epoch.incarnations["entry-" + std::to_string(i)] = "a";
    epoch.contracts["c"] = {1e9, 1e9};
    const std::string home = epoch.baseEntriesOf("c").front();
    Contracts::ContractBook book(home, "a", std::make_unique<Contracts::DemandSharePolicy>());
    book.update(epoch, start);
    book.unlockGains(1, start);
    TimePoint now = start + std::chrono::seconds(10);
    for (auto _ : state) {
        now += std::chrono::microseconds(100);
        benchmark::DoNotOptimize(book.charge("c", 100, now));
    }
}

void takeEpoch(benchmark::State &state)
{
    const int entries = state.range(0) == 0 ? 3 : 380;
    Contracts::Epoch epoch;
    for (int i = 0; i < entries; ++i)
        epoch.incarnations["entry-" + std::to_string(i)] = "a";
    for (int i = 0; i < 100; ++i)
        epoch.contracts["customer-" + std::to_string(i)] = {1000, 4000};
    Contracts::ContractBook book("entry-1", "a", std::make_unique<Contracts::DemandSharePolicy>());
    for (auto _ : state) {
        ++epoch.number;
        book.update(epoch, start);
    }
}

auto plannerInput(const Control::ControlState &control) -> Placement::PlannerInput
{
    Placement::PlannerInput input;
    input.rules = &control.rules();
    for (const auto &[name, item] : control.itemsUnder("backend/"))
        input.servers[name] = {name, "g", item->value["failureDomain"].get<std::string>(),
                               640ULL << 30, false};
    return input;
}

void planFromNothing(benchmark::State &state)
{
    const auto input = plannerInput(stateFor(state));
    for (auto _ : state)
        benchmark::DoNotOptimize(Placement::planPermits(input));
}

/// Plans after one server has left since the previous plan.
void planAfterLoss(benchmark::State &state)
{
    auto input = plannerInput(stateFor(state));
    input.permits = Placement::planPermits(input);
    input.servers.erase(input.servers.begin()->first);
    input.goneServers = {"engine-0"};
    for (auto _ : state)
        benchmark::DoNotOptimize(Placement::planPermits(input));
}

void applyRuleChange(benchmark::State &state)
{
    Control::ControlState control = stateFor(state);
    for (auto _ : state) {
        Control::Change change{control.revision() + 1, "t", "a", "r", 0, {}, {}};
        change.puts["rule/drain/x"] = {
            {"text", "drain x   # asked by somebody"}, {"person", "somebody"}, {"line", 1}};
        control.apply(change);
    }
}

void applyOtherChange(benchmark::State &state)
{
    Control::ControlState control = stateFor(state);
    for (auto _ : state)
        control.apply({control.revision() + 1, "t", "a", "r", 0, {{"strike/x", {{"at", 1}}}}, {}});
}

void answerPull(benchmark::State &state)
{
    Control::ControlNode node({"entry-1", "domain-1", "x"}, {}, start);
    for (auto _ : state)
        benchmark::DoNotOptimize(Control::toJson(node.answerPeer(0, start)));
}

void fingerprint(benchmark::State &state)
{
    const std::string body(state.range(0) == 0 ? 1000 : 20000, 'x');
    for (auto _ : state)
        benchmark::DoNotOptimize(Routing::requestFingerprint("customer", "model", body));
}

void stateMemory(benchmark::State &state)
{
    const size_t before = mallinfo2().uordblks;
    const Control::ControlState copy = stateFor(state);
    const size_t bytes = mallinfo2().uordblks - before;
    for (auto _ : state)
        benchmark::DoNotOptimize(copy.revision());
    state.counters["stateBytes"] = static_cast<double>(bytes);
    state.counters["items"] = static_cast<double>(copy.items().size());
    state.counters["snapshotBytes"] = static_cast<double>(copy.toSnapshot().dump().size());
}

} // namespace

BENCHMARK(route)->Arg(0)->Arg(1);
BENCHMARK(admit)->Arg(0)->Arg(1);
BENCHMARK(charge)->Arg(0)->Arg(1);
BENCHMARK(takeEpoch)->Arg(0)->Arg(1);
BENCHMARK(planFromNothing)->Arg(0)->Arg(1);
BENCHMARK(planAfterLoss)->Arg(0)->Arg(1);
BENCHMARK(applyRuleChange)->Arg(0)->Arg(1);
BENCHMARK(applyOtherChange)->Arg(0)->Arg(1);
BENCHMARK(answerPull)->Arg(0);
BENCHMARK(fingerprint)->Arg(0)->Arg(1);
BENCHMARK(stateMemory)->Arg(0)->Arg(1)->Iterations(1);
