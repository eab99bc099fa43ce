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

/// Item that names the holder of the shared duties.
extern const std::string coordinatorItemKey;
/// Item that holds the contracts' epoch.
extern const std::string contractEpochItemKey;

/// Does the fleet's shared duties while this agent holds their lease: plans permits, makes contract
/// epochs, takes instances that are gone off the register.
class FleetCoordinator
{
public:
    /// `onDutyChanged` is told when this agent takes or loses the duty.
    FleetCoordinator(Node::FleetNode &node, std::function<void(bool)> onLeaseChanged);
    ~FleetCoordinator();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Agent
