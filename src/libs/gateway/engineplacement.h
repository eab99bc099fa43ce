#pragma once

#include "demandtracker.h"
#include "enginecontroller.h"
#include "storeloadlimiter.h"
#include "swapplanner.h"
#include "unansweredorders.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Gateway {

struct GatewayContext;

/// The holder's work on all model engines: what each is known to hold, what is ordered from it.
/// Lives until another gateway has the duty, so that nothing known before is taken for still true.
class EnginePlacement
{
public:
    struct Events
    {
        /// Asked right before each order.
        std::function<std::optional<OrderAuthority>()> authority;
        /// What an engine holds is known anew.
        std::function<void(const std::string &id, const EngineReport &state)> onEngineChanged;
    };

    /// `loadWindow` is the time over which loads from the weight store are counted.
    EnginePlacement(GatewayContext &context, std::chrono::milliseconds loadWindow, Events events);
    ~EnginePlacement();

    /// Looks at all engines and gives the orders that the demand calls for.
    auto run(const std::map<ModelKey, TotalDemand> &demand) -> void;
    /// What is known of each engine.
    auto visit(const std::function<void(const std::string &id, const EngineReport &state)> &visitor)
        const -> void;

private:
    auto syncControllers() -> void;
    auto engineChanged(const std::string &key, const std::string &id) -> void;
    auto runningStoreLoads() const -> int;
    auto reserveFor(const BackendServer &server) const -> UnansweredOrders::Reserve;
    auto weightsOf(const std::string &engine, const std::string &model) const -> double;
    auto storeLoadsAllowed(const EngineDescription &description) -> int;
    auto placeModels(const std::string &service, const EngineDescription &description,
                     const std::map<ModelKey, TotalDemand> &demand) -> void;
    auto sendOrder(const PlannedOrder &order, EngineController &controller,
                   const EngineDescription &description) -> void;
    auto isAdapterRequested(const ModelKey &key) const -> bool;
    auto placeAdapters(const std::string &service, const EngineDescription &description,
                       const std::map<ModelKey, TotalDemand> &demand) -> void;
    auto now() const -> Utils::TimePoint;

    GatewayContext &m_context;
    std::chrono::milliseconds m_loadWindow;
    Events m_events;
    std::map<std::string, std::unique_ptr<EngineController>> m_controllers; ///< By id and start.
    std::map<std::string, SwapPlanner> m_planners; ///< By service.
    UnansweredOrders m_unansweredOrders;
    StoreLoadLimiter m_storeLoadLimiter;
    std::deque<Utils::TimePoint> m_storeLoadStarts; ///< When loads from the weight store began.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Gateway
