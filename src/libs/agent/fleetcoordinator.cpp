#include "fleetcoordinator.h"

#include "agentconstants.h"

#include <contracts/epoch.h>
#include <membership/acceptancepoller.h>
#include <membership/leaderlease.h>
#include <net/periodictimer.h>
#include <net/reactor.h>
#include <node/crashsuspectregistry.h>
#include <node/fleetnode.h>
#include <routing/routingconstants.h>
#include <storage/tableservice.h>
#include <utils/eventlog.h>
#include <utils/jsonfield.h>
#include <utils/wallclock.h>

namespace Agent {

using Control::ControlState;
using nlohmann::json;
using Storage::ControlEdit;

const std::string coordinatorItemKey = "duty/shared";
const std::string contractEpochItemKey = "contracts/epoch";

namespace {

const std::string coordinatorRowKey = "duty/shared";
const std::string backendPrefix = "backend/";
const std::string permitPrefix = "permit/";

auto readPermits(const ControlState &state) -> std::map<std::string, Placement::Permit>
{
    std::map<std::string, Placement::Permit> permits;
    for (const auto &[model, item] : state.itemsUnder(permitPrefix)) {
        if (const auto permit = Placement::permitFromJson(item->value))
            permits[model] = *permit;
    }
    return permits;
}

auto isLeaving(const ControlState &state, const std::string &server, const json &item,
               const Storage::InstanceStatuses &statuses) -> bool
{
    const auto status = statuses.find(Utils::fieldOr(item, "agent", ""));
    const bool listedLeaving =
        status != statuses.end() && status->second != Storage::InstanceStatus::Live;
    return Utils::fieldOr(item, "leaving", false) || state.rules().drain(server) || listedLeaving;
}

auto readServers(const ControlState &state, const Storage::InstanceStatuses &statuses)
    -> std::map<std::string, Placement::PlannedServer>
{
    std::map<std::string, Placement::PlannedServer> servers;
    for (const auto &[name, item] : state.itemsUnder(backendPrefix)) {
        const json &value = item->value;
        if (Utils::fieldOr(value, "kind", "") != "engine")
            continue;
        servers[name] = {name, Utils::fieldOr(value, "group", ""),
                         Utils::fieldOr(value, "failureDomain", ""),
                         Utils::fieldOr(value, "memoryBytes", std::uint64_t(0)),
                         isLeaving(state, name, value, statuses)};
    }
    return servers;
}

/// Permit holders whose server is no longer registered: their agent deregistered after unloading,
/// or they were removed because the platform reported that the instance is gone.
auto goneHolders(const std::map<std::string, Placement::Permit> &permits,
                 const std::map<std::string, Placement::PlannedServer> &servers)
    -> std::set<std::string>
{
    std::set<std::string> gone;
    for (const auto &[model, permit] : permits) {
        for (const auto &name : permit.granted)
            if (servers.count(name) == 0)
                gone.insert(name);
        for (const auto &name : permit.revoked)
            if (servers.count(name) == 0)
                gone.insert(name);
    }
    return gone;
}

auto addPermits(const ControlState &state, const Storage::InstanceStatuses &statuses,
                ControlEdit &edit) -> void
{
    Placement::PlannerInput input;
    input.rules = &state.rules();
    input.servers = readServers(state, statuses);
    input.permits = readPermits(state);
    input.goneServers = goneHolders(input.permits, input.servers);
    for (const auto &[model, permit] : Placement::planPermits(input)) {
        if (permit.holderCount() == 0 && !state.rules().model(model))
            edit.deletes.push_back(Placement::permitItemKey(model));
        else
            edit.puts[Placement::permitItemKey(model)] = Placement::toJson(permit);
    }
}

auto targetEpoch(const ControlState &state) -> Contracts::Epoch
{
    Contracts::Epoch epoch;
    for (const auto &[name, instance] : state.registry()) {
        if (instance.role == "entry")
            epoch.incarnations[name] = instance.incarnation;
    }
    for (const auto &[name, rule] : state.rules().customers())
        epoch.contracts[name] = {rule.body.rate, rule.body.burst};
    return epoch;
}

auto addEpoch(const ControlState &state, ControlEdit &edit) -> void
{
    const auto *item = state.item(contractEpochItemKey);
    const auto current = item ? Contracts::epochFromJson(item->value) : std::nullopt;
    Contracts::Epoch epoch = targetEpoch(state);
    if (current && current->incarnations == epoch.incarnations
        && current->contracts == epoch.contracts)
        return;
    epoch.number = current ? current->number + 1 : 1;
    edit.puts[contractEpochItemKey] = Contracts::toJson(epoch);
}

auto addRemovals(const ControlState &state, const Storage::InstanceStatuses &statuses,
                 ControlEdit &edit) -> void
{
    for (const auto &[name, instance] : state.registry()) {
        const auto status = statuses.find(name);
        if (status != statuses.end() && status->second == Storage::InstanceStatus::Gone)
            edit.deletes.push_back(Control::instanceItemKey(name));
    }
    for (const auto &[server, item] : state.itemsUnder(backendPrefix)) {
        const auto status = statuses.find(Utils::fieldOr(item->value, "agent", ""));
        if (status != statuses.end() && status->second == Storage::InstanceStatus::Gone)
            edit.deletes.push_back(backendPrefix + server);
    }
}

auto addExpiredStrikes(const ControlState &state, std::int64_t nowMs, ControlEdit &edit) -> void
{
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(
        Routing::Constants::CrashRecordLifetime);
    for (const auto &[fingerprint, item] : state.itemsUnder(Node::strikeItemPrefix)) {
        if (nowMs - Utils::fieldOr(item->value, "at", std::int64_t(0)) > lifetime.count())
            edit.deletes.push_back(Node::strikeItemPrefix + fingerprint);
    }
}

} // namespace

struct FleetCoordinator::Private
{
    Node::FleetNode &node;
    std::function<void(bool)> onLeaseChanged;
    Membership::LeaderLease lease;
    Storage::InstanceStatuses statuses;
    std::unique_ptr<Net::PeriodicTimer> timer;
    std::unique_ptr<Net::PeriodicTimer> instanceListTimer;
    bool wasHeld = false;
    bool isProposing = false;
    // Inputs of the latest planning run that required no change.
    Control::Revision plannedRevision = 0;
    Storage::InstanceStatuses plannedStatuses;
    Membership::AcceptancePoller watch;
    bool isWatching = false;

    Private(Node::FleetNode &fleetNode, std::function<void(bool)> changed)
        : node(fleetNode)
        , onLeaseChanged(std::move(changed))
        , lease(fleetNode.settings().name + "/" + fleetNode.incarnation())
        , watch(fleetNode.reactor(), fleetNode.state(),
                [&fleetNode](const auto &address) -> Links::LinkChannel & {
                    return fleetNode.channelTo(address);
                })
    { }

    auto step() -> void
    {
        const auto now = node.reactor().now();
        switch (lease.tick(now)) {
        case Membership::LeaseStep::Read:
            readRow();
            break;
        case Membership::LeaseStep::Write:
            writeRow();
            break;
        case Membership::LeaseStep::Nothing:
            break;
        }
        const bool isHeld = lease.isHeld(now) && node.mayAct();
        if (isHeld != wasHeld) {
            wasHeld = isHeld;
            Utils::logEvent(isHeld ? Utils::Event::DutyTaken : Utils::Event::DutyLost,
                            {{"duty", "shared"}});
            onLeaseChanged(isHeld);
        }
        if (!isHeld)
            return;
        plan();
        markAcceptedRegister();
    }

    /// Records that the latest register is accepted, after which earlier ones no longer count for
    /// majorities.
    auto markAcceptedRegister() -> void
    {
        const auto &versions = node.state().registerVersions();
        if (isWatching || versions.size() < 2)
            return;
        isWatching = true;
        const auto revision = node.state().revision();
        watch.start(
            revision, Constants::RegisterAcceptanceTimeout, [this, revision](const auto &report) {
                isWatching = false;
                if (!report.isAccepted)
                    return;
                const auto mark =
                    [revision](
                        const ControlState &state) -> Utils::Result<ControlEdit, std::string> {
                    ControlEdit result;
                    const auto *known = state.item(Control::acceptedRegisterItemKey);
                    if (!known
                        || Utils::fieldOr(known->value, "revision", Control::Revision(0))
                            < revision)
                        result.puts[Control::acceptedRegisterItemKey] = {{"revision", revision}};
                    return result;
                };
                node.propose({node.settings().name, "register accepted", mark},
                             [](const auto &) {});
            });
    }

    auto readRow() -> void
    {
        node.table().read(coordinatorRowKey, [this](const auto &row) {
            if (!row)
                return lease.handleFailure();
            const json value = row->value.is_object() ? row->value : json::object();
            const auto tenure = Utils::fieldOr(value, "tenure", std::uint64_t(0));
            lease.handleRow({Utils::fieldOr(value, "holder", ""),
                             {{}, row->version},
                             {},
                             Utils::StoreVersion{{}, tenure > 0 ? tenure : row->version}},
                            node.reactor().now());
        });
    }

    auto writeRow() -> void
    {
        const auto sentAt = node.reactor().now();
        const auto expected = lease.expectedVersion().number;
        Storage::TableTransaction transaction;
        transaction.conditions.push_back({coordinatorRowKey, expected});
        transaction.writes.push_back(
            {coordinatorRowKey,
             json{{"holder", node.settings().name + "/" + node.incarnation()},
                  {"tenure", lease.claimedTenure().value_or(Utils::StoreVersion()).number}}});
        node.table().commit(transaction, [this, expected, sentAt](const auto &result) {
            if (result)
                lease.handleWritten({{}, expected + 1}, {}, sentAt, node.reactor().now());
            else
                lease.handleFailure();
        });
    }

    auto readInstanceList() -> void
    {
        if (!wasHeld)
            return;
        node.instanceList().read([this](const auto &list) {
            if (list)
                statuses = *list;
        });
    }

    auto edit(const ControlState &state) const -> Utils::Result<ControlEdit, std::string>
    {
        ControlEdit result;
        addRemovals(state, statuses, result);
        addPermits(state, statuses, result);
        addEpoch(state, result);
        addExpiredStrikes(state, Utils::wallClock().count(), result);
        const json self = {{"holder", node.settings().name}};
        const auto *coordinator = state.item(coordinatorItemKey);
        if (!coordinator || coordinator->value != self)
            result.puts[coordinatorItemKey] = self;
        return result;
    }

    auto plan() -> void
    {
        const bool isUpToDate =
            plannedRevision == node.state().revision() && plannedStatuses == statuses;
        if (isProposing || isUpToDate)
            return;
        if (edit(node.state())->isEmpty()) {
            plannedRevision = node.state().revision();
            plannedStatuses = statuses;
            return;
        }
        isProposing = true;
        const auto fencedEdit =
            [this](const ControlState &state) -> Utils::Result<ControlEdit, std::string> {
            // Checked for each commit attempt: a holder that was paused past its lease must not
            // commit, and the lease row's version changes with each of its own renewals.
            if (!lease.isHeld(node.reactor().now()))
                return tl::unexpected(std::string("the coordinator lease is lost"));
            return edit(state);
        };
        node.propose({node.settings().name, "plan", fencedEdit}, [this](const auto &result) {
            isProposing = false;
            if (!result)
                return;
            logPermits(*result);
        });
    }

    auto logPermits(Control::Revision revision) const -> void
    {
        for (const auto &[model, item] : node.state().itemsUnder(permitPrefix)) {
            if (item->revision != revision)
                continue;
            const auto *rule = node.state().rules().model(model);
            Utils::logEvent(Utils::Event::PermitChanged,
                            {{"revision", revision},
                             {"model", model},
                             {"permit", item->value},
                             {"rule", rule ? rule->source.text : ""},
                             {"person", rule ? rule->source.person : ""}});
        }
    }
};

FleetCoordinator::FleetCoordinator(Node::FleetNode &node, std::function<void(bool)> onLeaseChanged)
    : d(std::make_unique<Private>(node, std::move(onLeaseChanged)))
{
    d->timer = std::make_unique<Net::PeriodicTimer>(node.reactor(), Constants::CoordinationInterval,
                                                    [this] { d->step(); });
    d->instanceListTimer = std::make_unique<Net::PeriodicTimer>(
        node.reactor(), Constants::InstanceListInterval, [this] { d->readInstanceList(); });
}

FleetCoordinator::~FleetCoordinator() = default;

} // namespace Agent
