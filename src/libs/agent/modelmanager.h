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

/// Which model and adapter a request needs.
struct ModelRequirement
{
    std::string model;
    std::string adapter; ///< Empty for the model itself.
};

/// Loads and unloads the models of one backend server: only what permits allow, never more than the
/// memory, and with every order's outcome accounted for.
class ModelManager
{
public:
    /// Called when something became ready or may be tried now.
    using ChangedCallback = std::function<void()>;
    /// Called when what a request needs can't be had.
    using FailedCallback =
        std::function<void(const std::string &item, const Admission::Refusal &refusal)>;

    ModelManager(Node::FleetNode &node, BackendServer &server, LoadSlots &slots,
                 const AgentSettings &settings, ChangedCallback changed, FailedCallback failed);
    ~ModelManager();

    /// Why the need can't be met here, or nothing when it can.
    auto refusalFor(const ModelRequirement &requirement) const -> std::optional<Admission::Refusal>;
    auto isReady(const ModelRequirement &requirement) const -> bool;
    /// Expected time until the need is met.
    auto expectedDelay(const ModelRequirement &requirement) const -> Utils::Duration;
    /// Loads what is missing, to be of use until `deadline`.
    auto requestLoad(const ModelRequirement &requirement, Utils::TimePoint deadline) -> void;
    auto beginUse(const ModelRequirement &requirement) -> void;
    auto endUse(const ModelRequirement &requirement) -> void;
    /// The server restarted: it holds nothing of what it held.
    auto handleServerRestart() -> void;
    /// The backend server's latest boot id; empty while unknown.
    auto bootId() const -> const std::string &;
    auto status() const -> nlohmann::json;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Agent
