#pragma once

#include <placement/loadpacer.h>
#include <utils/timepoint.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Links {
class LinkExchange;
}

namespace Node {
class FleetNode;
}

namespace Agent {

/// Limits the rate of loads from the weight store. The coordinator grants slots for the whole
/// fleet; while it is unreachable, this agent uses its own share of the store's rate.
class LoadSlots
{
public:
    using GrantedCallback = std::function<void()>;

    LoadSlots(Node::FleetNode &node, const Placement::LoadLimits &limits, bool isPaced);
    ~LoadSlots();

    /// Calls `granted` once the load may start, and returns the load's number. The caller must
    /// release that number afterwards.
    auto acquire(Utils::TimePoint deadline, GrantedCallback granted) -> std::uint64_t;
    auto release(std::uint64_t load) -> void;
    /// Sets whether this agent is the coordinator, which grants the fleet's slots.
    auto setCoordinator(bool isCoordinator) -> void;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Agent
