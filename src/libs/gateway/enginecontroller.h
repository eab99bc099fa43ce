#pragma once

#include "backendserver.h"
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

/// Who gives an order, and the proof that it may.
struct OrderAuthority
{
    std::string holder;
    std::uint64_t fence = 0;
};

/// What the holder of the placement duty knows of one engine, and its orders to it: one at a time,
/// each bound to the count of orders that the engine has accepted, so that an order that is carried
/// out late can't take effect after a newer one.
class EngineController
{
public:
    struct Events
    {
        std::function<void()> onChanged; ///< What the engine holds is known anew.
        /// A load from the weight store has ended: its nominal time, the time that it took, and how
        /// many ran when it began, itself included.
        std::function<void(std::chrono::milliseconds, std::chrono::milliseconds, int)> onStoreLoad;
        std::function<void(const EngineOrder &)> onOrderSent;
        /// The engine said what becomes of the order.
        std::function<void(const EngineOrder &)> onOrderAnswered;
        /// Asked right before an order leaves; nothing forbids it.
        std::function<std::optional<OrderAuthority>()> authority;
    };

    EngineController(GatewayContext &context, std::string id, Events events);
    ~EngineController();

    /// Reads the engine's report if that is due.
    auto tick(Utils::TimePoint now) -> void;
    auto isKnown() const -> bool { return m_isKnown; }
    /// True if no order may be given now.
    auto isBusy() const -> bool;
    auto toPlannedEngine(const BackendServer &server,
                         const UnansweredOrders::Reserve &reserve) const -> PlannedEngine;
    auto state() const -> const EngineReport & { return m_state; }

    /// `storeLoads` is how many loads from the weight store run with this one, itself included; 0
    /// if it comes from a copy.
    auto load(const std::string &model, std::chrono::milliseconds expected, int storeLoads,
              Utils::TimePoint now) -> void;
    auto unload(const std::string &model, Utils::TimePoint now) -> void;
    /// Makes an adapter ready, in place of the one used least recently if there is no room.
    auto requestAdapter(const std::string &model, const std::string &adapter, int adapterSlots,
                        Utils::TimePoint now) -> void;
    /// True if the adapter is held, on its way, or in line for it.
    auto isAdapterHeldOrRequested(const std::string &model, const std::string &adapter) const
        -> bool;
    /// True if it loads from the weight store, or may do so by another holder's order.
    auto isLoadingFromStore() const -> bool;
    /// True if the engine would take orders for adapters: it refuses all while it loads a model,
    /// and while an adapter waits for its last run to end.
    auto acceptsAdapterOrders() const -> bool;
    /// Adapters with requests under way are the last ones to make room for others.
    auto noteAdaptersInUse(
        const std::function<bool(const std::string &model, const std::string &adapter)> &isInUse,
        Utils::TimePoint now) -> void;
    /// Adapters that take up a place: held, coming, or leaving after their last run.
    auto adapterCount() const -> int;

private:
    struct PendingLoad
    {
        std::string model;
        int storeLoads = 0; ///< From the weight store that ran when it began; 0 if from a copy.
        Utils::TimePoint dueAt;
        std::chrono::milliseconds nominal{0};
        Utils::TimePoint startedAt;
    };

    struct QueuedAdapter
    {
        std::string model;
        std::string adapter;
        Utils::TimePoint since;
    };

    /// False if the order may not be given, or the engine is gone: nothing has changed then.
    auto sendOrder(EngineOrder order, std::function<void(OrderResult)> done) -> bool;
    auto handleOrderResult(const EngineOrder &order, OrderResult result) -> void;
    auto requestReport() -> void;
    auto handleReport(const std::string &body) -> void;
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
    /// As "model/adapter": ordered to leave, and in the engine until their runs have ended.
    std::set<std::string> m_unloadingAdapters;
    Utils::TimePoint m_nextUnloadingCheck;
    std::string m_loadingAdapter; ///< As "model/adapter", while its order is out.
    int m_adapterSlots = 0;
    std::unique_ptr<BackendAttempt> m_call;
    int m_callStatus = 0;
    std::string m_callBody;
    long m_callTimer = 0;
    long m_wakeTimer = 0;
    bool m_isUncertain = false; ///< An order got no answer; the report has to tell.
    Utils::TimePoint m_nextReport;
};

} // namespace Gateway
