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
struct ModelNeed
{
    std::string model;
    std::string adapter; ///< Empty for the model itself.
};

/// Loads and unloads the models of one backend server: only what permits allow, never more than the
/// memory, and with every order's outcome accounted for.
class ModelKeeper
{
public:
    /// Called when something became ready or may be tried now.
    using ChangedCallback = std::function<void()>;
    /// Called when what a request needs can't be had.
    using FailedCallback =
        std::function<void(const std::string &item, const Admission::Refusal &refusal)>;

    ModelKeeper(Node::FleetNode &node, BackendServer &server, LoadSlots &slots,
                const AgentSettings &settings, ChangedCallback changed, FailedCallback failed);
    ~ModelKeeper();

    /// Why the need can't be met here, or nothing when it can.
    auto whyNot(const ModelNeed &need) const -> std::optional<Admission::Refusal>;
    auto isReady(const ModelNeed &need) const -> bool;
    /// Expected time until the need is met.
    auto expectedDelay(const ModelNeed &need) const -> Utils::Duration;
    /// Loads what is missing, to be of use until `deadline`.
    auto want(const ModelNeed &need, Utils::TimePoint deadline) -> void;
    auto beginUse(const ModelNeed &need) -> void;
    auto endUse(const ModelNeed &need) -> void;
    /// The server restarted: it holds nothing of what it held.
    auto noteRestart() -> void;
    /// The backend server's latest boot id; empty while unknown.
    auto bootId() const -> const std::string &;
    auto status() const -> nlohmann::json;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Agent
