#include <placement/planner.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Placement;

namespace {

constexpr std::uint64_t gibibyte = 1ULL << 30;

auto rulesFor(int models, int replicas) -> Rules::RuleSet
{
    std::vector<Rules::Rule> rules;
    for (int i = 0; i < models; ++i)
        rules.push_back({Rules::ModelRule{"m" + std::to_string(i), "g", replicas, gibibyte}, {}});
    return Rules::RuleSet(rules);
}

auto server(int index) -> PlannedServer
{
    return {"s" + std::to_string(index), "g", "d" + std::to_string(index % 3), 10 * gibibyte,
            false};
}

} // namespace

TEST(Planner, SpreadsReplicasOverFailureDomains)
{
    const auto rules = rulesFor(4, 3);
    PlannerInput input{&rules, {}, {}, {}};
    for (int i = 0; i < 6; ++i)
        input.servers["s" + std::to_string(i)] = server(i);
    for (const auto &[model, permit] : planPermits(input)) {
        std::set<std::string> domains;
        for (const auto &name : permit.granted)
            domains.insert(input.servers.at(name).failureDomain);
        EXPECT_EQ(domains.size(), 3U) << model;
    }
}

TEST(Planner, PlansNothingWhenNothingChanges)
{
    const auto rules = rulesFor(4, 2);
    PlannerInput input{&rules, {}, {}, {}};
    for (int i = 0; i < 3; ++i)
        input.servers["s" + std::to_string(i)] = server(i);
    input.permits = planPermits(input);
    EXPECT_EQ(input.permits.size(), 4U);
    EXPECT_TRUE(planPermits(input).empty());
}

RC_GTEST_PROP(Planner, NeverHasMoreHoldersThanReplicas, ())
{
    const int replicas = *rc::gen::inRange(1, 4);
    const auto rules = rulesFor(3, replicas);
    PlannerInput input{&rules, {}, {}, {}};
    for (int step = 0; step < 40; ++step) {
        const std::string name = "s" + std::to_string(*rc::gen::inRange(0, 6));
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            input.servers[name] = server(name.back() - '0');
            break;
        case 1:
            if (input.servers.count(name) > 0)
                input.servers[name].isLeaving = !input.servers[name].isLeaving;
            break;
        case 2:
            input.servers.erase(name);
            input.goneServers = {name};
            break;
        default: // A holder confirms the unload.
            for (auto &[model, permit] : input.permits)
                permit.revoked.erase(name);
        }
        for (const auto &[model, permit] : planPermits(input))
            input.permits[model] = permit;
        input.goneServers.clear();
        for (const auto &[model, permit] : input.permits) {
            RC_ASSERT(permit.holderCount() <= static_cast<size_t>(replicas));
            for (const auto &granted : permit.granted)
                RC_ASSERT(input.servers.count(granted) > 0 && !input.servers.at(granted).isLeaving);
        }
    }
}
