#pragma once

#include <placement/permit.h>
#include <rules/ruleset.h>

#include <map>
#include <string>
#include <vector>

namespace Placement {

/// The properties of a backend server that the planner uses.
struct PlannedServer
{
    std::string name;
    std::string group;
    std::string failureDomain;
    std::uint64_t memoryBytes = 0;
    bool isLeaving = false; ///< Gets no new permits, and its existing ones are revoked.
};

/// State from which the planner derives permits.
struct PlannerInput
{
    const Rules::RuleSet *rules = nullptr;
    std::map<std::string, PlannedServer> servers;
    /// Servers that the platform reports as permanently gone; they no longer hold any model.
    std::set<std::string> goneServers;
    std::map<std::string, Permit> permits;
};

/// Decides which backend servers may hold which models and returns only the permits that change. A
/// model never has more holders than its rule's replicas, including servers that have yet to
/// unload.
auto planPermits(const PlannerInput &input) -> std::map<std::string, Permit>;

} // namespace Placement
