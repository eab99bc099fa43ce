// The orders to load and unload that a model keeper gives.

#include "modelkeeper_p.h"

namespace Agent {

auto ModelKeeper::Private::pump() -> void
{
    if (!isReconciled || !node.mayAct())
        return;
    std::vector<std::pair<TimePoint, std::string>> byDeadline;
    for (const auto &[item, need] : wanted)
        byDeadline.emplace_back(need.deadline, item);
    std::sort(byDeadline.begin(), byDeadline.end());
    for (const auto &[deadline, item] : byDeadline) {
        const auto found = wanted.find(item);
        if (found == wanted.end())
            continue;
        if (deadline <= now())
            dropWanted(item);
        else
            tryLoad(item, found->second);
    }
}

auto ModelKeeper::Private::tryLoad(const std::string &item, Wanted &need) -> void
{
    const std::string &model = need.base.empty() ? item : need.base;
    if (table.stateOf(item) != ModelState::Absent)
        return;
    if (!isPermitted(model)) {
        refuse(item, RefusalReason::NoBackendServer, Constants::RetryPeriod);
        return;
    }
    const bool isAdapter = !need.base.empty();
    if (isAdapter
        && (table.stateOf(need.base) != ModelState::Ready || adapterLoads >= mostAdapterLoads))
        return;
    if (!makeRoom(bytesOf(item)))
        return;
    if (isAdapter || need.hasSlot) {
        startLoad(item);
        return;
    }
    if (need.slot)
        return;
    need.slot = slots.acquire(need.deadline, [this, item] {
        const auto found = wanted.find(item);
        if (found == wanted.end())
            return;
        found->second.hasSlot = true;
        pump();
    });
}

/// True when the bytes are free now; otherwise unloads idle models so that they will be.
auto ModelKeeper::Private::makeRoom(std::uint64_t bytes) -> bool
{
    if (table.memory().freeBytes() >= bytes)
        return true;
    for (const auto &victim : table.evictionCandidates(bytes, now())) {
        if (wanted.count(victim) == 0)
            unload(victim);
    }
    return false;
}

auto ModelKeeper::Private::startLoad(const std::string &item) -> void
{
    const std::string base = wanted[item].base;
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

auto ModelKeeper::Private::finishLoad(const std::string &item,
                                      const Utils::Result<void, OrderError> &result,
                                      TimePoint sentAt) -> void
{
    const auto need = wanted.find(item);
    const TimePoint since = need == wanted.end() ? sentAt : need->second.since;
    node.metrics().count("acacia_loads_total", {{"result", result ? "ok" : "failed"}});
    if (table.stateOf(item) != ModelState::Loading)
        return; // The server restarted meanwhile.
    if (result) {
        table.finishLoad(item, now());
        loadTime.note(now() - sentAt);
        node.metrics().observe("acacia_cold_start_seconds", Utils::toSeconds(now() - since));
        Utils::logEvent(Utils::Event::LoadConfirmed, logFields(item));
        dropWanted(item);
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
    pump();
}

auto ModelKeeper::Private::unload(const std::string &item) -> void
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

auto ModelKeeper::Private::finishUnload(const std::string &item,
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
    pump();
}

auto ModelKeeper::Private::dropWanted(const std::string &item) -> void
{
    const auto found = wanted.extract(item);
    if (found && found.mapped().slot)
        slots.release(*found.mapped().slot);
}

auto ModelKeeper::Private::refuse(const std::string &item, RefusalReason reason,
                                  std::chrono::milliseconds retryAfter) -> void
{
    dropWanted(item);
    failed(item, {reason, Admission::Ran::No, retryAfter, {}, {}, {}, {}});
}

} // namespace Agent
