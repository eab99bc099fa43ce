#pragma once

#include "modelmanager.h"

#include "agentconstants.h"
#include "loadslots.h"

#include <admission/servicetime.h>
#include <monitoring/metrics.h>
#include <net/periodictimer.h>
#include <net/reactor.h>
#include <node/fleetnode.h>
#include <placement/keepwarmpolicy.h>
#include <placement/permit.h>
#include <utils/eventlog.h>

#include <algorithm>
#include <set>

namespace Agent {

using Admission::Refusal;
using Admission::RefusalReason;
using Placement::ModelState;
using Utils::TimePoint;

inline constexpr size_t maxAdapterLoads = 2;
inline const std::string permitPrefix = "permit/";

/// A model or adapter to load because requests wait for it.
struct PendingLoad
{
    std::string base; ///< The model if the item is an adapter.
    TimePoint deadline;
    TimePoint since;
    bool hasSlot = false;
    std::optional<std::uint64_t> slot;
};

struct ModelManager::Private
{
    Node::FleetNode &node;
    BackendServer &server;
    LoadSlots &slots;
    AgentSettings settings;
    ChangedCallback changed;
    FailedCallback failed;
    Placement::ModelTable table;
    std::unique_ptr<Placement::KeepWarmPolicy> keepWarm;
    Admission::ServiceTime loadTime;
    std::map<std::string, PendingLoad> pendingLoads;
    std::set<std::string> releasing;
    TimePoint earliestReconcileAt;
    bool isReconciled = false;
    int ordersInFlight = 0;
    std::uint64_t ordersSent = 0;
    size_t adapterLoads = 0;
    std::string bootId;
    std::unique_ptr<Net::PeriodicTimer> statusTimer;
    std::unique_ptr<Net::PeriodicTimer> retryTimer;

    Private(Node::FleetNode &fleetNode, BackendServer &backendServer, LoadSlots &loadSlots,
            const AgentSettings &agentSettings)
        : node(fleetNode)
        , server(backendServer)
        , slots(loadSlots)
        , settings(agentSettings)
        , table(agentSettings.memoryBytes)
        , keepWarm(Placement::makeKeepWarmPolicy(agentSettings.keepWarm))
        , loadTime(agentSettings.typicalLoad)
    {
        // Orders of an earlier agent may still take effect, unless the server refuses old fencing
        // numbers.
        const auto wait =
            settings.serverHonoursFencing ? std::chrono::milliseconds(0) : settings.orderLinger;
        earliestReconcileAt = node.reactor().now() + wait;
    }

    auto now() const -> TimePoint { return node.reactor().now(); }
    auto fence() const -> std::uint64_t;
    auto permitOf(const std::string &model) const -> Placement::Permit;
    auto isPermitted(const std::string &model) const -> bool;
    auto bytesOf(const std::string &item) const -> std::uint64_t;
    auto orderFor(const std::string &item, const std::string &base) const -> ModelOrder;
    auto logFields(const std::string &item) const -> nlohmann::json;
    auto addPendingLoad(const std::string &item, const std::string &base, TimePoint deadline)
        -> void;
    auto startPendingLoads() -> void;
    auto tryLoad(const std::string &item, PendingLoad &pending) -> void;
    auto ensureFreeMemory(std::uint64_t bytes) -> bool;
    auto startLoad(const std::string &item) -> void;
    auto finishLoad(const std::string &item, const Utils::Result<void, OrderError> &result,
                    TimePoint sentAt) -> void;
    auto unload(const std::string &item) -> void;
    auto finishUnload(const std::string &item, const Utils::Result<void, OrderError> &result)
        -> void;
    auto removePendingLoad(const std::string &item) -> void;
    auto refuse(const std::string &item, RefusalReason reason, std::chrono::milliseconds retryAfter)
        -> void;
    auto unloadUnpermitted() -> void;
    auto releaseRevoked() -> void;
    auto release(const std::string &model) -> void;
    auto pollServer() -> void;
    auto applyStatus(const ServerStatus &status, std::uint64_t ordersBefore) -> void;
    auto restart() -> void;
};

} // namespace Agent
