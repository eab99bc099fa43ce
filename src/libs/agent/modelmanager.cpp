#include "modelmanager_p.h"

namespace Agent {

/// The revision of this agent's registration, which is greater for every later agent.
auto ModelManager::Private::fence() const -> std::uint64_t
{
    const auto *item = node.state().item(Control::instanceItemKey(node.settings().name));
    return item ? item->revision : 0;
}

auto ModelManager::Private::permitOf(const std::string &model) const -> Placement::Permit
{
    const auto *item = node.state().item(Placement::permitItemKey(model));
    const auto permit = item ? Placement::permitFromJson(item->value) : std::nullopt;
    return permit.value_or(Placement::Permit());
}

auto ModelManager::Private::isPermitted(const std::string &model) const -> bool
{
    return permitOf(model).granted.count(settings.serverName) > 0;
}

auto ModelManager::Private::bytesOf(const std::string &item) const -> std::uint64_t
{
    const auto &rules = node.state().rules();
    if (const auto *model = rules.model(item))
        return model->body.memoryBytes;
    const auto *adapter = rules.adapter(item);
    return adapter ? adapter->body.memoryBytes : 0;
}

auto ModelManager::Private::orderFor(const std::string &item, const std::string &base) const
    -> ModelOrder
{
    return {item, base, bytesOf(item), fence()};
}

auto ModelManager::Private::logFields(const std::string &item) const -> nlohmann::json
{
    const auto *rule = node.state().rules().model(item);
    return {{"server", settings.serverName},
            {"model", item},
            {"revision", node.state().revision()},
            {"rule", rule ? rule->source.text : ""},
            {"person", rule ? rule->source.person : ""}};
}

auto ModelManager::Private::addPendingLoad(const std::string &item, const std::string &base,
                                           TimePoint deadline) -> void
{
    if (table.stateOf(item) == ModelState::Ready)
        return;
    const auto [found, isNew] = pendingLoads.try_emplace(item);
    found->second.base = base;
    found->second.deadline = std::max(found->second.deadline, deadline);
    if (isNew)
        found->second.since = now();
}

auto ModelManager::Private::unloadUnpermitted() -> void
{
    for (const auto &item : table.names()) {
        const auto *adapter = node.state().rules().adapter(item);
        if (!isPermitted(adapter ? adapter->body.model : item))
            unload(item);
    }
}

auto ModelManager::Private::releaseRevoked() -> void
{
    for (const auto &[model, item] : node.state().itemsUnder(permitPrefix)) {
        const auto permit = Placement::permitFromJson(item->value);
        const bool isMine = permit && permit->revoked.count(settings.serverName) > 0;
        if (isMine && table.stateOf(model) == ModelState::Absent && releasing.insert(model).second)
            release(model);
    }
}

auto ModelManager::Private::release(const std::string &model) -> void
{
    const auto edit = [this, model](const Control::ControlState &state)
        -> Utils::Result<Storage::ControlEdit, std::string> {
        Storage::ControlEdit result;
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

auto ModelManager::Private::pollServer() -> void
{
    const auto ordersBefore = ordersSent;
    const bool noOrderInFlight = ordersInFlight == 0;
    server.status([this, ordersBefore, noOrderInFlight](const auto &status) {
        if (!status)
            return;
        if (!bootId.empty() && status->bootId != bootId)
            restart();
        bootId = status->bootId;
        if (noOrderInFlight)
            applyStatus(*status, ordersBefore);
    });
}

auto ModelManager::Private::applyStatus(const ServerStatus &status, std::uint64_t ordersBefore)
    -> void
{
    // The reported list may be out of date if an order was sent while it was requested.
    if (ordersBefore != ordersSent || now() < earliestReconcileAt)
        return;
    table.reconcile(status.models, now());
    isReconciled = true;
    if (!node.mayAct())
        return;
    unloadUnpermitted();
    releaseRevoked();
    for (const auto &item : table.idleTooLong(*keepWarm, now()))
        unload(item);
    startPendingLoads();
    changed();
}

auto ModelManager::Private::restart() -> void
{
    // After a restart the server's memory is empty, and earlier orders no longer take effect.
    table = Placement::ModelTable(settings.memoryBytes);
    changed();
}

ModelManager::ModelManager(Node::FleetNode &node, BackendServer &server, LoadSlots &slots,
                           const AgentSettings &settings, ChangedCallback changed,
                           FailedCallback failed)
    : d(std::make_unique<Private>(node, server, slots, settings))
{
    d->changed = std::move(changed);
    d->failed = std::move(failed);
    d->statusTimer = std::make_unique<Net::PeriodicTimer>(
        node.reactor(), Constants::StatusPollInterval, [this] { d->pollServer(); });
    d->retryTimer = std::make_unique<Net::PeriodicTimer>(node.reactor(), Constants::RetryInterval,
                                                         [this] { d->startPendingLoads(); });
    d->pollServer();
}

ModelManager::~ModelManager() = default;

auto ModelManager::refusalFor(const ModelRequirement &requirement) const -> std::optional<Refusal>
{
    const auto *model = d->node.state().rules().model(requirement.model);
    if (!model)
        return Refusal{RefusalReason::UnknownModel, Admission::Ran::No, {}, {}, {}, {}, {}};
    if (d->isPermitted(requirement.model))
        return std::nullopt;
    return Refusal{RefusalReason::NoBackendServer,
                   Admission::Ran::No,
                   Constants::RetryInterval,
                   {},
                   model->source.text,
                   model->source.person,
                   {}};
}

auto ModelManager::isReady(const ModelRequirement &requirement) const -> bool
{
    const bool hasModel = d->table.stateOf(requirement.model) == ModelState::Ready;
    return hasModel
        && (requirement.adapter.empty()
            || d->table.stateOf(requirement.adapter) == ModelState::Ready);
}

auto ModelManager::expectedDelay(const ModelRequirement &requirement) const -> Utils::Duration
{
    return isReady(requirement) ? Utils::Duration::zero() : d->loadTime.mean();
}

auto ModelManager::requestLoad(const ModelRequirement &requirement, TimePoint deadline) -> void
{
    d->addPendingLoad(requirement.model, {}, deadline);
    if (!requirement.adapter.empty())
        d->addPendingLoad(requirement.adapter, requirement.model, deadline);
    d->startPendingLoads();
}

auto ModelManager::beginUse(const ModelRequirement &requirement) -> void
{
    d->table.beginUse(requirement.model, d->now());
    if (!requirement.adapter.empty())
        d->table.beginUse(requirement.adapter, d->now());
}

auto ModelManager::endUse(const ModelRequirement &requirement) -> void
{
    d->table.endUse(requirement.model, d->now());
    if (!requirement.adapter.empty())
        d->table.endUse(requirement.adapter, d->now());
}

auto ModelManager::handleServerRestart() -> void
{
    d->pollServer();
}

auto ModelManager::bootId() const -> const std::string &
{
    return d->bootId;
}

auto ModelManager::status() const -> nlohmann::json
{
    return {{"models", d->table.names()},
            {"memoryUsed", d->table.memory().usedBytes()},
            {"memoryCapacity", d->table.memory().capacityBytes()},
            {"reconciled", d->isReconciled}};
}

} // namespace Agent
