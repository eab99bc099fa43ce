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

/// Where loads get their turn at the weight store: from the fleet's pacing duty, or, while its
/// holder can't be reached, from this agent's own share of the store's rate.
class LoadSlots
{
public:
    using GrantedCallback = std::function<void()>;

    LoadSlots(Node::FleetNode &node, const Placement::LoadLimits &limits, bool isPaced);
    ~LoadSlots();

    /// Calls `granted` once the load may start; `release` must follow. Gives the load's number.
    auto acquire(Utils::TimePoint deadline, GrantedCallback granted) -> std::uint64_t;
    auto release(std::uint64_t load) -> void;
    /// Tells whether this agent holds the pacing duty now.
    auto setCoordinator(bool isCoordinator) -> void;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Agent
