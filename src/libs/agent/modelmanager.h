#pragma once

#include <admission/refusal.h>
#include <agent/agentsettings.h>
#include <agent/backendserver.h>
#include <utils/timepoint.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Node {
class FleetNode;
}

namespace Agent {

class LoadSlots;

/// The model and adapter that a request needs.
struct ModelRequirement
{
    std::string model;
    std::string adapter; ///< Empty for the model itself.
};

/// Loads and unloads the models of one backend server. Loads only what permits allow and what fits
/// into memory, and tracks the outcome of every order.
class ModelManager
{
public:
    /// Called when a model became ready or waiting requests may be tried again.
    using ChangedCallback = std::function<void()>;
    /// Called when a model or adapter that requests wait for cannot be loaded.
    using FailedCallback =
        std::function<void(const std::string &item, const Admission::Refusal &refusal)>;

    ModelManager(Node::FleetNode &node, BackendServer &server, LoadSlots &slots,
                 const AgentSettings &settings, ChangedCallback changed, FailedCallback failed);
    ~ModelManager();

    /// Why this server cannot meet the requirement; nothing if it can.
    auto refusalFor(const ModelRequirement &requirement) const -> std::optional<Admission::Refusal>;
    auto isReady(const ModelRequirement &requirement) const -> bool;
    /// Expected time until the requirement is met.
    auto expectedDelay(const ModelRequirement &requirement) const -> Utils::Duration;
    /// Queues loads for what is missing. They are dropped if they have not started by `deadline`.
    auto requestLoad(const ModelRequirement &requirement, Utils::TimePoint deadline) -> void;
    auto beginUse(const ModelRequirement &requirement) -> void;
    auto endUse(const ModelRequirement &requirement) -> void;
    /// Call after the server may have restarted and so lost its models; polls its status.
    auto handleServerRestart() -> void;
    /// The backend server's latest boot id; empty while unknown.
    auto bootId() const -> const std::string &;
    auto status() const -> nlohmann::json;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Agent
