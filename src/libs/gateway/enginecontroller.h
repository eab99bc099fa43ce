#pragma once

#include "backendserver.h"
#include "enginememory.h"
#include "swapplanner.h"
#include "wireformat.h"

#include <utils/timepoint.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Gateway {

class BackendAttempt;
struct GatewayContext;

/// The lease holder that sends an order, its fencing token, and how long the lease still lasts if
/// it isn't renewed.
struct OrderAuthority
{
    std::string holder;
    std::uint64_t fence = 0;
    std::chrono::milliseconds validFor{0};

    auto isSameTenure(const OrderAuthority &other) const -> bool
    {
        return holder == other.holder && fence == other.fence;
    }
};

/// Tracks the state of one engine for the placement lease's holder and sends it orders, one at a
/// time. Each order names the number of orders that the engine has accepted, so that a delayed
/// order can't take effect after a newer one.
class EngineController
{
public:
    struct Events
    {
        std::function<void()> onChanged; ///< The known state of the engine has changed.
        /// A load from the weight store has finished: its nominal duration, its actual duration,
        /// and the number of loads that ran when it started, including itself.
        std::function<void(std::chrono::milliseconds, std::chrono::milliseconds, int)> onStoreLoad;
        std::function<void(const EngineOrder &)> onOrderSent;
        /// The engine has accepted or refused the order.
        std::function<void(const EngineOrder &)> onOrderAnswered;
        /// Called right before an order is sent and while it is under way. An unset result forbids
        /// it.
        std::function<std::optional<OrderAuthority>()> authority;
        /// Whether one more adapter of the model fits beside what the engine holds and was ordered.
        std::function<AdapterRoom(const std::string &model)> adapterRoom;
    };

    EngineController(GatewayContext &context, std::string id, Events events);
    ~EngineController();

    /// Requests the engine's report if that is due, otherwise processes the adapter queue.
    auto tick(Utils::TimePoint now) -> void;
    auto isKnown() const -> bool { return m_isKnown; }
    /// Gives up an order that is under way unless it still has its authority.
    auto checkOrderUnderWay() -> void;
    /// True if no order can be sent now.
    auto isBusy() const -> bool;
    auto toPlannedEngine(const BackendServer &server,
                         const Placement::UnansweredOrders::Reserve &reserve) const
        -> PlannedEngine;
    auto state() const -> const EngineReport & { return m_state; }

    /// `storeLoads` is the number of concurrent loads from the weight store, including this one; 0
    /// if the model is loaded from a copy.
    auto load(const std::string &model, std::chrono::milliseconds expected, int storeLoads,
              Utils::TimePoint now) -> void;
    /// The model of an accepted load order, and the rest of its nominal time.
    auto acceptedLoad(Utils::TimePoint now) const
        -> std::optional<std::pair<std::string, std::chrono::milliseconds>>;
    /// `isIdle` tells that no request of the model is known to run, so that the unload takes no
    /// time.
    auto unload(const std::string &model, bool isIdle) -> void;
    /// Queues the load of an adapter; if it has no room, it replaces the least recently used one.
    auto requestAdapter(const std::string &model, const std::string &adapter, Utils::TimePoint now)
        -> void;
    /// True if the adapter is held, being loaded or queued.
    auto isAdapterHeldOrRequested(const std::string &model, const std::string &adapter) const
        -> bool;
    /// True if the engine loads from the weight store, or may do so by a previous holder's order.
    auto isLoadingFromStore() const -> bool;
    /// True if the engine accepts orders for adapters. It refuses them while it loads a model and
    /// while an adapter that is being unloaded still has running requests.
    auto acceptsAdapterOrders() const -> bool;
    /// Marks adapters with running requests as recently used, so that they are replaced last.
    auto noteAdaptersInUse(
        const std::function<bool(const std::string &model, const std::string &adapter)> &isInUse,
        Utils::TimePoint now) -> void;
    /// Number of occupied adapter slots: adapters held, being loaded, or being unloaded.
    auto adapterCount() const -> int;

private:
    struct PendingLoad
    {
        std::string model;
        int storeLoads = 0; ///< Concurrent loads from the store at its start; 0 if from a copy.
        Utils::TimePoint dueAt;
        std::chrono::milliseconds nominal{0};
        Utils::TimePoint startedAt;

        /// The duration is known in advance, as other loads don't slow down a load from a copy.
        auto isFromCopy() const -> bool { return storeLoads == 0; }
    };

    /// An order that was sent and has not been answered.
    struct OrderUnderWay
    {
        EngineOrder order;
        OrderAuthority authority;
        Utils::TimePoint until; ///< When it is given up.
        std::function<void(OrderResult)> done;
    };

    struct QueuedAdapter
    {
        std::string model;
        std::string adapter;
        Utils::TimePoint since;
    };

    /// Ends the order under way; `ending` is for the log. An order that is not answered is reset.
    auto endOrder(bool isAnswered, const std::string &ending) -> void;
    /// Returns false, with no effect, if the order must not be sent or the engine is gone.
    auto sendOrder(EngineOrder order, std::function<void(OrderResult)> done) -> bool;
    /// How an order ended, as the log names it.
    auto logOrderEnd(const EngineOrder &order, int status, const std::string &ending) const -> void;
    /// True if the order under way may still arrive.
    auto hasAuthority() const -> bool;
    /// Schedules the next check of the order under way.
    auto watchOrder(std::chrono::milliseconds validFor) -> void;
    auto handleOrderResult(const EngineOrder &order, OrderResult result) -> void;
    auto requestReport() -> void;
    auto handleReport(const std::string &body) -> void;
    auto noteLoaded(Utils::TimePoint now) -> void;
    auto assumeDoneAfter(std::chrono::milliseconds delay) -> void;
    auto assumeOrderDone() -> void;
    auto wakeAt(Utils::TimePoint at) -> void;
    auto processAdapterQueue(Utils::TimePoint now) -> void;
    auto unloadAdapter(const std::string &model, const std::string &adapter) -> void;
    auto removeUnloadingAdapters() -> void;
    auto isAdapterQueued(const std::string &model, const std::string &adapter) const -> bool;
    auto releaseAttempt(std::unique_ptr<BackendAttempt> attempt) -> void;

    GatewayContext &m_context;
    std::string m_id;
    Events m_events;
    bool m_isKnown = false;
    EngineReport m_state;
    std::optional<PendingLoad> m_pendingLoad;
    std::string m_unloadingModel; ///< Model that is being unloaded.
    std::map<std::string, Utils::TimePoint> m_readySince;
    std::map<std::string, Utils::TimePoint> m_adapterUsed; ///< By "model/adapter".
    std::list<QueuedAdapter> m_adapterQueue;
    /// As "model/adapter": ordered to unload; they stay loaded until their requests have ended.
    std::set<std::string> m_unloadingAdapters;
    Utils::TimePoint m_nextUnloadingCheck;
    std::string m_loadingAdapter; ///< As "model/adapter", while its order is unanswered.
    std::unique_ptr<BackendAttempt> m_call;
    std::optional<OrderUnderWay> m_orderUnderWay; ///< Carried by `m_call`.
    int m_callStatus = 0;
    std::string m_callBody;
    long m_callTimer = 0;
    long m_wakeTimer = 0;
    bool m_isUncertain = false; ///< An order got no answer; a report must resolve it.
    Utils::TimePoint m_nextReport;
    long m_assumptionTimer = 0;
    /// When a report is requested to check an order that was assumed to be done.
    std::optional<Utils::TimePoint> m_verifyAt;
};

} // namespace Gateway
