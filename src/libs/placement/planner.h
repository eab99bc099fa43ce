#pragma once

#include <placement/permit.h>
#include <rules/ruleset.h>

#include <map>
#include <string>
#include <vector>

namespace Placement {

/// A backend server as the planner sees it.
struct PlannedServer
{
    std::string name;
    std::string group;
    std::string failureDomain;
    std::uint64_t memoryBytes = 0;
    bool isLeaving = false; ///< Gets no new permit and loses those it has.
};

/// What the planner goes by.
struct PlannerInput
{
    const Rules::RuleSet *rules = nullptr;
    std::map<std::string, PlannedServer> servers;
    /// Servers that the platform says are gone for good; what they held is free.
    std::set<std::string> goneServers;
    std::map<std::string, Permit> permits;
};

/// Decides which backend servers may hold which models; gives only the permits that change. Never
/// has more holders of a model than its rule's replicas, counting those that are still to unload.
auto planPermits(const PlannerInput &input) -> std::map<std::string, Permit>;

} // namespace Placement
