#pragma once

#include <placement/planner.h>
#include <storage/instancelist.h>

#include <functional>
#include <memory>
#include <string>

namespace Node {
class FleetNode;
}

namespace Agent {

/// Key of the item that names the coordinator, which holds the shared duties.
extern const std::string coordinatorItemKey;
/// Key of the item that holds the contracts' epoch.
extern const std::string contractEpochItemKey;

/// Performs the fleet's shared duties while this agent holds the coordinator lease: plans permits,
/// creates contract epochs, and removes instances that are gone from the register.
class FleetCoordinator
{
public:
    /// Calls `onLeaseChanged` with true or false when this agent acquires or loses the lease.
    FleetCoordinator(Node::FleetNode &node, std::function<void(bool)> onLeaseChanged);
    ~FleetCoordinator();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Agent
