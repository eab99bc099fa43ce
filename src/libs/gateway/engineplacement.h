#pragma once

#include "demandtracker.h"
#include "enginecontroller.h"
#include "swapplanner.h"

#include <admission/forecastsource.h>
#include <placement/storeloadlimiter.h>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Gateway {

struct GatewayContext;

/// Tracks and orders the contents of all model engines on the gateway that holds the lease. It is
/// discarded when another gateway gets the lease, so that no outdated state is reused.
class EnginePlacement : public Admission::ForecastSource
{
public:
    using WaitingAtVersion = std::map<Placement::VersionDemand::Key, int>;

    struct Events
    {
        /// Called right before each order is sent.
        std::function<std::optional<OrderAuthority>()> authority;
        /// The known state of an engine has changed.
        std::function<void(const std::string &id, const EngineReport &state)> onEngineChanged;
    };

    /// `loadWindow` is the window over which loads from the weight store are rate-limited.
    EnginePlacement(GatewayContext &context, std::chrono::milliseconds loadWindow, Events events);
    ~EnginePlacement() override;

    /// Updates the state of all engines and sends the orders that the demand requires.
    auto run(const std::map<ModelKey, TotalDemand> &demand, const WaitingAtVersion &atVersion)
        -> void;
    /// Gives up the orders under way that have lost their authority.
    auto checkOrdersUnderWay() -> void;
    auto expectedModels(Utils::TimePoint now) const
        -> std::vector<Admission::ExpectedModel> override;
    /// Calls `visitor` for each engine with a known state.
    auto visit(const std::function<void(const std::string &id, const EngineReport &state)> &visitor)
        const -> void;

private:
    auto syncControllers() -> void;
    auto engineChanged(const std::string &key, const std::string &id) -> void;
    auto runningStoreLoads() const -> int;
    auto reserveFor(const BackendServer &server) const -> Placement::UnansweredOrders::Reserve;
    auto descriptionOf(const std::string &engine) const -> const EngineDescription *;
    auto loadOf(const std::string &engine, const EngineOrder &order) const
        -> Placement::UnansweredOrders::Load;
    auto adapterRoom(const std::string &key, const std::string &model) const -> AdapterRoom;
    auto storeLoadsAllowed(const EngineDescription &description) -> int;
    auto placeModels(const std::string &service, const EngineDescription &description,
                     const std::map<ModelKey, TotalDemand> &demand,
                     const WaitingAtVersion &atVersion) -> void;
    auto sendOrder(const PlannedOrder &order, EngineController &controller,
                   const EngineDescription &description) -> void;
    auto placeAdapters(const std::string &service, const std::map<ModelKey, TotalDemand> &demand,
                       const WaitingAtVersion &atVersion) -> void;
    auto placeAdapter(const Placement::VersionDemand::Key &key) -> void;
    auto now() const -> Utils::TimePoint;

    GatewayContext &m_context;
    std::chrono::milliseconds m_loadWindow;
    Events m_events;
    std::map<std::string, std::unique_ptr<EngineController>> m_controllers; ///< By id and start.
    std::map<std::string, SwapPlanner> m_planners; ///< By service.
    Placement::UnansweredOrders m_unansweredOrders;
    Placement::StoreLoadLimiter m_storeLoadLimiter;
    std::deque<Utils::TimePoint> m_storeLoadStarts; ///< Within `m_loadWindow`.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Gateway
