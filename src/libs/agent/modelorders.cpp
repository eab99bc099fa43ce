// The load and unload orders of the model manager.

#include "modelmanager_p.h"

namespace Agent {

auto ModelManager::Private::startPendingLoads() -> void
{
    if (!isReconciled || !node.mayAct())
        return;
    std::vector<std::pair<TimePoint, std::string>> byDeadline;
    for (const auto &[item, pending] : pendingLoads)
        byDeadline.emplace_back(pending.deadline, item);
    std::sort(byDeadline.begin(), byDeadline.end());
    for (const auto &[deadline, item] : byDeadline) {
        const auto found = pendingLoads.find(item);
        if (found == pendingLoads.end())
            continue;
        if (deadline <= now())
            removePendingLoad(item);
        else
            tryLoad(item, found->second);
    }
}

auto ModelManager::Private::tryLoad(const std::string &item, PendingLoad &pending) -> void
{
    const std::string &model = pending.base.empty() ? item : pending.base;
    if (table.stateOf(item) != ModelState::Absent)
        return;
    if (!isPermitted(model)) {
        refuse(item, RefusalReason::NoBackendServer, Constants::RetryInterval);
        return;
    }
    const bool isAdapter = !pending.base.empty();
    if (isAdapter
        && (table.stateOf(pending.base) != ModelState::Ready || adapterLoads >= maxAdapterLoads))
        return;
    if (!ensureFreeMemory(bytesOf(item)))
        return;
    if (isAdapter || pending.hasSlot) {
        startLoad(item);
        return;
    }
    if (pending.slot)
        return;
    pending.slot = slots.acquire(pending.deadline, [this, item] {
        const auto found = pendingLoads.find(item);
        if (found == pendingLoads.end())
            return;
        found->second.hasSlot = true;
        startPendingLoads();
    });
}

/// Returns true if `bytes` are free. Otherwise unloads idle models to free them and returns false.
auto ModelManager::Private::ensureFreeMemory(std::uint64_t bytes) -> bool
{
    if (table.memory().freeBytes() >= bytes)
        return true;
    for (const auto &victim : table.evictionCandidates(bytes, now())) {
        if (pendingLoads.count(victim) == 0)
            unload(victim);
    }
    return false;
}

auto ModelManager::Private::startLoad(const std::string &item) -> void
{
    const std::string base = pendingLoads[item].base;
    if (!table.beginLoad(item, bytesOf(item)))
        return;
    table.setBase(item, base);
    adapterLoads += base.empty() ? 0 : 1;
    ++ordersInFlight;
    ++ordersSent;
    Utils::logEvent(Utils::Event::LoadOrdered, logFields(item));
    server.load(orderFor(item, base), settings.loadTimeout,
                [this, item, base, sentAt = now()](const auto &result) {
                    --ordersInFlight;
                    adapterLoads -= base.empty() ? 0 : 1;
                    finishLoad(item, result, sentAt);
                });
}

auto ModelManager::Private::finishLoad(const std::string &item,
                                       const Utils::Result<void, OrderError> &result,
                                       TimePoint sentAt) -> void
{
    const auto pending = pendingLoads.find(item);
    const TimePoint since = pending == pendingLoads.end() ? sentAt : pending->second.since;
    node.metrics().count("acacia_loads_total", {{"result", result ? "ok" : "failed"}});
    if (table.stateOf(item) != ModelState::Loading)
        return; // The server restarted in the meantime.
    if (result) {
        table.finishLoad(item, now());
        loadTime.note(now() - sentAt);
        node.metrics().observe("acacia_cold_start_seconds", Utils::toSeconds(now() - since));
        Utils::logEvent(Utils::Event::LoadConfirmed, logFields(item));
        removePendingLoad(item);
    } else {
        if (result.error() == OrderError::Refused)
            table.cancelLoad(item);
        else
            table.markUncertain(item, now() + settings.orderLinger);
        Utils::logEvent(Utils::Event::LoadFailed, logFields(item));
        refuse(item, RefusalReason::LoadFailed,
               std::chrono::duration_cast<std::chrono::milliseconds>(loadTime.mean()));
    }
    changed();
    startPendingLoads();
}

auto ModelManager::Private::unload(const std::string &item) -> void
{
    if (!table.beginUnload(item))
        return;
    ++ordersInFlight;
    ++ordersSent;
    Utils::logEvent(Utils::Event::UnloadOrdered, logFields(item));
    server.unload(orderFor(item, {}), settings.loadTimeout, [this, item](const auto &result) {
        --ordersInFlight;
        finishUnload(item, result);
    });
}

auto ModelManager::Private::finishUnload(const std::string &item,
                                         const Utils::Result<void, OrderError> &result) -> void
{
    node.metrics().count("acacia_unloads_total", {{"result", result ? "ok" : "failed"}});
    if (table.stateOf(item) != ModelState::Unloading)
        return;
    if (result) {
        table.finishUnload(item);
        Utils::logEvent(Utils::Event::UnloadConfirmed, logFields(item));
    } else {
        table.markUncertain(item, now() + settings.orderLinger);
    }
    changed();
    startPendingLoads();
}

auto ModelManager::Private::removePendingLoad(const std::string &item) -> void
{
    const auto found = pendingLoads.extract(item);
    if (found && found.mapped().slot)
        slots.release(*found.mapped().slot);
}

auto ModelManager::Private::refuse(const std::string &item, RefusalReason reason,
                                   std::chrono::milliseconds retryAfter) -> void
{
    removePendingLoad(item);
    failed(item, {reason, Admission::Ran::No, retryAfter, {}, {}, {}, {}});
}

} // namespace Agent
