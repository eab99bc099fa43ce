#include "modelkeeper.h"

#include "agentconstants.h"
#include "loadslots.h"

#include <admission/servicetime.h>
#include <net/periodictimer.h>
#include <node/fleetnode.h>
#include <node/metrics.h>
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

namespace {

constexpr size_t mostAdapterLoads = 2;
const std::string permitPrefix = "permit/";

/// Something to load that requests wait for.
struct Wanted
{
    std::string base; ///< The model, when the item is an adapter.
    TimePoint deadline;
    TimePoint since;
    bool hasSlot = false;
    std::optional<std::uint64_t> slot;
};

} // namespace

struct ModelKeeper::Private
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
    std::map<std::string, Wanted> wanted;
    std::set<std::string> releasing;
    TimePoint mayReconcileAt;
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
        // An earlier agent's orders may still take effect unless the server refuses old fencing
        // numbers.
        const auto wait =
            settings.serverHonoursFencing ? std::chrono::milliseconds(0) : settings.orderLinger;
        mayReconcileAt = node.reactor().now() + wait;
    }

    auto now() const -> TimePoint { return node.reactor().now(); }
    auto fence() const -> std::uint64_t;
    auto permitOf(const std::string &model) const -> Placement::Permit;
    auto isPermitted(const std::string &model) const -> bool;
    auto bytesOf(const std::string &item) const -> std::uint64_t;
    auto orderFor(const std::string &item, const std::string &base) const -> ModelOrder;
    auto logFields(const std::string &item) const -> nlohmann::json;
    auto wantItem(const std::string &item, const std::string &base, TimePoint deadline) -> void;
    auto pump() -> void;
    auto tryLoad(const std::string &item, Wanted &need) -> void;
    auto makeRoom(std::uint64_t bytes) -> bool;
    auto startLoad(const std::string &item) -> void;
    auto finishLoad(const std::string &item, const Utils::Result<void, OrderError> &result,
                    TimePoint sentAt) -> void;
    auto unload(const std::string &item) -> void;
    auto finishUnload(const std::string &item, const Utils::Result<void, OrderError> &result)
        -> void;
    auto dropWanted(const std::string &item) -> void;
    auto refuse(const std::string &item, RefusalReason reason, std::chrono::milliseconds retryAfter)
        -> void;
    auto unloadUnpermitted() -> void;
    auto releaseRevoked() -> void;
    auto release(const std::string &model) -> void;
    auto lookAtServer() -> void;
    auto takeStatus(const ServerStatus &status, std::uint64_t ordersBefore) -> void;
    auto restart() -> void;
};

/// The revision of this agent's registration: every later agent's is greater.
auto ModelKeeper::Private::fence() const -> std::uint64_t
{
    const auto *item = node.state().item(Control::instanceItemKey(node.settings().name));
    return item ? item->revision : 0;
}

auto ModelKeeper::Private::permitOf(const std::string &model) const -> Placement::Permit
{
    const auto *item = node.state().item(Placement::permitItemKey(model));
    const auto permit = item ? Placement::permitFromJson(item->value) : std::nullopt;
    return permit.value_or(Placement::Permit());
}

auto ModelKeeper::Private::isPermitted(const std::string &model) const -> bool
{
    return permitOf(model).granted.count(settings.serverName) > 0;
}

auto ModelKeeper::Private::bytesOf(const std::string &item) const -> std::uint64_t
{
    const auto &rules = node.state().rules();
    if (const auto *model = rules.model(item))
        return model->body.memoryBytes;
    const auto *adapter = rules.adapter(item);
    return adapter ? adapter->body.memoryBytes : 0;
}

auto ModelKeeper::Private::orderFor(const std::string &item, const std::string &base) const
    -> ModelOrder
{
    return {item, base, bytesOf(item), fence()};
}

auto ModelKeeper::Private::logFields(const std::string &item) const -> nlohmann::json
{
    const auto *rule = node.state().rules().model(item);
    return {{"server", settings.serverName},
            {"model", item},
            {"revision", node.state().revision()},
            {"rule", rule ? rule->source.text : ""},
            {"person", rule ? rule->source.person : ""}};
}

auto ModelKeeper::Private::wantItem(const std::string &item, const std::string &base,
                                    TimePoint deadline) -> void
{
    if (table.stateOf(item) == ModelState::Ready)
        return;
    const auto [found, isNew] = wanted.try_emplace(item);
    found->second.base = base;
    found->second.deadline = std::max(found->second.deadline, deadline);
    if (isNew)
        found->second.since = now();
}

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
    for (const auto &victim : table.victimsFor(bytes, now())) {
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

auto ModelKeeper::Private::unloadUnpermitted() -> void
{
    for (const auto &item : table.names()) {
        const auto *adapter = node.state().rules().adapter(item);
        if (!isPermitted(adapter ? adapter->body.model : item))
            unload(item);
    }
}

auto ModelKeeper::Private::releaseRevoked() -> void
{
    for (const auto &[model, item] : node.state().itemsUnder(permitPrefix)) {
        const auto permit = Placement::permitFromJson(item->value);
        const bool isMine = permit && permit->revoked.count(settings.serverName) > 0;
        if (isMine && table.stateOf(model) == ModelState::Absent && releasing.insert(model).second)
            release(model);
    }
}

auto ModelKeeper::Private::release(const std::string &model) -> void
{
    const auto edit = [this, model](const Control::ControlState &state)
        -> Utils::Result<Platform::ControlEdit, std::string> {
        Platform::ControlEdit result;
        const auto *item = state.item(Placement::permitItemKey(model));
        auto permit = item ? Placement::permitFromJson(item->value) : std::nullopt;
        if (permit && table.stateOf(model) == ModelState::Absent
            && permit->revoked.erase(settings.serverName) > 0)
            result.puts[Placement::permitItemKey(model)] = Placement::toJson(*permit);
        return result;
    };
    node.propose({node.settings().name, "unloaded " + model, edit},
                 [this, model](const auto &) { releasing.erase(model); });
}

auto ModelKeeper::Private::lookAtServer() -> void
{
    const auto ordersBefore = ordersSent;
    const bool isQuiet = ordersInFlight == 0;
    server.status([this, ordersBefore, isQuiet](const auto &status) {
        if (!status)
            return;
        if (!bootId.empty() && status->bootId != bootId)
            restart();
        bootId = status->bootId;
        if (isQuiet)
            takeStatus(*status, ordersBefore);
    });
}

auto ModelKeeper::Private::takeStatus(const ServerStatus &status, std::uint64_t ordersBefore)
    -> void
{
    // A list that an order has overtaken says nothing certain.
    if (ordersBefore != ordersSent || now() < mayReconcileAt)
        return;
    table.reconcile(status.models, now());
    isReconciled = true;
    if (!node.mayAct())
        return;
    unloadUnpermitted();
    releaseRevoked();
    for (const auto &item : table.idleTooLong(*keepWarm, now()))
        unload(item);
    pump();
    changed();
}

auto ModelKeeper::Private::restart() -> void
{
    // Its memory is empty; orders of before its restart died with it.
    table = Placement::ModelTable(settings.memoryBytes);
    changed();
}

ModelKeeper::ModelKeeper(Node::FleetNode &node, BackendServer &server, LoadSlots &slots,
                         const AgentSettings &settings, ChangedCallback changed,
                         FailedCallback failed)
    : d(std::make_unique<Private>(node, server, slots, settings))
{
    d->changed = std::move(changed);
    d->failed = std::move(failed);
    d->statusTimer = std::make_unique<Net::PeriodicTimer>(node.reactor(), Constants::StatusPeriod,
                                                          [this] { d->lookAtServer(); });
    d->retryTimer = std::make_unique<Net::PeriodicTimer>(node.reactor(), Constants::RetryPeriod,
                                                         [this] { d->pump(); });
    d->lookAtServer();
}

ModelKeeper::~ModelKeeper() = default;

auto ModelKeeper::whyNot(const ModelNeed &need) const -> std::optional<Refusal>
{
    const auto *model = d->node.state().rules().model(need.model);
    if (!model)
        return Refusal{RefusalReason::UnknownModel, Admission::Ran::No, {}, {}, {}, {}, {}};
    if (d->isPermitted(need.model))
        return std::nullopt;
    return Refusal{RefusalReason::NoBackendServer,
                   Admission::Ran::No,
                   Constants::RetryPeriod,
                   {},
                   model->source.text,
                   model->source.person,
                   {}};
}

auto ModelKeeper::isReady(const ModelNeed &need) const -> bool
{
    const bool hasModel = d->table.stateOf(need.model) == ModelState::Ready;
    return hasModel
        && (need.adapter.empty() || d->table.stateOf(need.adapter) == ModelState::Ready);
}

auto ModelKeeper::expectedDelay(const ModelNeed &need) const -> Utils::Duration
{
    return isReady(need) ? Utils::Duration::zero() : d->loadTime.mean();
}

auto ModelKeeper::want(const ModelNeed &need, TimePoint deadline) -> void
{
    d->wantItem(need.model, {}, deadline);
    if (!need.adapter.empty())
        d->wantItem(need.adapter, need.model, deadline);
    d->pump();
}

auto ModelKeeper::beginUse(const ModelNeed &need) -> void
{
    d->table.beginUse(need.model, d->now());
    if (!need.adapter.empty())
        d->table.beginUse(need.adapter, d->now());
}

auto ModelKeeper::endUse(const ModelNeed &need) -> void
{
    d->table.endUse(need.model, d->now());
    if (!need.adapter.empty())
        d->table.endUse(need.adapter, d->now());
}

auto ModelKeeper::noteRestart() -> void
{
    d->lookAtServer();
}

auto ModelKeeper::bootId() const -> const std::string &
{
    return d->bootId;
}

auto ModelKeeper::status() const -> nlohmann::json
{
    return {{"models", d->table.names()},
            {"memoryUsed", d->table.memory().usedBytes()},
            {"memoryCapacity", d->table.memory().capacityBytes()},
            {"reconciled", d->isReconciled}};
}

} // namespace Agent
