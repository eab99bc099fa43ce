#include "placementcoordinator.h"

#include "backendregistry.h"
#include "demandaggregator.h"
#include "engineplacement.h"
#include "gatewayconstants.h"
#include "gatewaycontext.h"
#include "gatewayroster.h"
#include "peerlink.h"
#include "placementlease.h"
#include "requestqueue.h"
#include "rowstore.h"

#include <net/reactor.h>
#include <utils/eventlog.h>
#include <utils/jsonfield.h>

#include <algorithm>
#include <utility>

namespace Gateway {

using nlohmann::json;
using std::chrono::milliseconds;
using Utils::TimePoint;

namespace {

/// The gateways' table: the placement lease, and a row for each gateway that has started.
const char *const stateTable = "acaciahall";
const char *const gatewayKeyPrefix = "gateway/";

/// Interval between two rounds; finished orders trigger planning in between.
constexpr milliseconds TickInterval(50);
/// Interval between reports of a gateway to the lease holder, and of the holder to all gateways.
constexpr milliseconds ReportInterval(250);
/// Delay of an urgent update; requests within this time are merged into one.
constexpr milliseconds UrgentUpdateDelay(4);
/// Planning uses at most one part in this many of the processor; a slow machine plans less often.
constexpr int PlanningTimeDivisor = 8;
/// Minimum time between two planning runs, so that reports that arrive together cause only one.
constexpr milliseconds MinPlanningInterval(8);
/// A machine with a whole core tries to get the lease at once, a weaker one after up to this delay,
/// so that a fast machine gets it.
constexpr milliseconds MaxLeaseDelay(700);
/// A holder without messages for this long may be gone; other gateways then check the lease.
constexpr milliseconds HolderTimeout(1200);
/// Time in which gateways that start together have written their rows.
constexpr milliseconds RosterRepeatDelay(300);
/// Interval between renewals of the lease; two may fail before the holder stops sending orders.
constexpr milliseconds RenewInterval(500);
/// A holder that could not renew the lease for this long sends no more orders.
constexpr milliseconds HoldTimeout(1200);
/// Added to the platform's minimum time between two holders' orders, for clock drift and network
/// delay.
constexpr milliseconds LeaseMargin(500);

/// Message of a former holder while no lease can be acquired: confirms the quota shares of gateways
/// that still reach each other.
const char *const QuotaSharesConfirmedKind = "parts-confirmed";

auto nameOf(Membership::TenureOrigin origin) -> const char *
{
    switch (origin) {
    case Membership::TenureOrigin::NewTenure:
        break;
    case Membership::TenureOrigin::LeaseOfEarlierEra:
        return "continued-from-earlier-era";
    case Membership::TenureOrigin::OwnRow:
        return "continued-from-own-row";
    }
    return "new";
}

} // namespace

struct PlacementCoordinator::Private : std::enable_shared_from_this<PlacementCoordinator::Private>
{
    Private(GatewayContext &c, RowStore &s, PeerLink &l, const Identity &identity,
            const PlacementLimits &placementLimits)
        : context(c)
        , store(s)
        , link(l)
        , own(identity)
        , limits(placementLimits)
    { }

    GatewayContext &context;
    RowStore &store;
    PeerLink &link;
    Identity own;
    PlacementLimits limits;
    std::shared_ptr<PlacementLease> lease;
    CoordinationEvents coordinationEvents;
    std::uint64_t outages = 0;
    TimePoint startedAt;
    milliseconds leaseDelay{0};
    bool stopped = false;
    bool isHolder = false;
    bool wasLastHolder = false; ///< No other holder has been seen since.
    std::optional<Http1::SocketAddress> holder;
    TimePoint holderLastSeenAt;
    GatewayRoster roster;
    std::map<std::string, Utils::StoreVersion> rowVersions; ///< Of the gateways' rows, by name.
    std::set<std::string> registering; ///< Gateways whose rows are being written.
    bool isRosterRead = false; ///< Since the lease was acquired.
    bool isRosterRepeated = false; ///< The rows are read again until a holder is known.
    std::optional<Utils::StoreEra> knownEra; ///< The newest one, whichever answer named it first.
    /// The store may lack gateways' rows until they have reported again.
    TimePoint rosterIsCompleteAt;
    int announcedGateways = 0; ///< By the lease holder.
    std::vector<Http1::SocketAddress> announcedPeers;
    DemandAggregator aggregator;
    /// Exists from the acquisition of the lease until another gateway holds it.
    std::unique_ptr<EnginePlacement> placement;
    TimePoint nextReport;
    TimePoint nextPlanning;
    bool isPlanningScheduled = false;
    bool isUpdateScheduled = false;

    auto now() const -> TimePoint { return context.reactor.now(); }

    auto createLease() -> void
    {
        PlacementLease::Events events;
        events.onAnswer = [this](Utils::StoreEra era) { noteEra(era); };
        events.onOtherHolder = [this](const Http1::SocketAddress &address) {
            holder = address;
            resetHolderState();
        };
        events.onStoreRecovered = [this] {
            ++outages;
            coordinationEvents.onStoreRecovered();
        };
        events.onWriteFinished = [this] { tick(); };
        const auto takeoverTimeout = HoldTimeout + limits.leaseTime + LeaseMargin;
        const Membership::LeaseTiming timing = {RenewInterval, HoldTimeout, takeoverTimeout,
                                                limits.isFirstStart ? milliseconds(0)
                                                                    : takeoverTimeout};
        lease = std::make_shared<PlacementLease>(store, stateTable, own.name, own.address, timing,
                                                 std::move(events));
    }

    /// Discards the state of the engines, which is outdated once another gateway holds or held the
    /// lease.
    auto resetHolderState() -> void
    {
        wasLastHolder = false;
        if (!isHolder)
            placement.reset();
    }

    /// Reads the rows of all gateways and the lease.
    auto readRows() -> void
    {
        store.list(stateTable, {}, nullptr, [self = shared_from_this()](const auto &answer) {
            if (self->stopped)
                return;
            if (!answer) {
                self->context.reactor.callAfter(HolderTimeout, [self] {
                    if (!self->stopped)
                        self->readRows();
                });
                return;
            }
            self->noteEra(answer->version.era);
            self->handleRows(*answer);
        });
    }

    auto handleRows(const RowSet &answer) -> void
    {
        std::set<std::string> names = {own.name};
        // Rows that a copy of the store lacks say nothing about their gateways.
        if (now() < rosterIsCompleteAt)
            names.merge(roster.names());
        rowVersions.clear();
        bool hasLease = false;
        for (const Row &row : answer.rows) {
            if (row.key == PlacementLease::Key && !isHolder)
                lease->handleRow(row);
            hasLease = hasLease || row.key == PlacementLease::Key;
            if (row.key.starts_with(gatewayKeyPrefix)) {
                const std::string name = row.key.substr(std::string(gatewayKeyPrefix).size());
                names.insert(name);
                rowVersions[name] = row.version;
            }
        }
        if (!hasLease)
            lease->handleMissingRow(answer.version.era);
        roster.reset(names, now());
        isRosterRead = true;
        if (rowVersions.count(own.name) == 0) {
            registerGateway(own.name, own.address);
            if (!std::exchange(isRosterRepeated, true))
                readRowsAgainWithoutHolder(RosterRepeatDelay);
        }
        announceGateways();
        tick();
    }

    /// The other gateways may be missing from the table as well, and are about to write their rows.
    /// Until a holder announces their number, it has to be counted.
    auto readRowsAgainWithoutHolder(milliseconds delay) -> void
    {
        context.reactor.callAfter(delay, [self = shared_from_this()] {
            const bool isCounted = self->isHolder || self->announcedGateways > 0;
            self->isRosterRepeated = !self->stopped && !isCounted;
            if (!self->isRosterRepeated)
                return;
            self->readRows();
            self->readRowsAgainWithoutHolder(HolderTimeout);
        });
    }

    auto registerGateway(const std::string &name, const Http1::SocketAddress &address) -> void
    {
        if (!registering.insert(name).second)
            return;
        store.write(stateTable, gatewayKeyPrefix + name, {}, address.toString(),
                    [self = shared_from_this(), name](const auto &answer) {
                        self->registering.erase(name);
                        if (answer)
                            self->rowVersions[name] = *answer;
                        else if (answer.error() == StoreError::Unavailable
                                 && name == self->own.name)
                            self->registerAgainLater();
                    });
    }

    auto registerAgainLater() -> void
    {
        context.reactor.callAfter(HolderTimeout, [self = shared_from_this()] {
            if (!self->stopped)
                self->registerGateway(self->own.name, self->own.address);
        });
    }

    auto announceGateways() -> void
    {
        coordinationEvents.onGatewayCount(std::max(gatewayCount(), 1));
    }

    /// Number of gateways that share the quotas. Until a new holder has read the table, it uses the
    /// number announced by the previous holder if that is larger.
    auto gatewayCount() const -> int
    {
        const bool isRosterComplete = isRosterRead && now() >= rosterIsCompleteAt;
        if (isHolder)
            return isRosterComplete ? roster.count() : std::max(roster.count(), announcedGateways);
        return announcedGateways > 0 ? announcedGateways : roster.count();
    }

    auto tick() -> void
    {
        if (stopped)
            return;
        const bool held = lease->isHeld();
        if (held != isHolder)
            handleLeaseChange(held);
        const bool mayAcquire =
            now() - startedAt >= leaseDelay && now() - holderLastSeenAt > HolderTimeout;
        if (held || mayAcquire)
            lease->tick();
        if (isHolder)
            runPlanning();
        if (now() >= nextReport)
            sendReport();
    }

    auto schedule() -> void
    {
        context.reactor.callAfter(TickInterval, [self = shared_from_this()] {
            if (self->stopped)
                return;
            self->tick();
            self->schedule();
        });
    }

    /// The store has answered in that era. The first one is no news.
    auto noteEra(Utils::StoreEra era) -> void
    {
        if (knownEra)
            return handleStoreEra(era);
        knownEra = era;
    }

    /// A holder whose lease is still valid renews it and keeps what it knows of the engines;
    /// another holder's rows may be lost.
    auto handleStoreEra(Utils::StoreEra era) -> void
    {
        if (stopped || (knownEra && era <= *knownEra))
            return;
        knownEra = era;
        if (!lease->isHeld())
            resetHolderState();
        rosterIsCompleteAt = now() + Constants::GatewaySilenceTimeout;
        // A gateway that starts now counts the rows to find its part of the quotas.
        rowVersions.clear();
        registerGateway(own.name, own.address);
        lease->handleEra(era);
        tick();
    }

    auto handlePeerStoreView(const StoreView &seen) -> void
    {
        coordinationEvents.onPeerKnowledge(seen);
        if (seen.outages > outages) {
            outages = seen.outages;
            coordinationEvents.onStoreRecovered();
        }
    }

    auto ownStoreView() const -> StoreView
    {
        StoreView known = coordinationEvents.localKnowledge();
        known.outages = outages;
        return known;
    }

    auto handleLeaseChange(bool held) -> void
    {
        isHolder = held;
        json fields = {{"duty", "placement"},
                       {"fence", lease->fence()},
                       {"era", lease->version().era},
                       {"rowVersion", lease->version().number}};
        if (held)
            fields["tenure"] = nameOf(lease->tenureOrigin());
        Utils::logEvent(held ? Utils::Event::DutyTaken : Utils::Event::DutyLost, fields);
        if (placement)
            placement->checkOrdersUnderWay();
        // Keep the record of orders until another gateway acquires the lease.
        if (!held)
            return;
        holder.reset();
        isRosterRead = false;
        readRows();
        if (wasLastHolder && placement)
            return;
        wasLastHolder = true;
        EnginePlacement::Events events;
        events.authority = [this] { return authority(); };
        events.onEngineChanged = [this](const std::string &id, const EngineReport &state) {
            engineChanged(id, state);
        };
        placement =
            std::make_unique<EnginePlacement>(context, limits.loadWindow, std::move(events));
    }

    auto authority() const -> std::optional<OrderAuthority>
    {
        const auto validFor = lease->validFor();
        if (validFor <= milliseconds(0))
            return {};
        return OrderAuthority{own.name, lease->fence(), validFor};
    }

    /// Plans now, or as soon as the limit on processor time allows it.
    auto runPlanning() -> void
    {
        const TimePoint at = now();
        if (at < nextPlanning) {
            if (!isPlanningScheduled) {
                isPlanningScheduled = true;
                context.reactor.callAfter(nextPlanning - at, [self = shared_from_this()] {
                    self->isPlanningScheduled = false;
                    if (!self->stopped && self->isHolder)
                        self->runPlanning();
                });
            }
            return;
        }
        placement->run(aggregator.total(context.demand.demand(now()), now()),
                       context.demand.versions().total(now()));
        const auto took = now() - at;
        nextPlanning =
            now() + std::max<Utils::Duration>(took * PlanningTimeDivisor, MinPlanningInterval);
    }

    auto engineChanged(const std::string &id, const EngineReport &state) -> void
    {
        context.requestQueue.wake();
        const json message = EngineMessage{id, state}.toJson();
        for (const auto &address : aggregator.gateways())
            link.send(address, message);
        // The engine may accept its next order.
        context.reactor.callAfter(milliseconds(0), [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && !self->stopped && self->isHolder)
                self->runPlanning();
        });
    }

    /// Sends the periodic report: to all gateways as the holder, otherwise to the holder.
    auto sendReport() -> void
    {
        isUpdateScheduled = false;
        nextReport = now() + ReportInterval;
        if (isHolder)
            return reportAsHolder();
        if (holder)
            return link.send(*holder,
                             DemandMessage{own.name, ownStoreView(),
                                           DemandAggregator::toJson(context.demand.demand(now())),
                                           context.demand.versions().toJson()}
                                 .toJson());
        if (wasLastHolder)
            reportWithoutLease();
    }

    auto reportAsHolder() -> void
    {
        aggregator.removeExpired(now());
        dropSilentGateways();
        coordinationEvents.onQuotaSharesConfirmed();
        HolderMessage message;
        message.name = own.name;
        message.lease = lease->version();
        message.gateways = gatewayCount();
        message.seen = ownStoreView();
        message.members = aggregator.gateways();
        message.forecast = placement->expectedModels(now());
        context.forecast.receive(*message.forecast, milliseconds(0), now());
        for (const auto &address : message.members) {
            message.isReceiverAlive = aggregator.hasRecentReport(address, now());
            link.send(address, message.toJson());
        }
    }

    /// While the store is unavailable, no gateway holds the lease and none can be removed, so
    /// gateways that reach each other keep their shares of the quotas.
    auto reportWithoutLease() -> void
    {
        bool isAnyReachable = false;
        for (const auto &address : aggregator.gateways()) {
            if (!aggregator.hasRecentReport(address, now()))
                continue;
            isAnyReachable = true;
            link.send(address, {{"kind", QuotaSharesConfirmedKind}});
        }
        if (isAnyReachable)
            coordinationEvents.onQuotaSharesConfirmed();
    }

    auto dropSilentGateways() -> void
    {
        roster.noteSeen(own.name, now());
        const auto silent = roster.removeSilent(now());
        if (silent.empty())
            return;
        for (const std::string &name : silent) {
            Utils::logEvent(Utils::Event::GatewayGivenUp,
                            {{"gateway", name}, {"gateways", roster.count()}});
            const auto row = rowVersions.find(name);
            if (row == rowVersions.end())
                continue;
            // If the row stays, the next holder counts this gateway until it is removed again.
            store.remove(stateTable, gatewayKeyPrefix + name, row->second, [](const auto &) {});
            rowVersions.erase(row);
        }
        announceGateways();
    }

    auto handleMessage(const json &message, const Http1::SocketAddress &sender) -> void
    {
        // Datagrams arrive until the process exits.
        if (stopped)
            return;
        const std::string kind = Utils::fieldOr(message, "kind", std::string());
        if (kind == DemandMessage::Kind)
            handleDemand(DemandMessage::fromJson(message), sender);
        else if (kind == HolderMessage::Kind && !isHolder)
            handleHolder(HolderMessage::fromJson(message), sender);
        else if (kind == EngineMessage::Kind && !isHolder)
            handleEngine(EngineMessage::fromJson(message));
        else if (kind == QuotaSharesConfirmedKind && !isHolder)
            coordinationEvents.onQuotaSharesConfirmed();
    }

    auto handleDemand(const DemandMessage &message, const Http1::SocketAddress &sender) -> void
    {
        if (!isHolder && !wasLastHolder)
            return;
        const bool isNew = aggregator.update(sender, message.demand, now());
        context.demand.versions().update(sender.toString(), message.versions, now());
        handlePeerStoreView(message.seen);
        if (!isHolder)
            return;
        if (roster.noteSeen(message.name, now()))
            announceGateways();
        if (isRosterRead && rowVersions.count(message.name) == 0)
            registerGateway(message.name, sender);
        if (isNew) {
            placement->visit([&](const std::string &id, const EngineReport &state) {
                link.send(sender, EngineMessage{id, state}.toJson());
            });
            nextReport = now();
        }
        runPlanning();
    }

    auto handleHolder(const HolderMessage &message, const Http1::SocketAddress &sender) -> void
    {
        // An outage of the store between two holders may have gone unnoticed.
        if (!holder || !(*holder == sender))
            coordinationEvents.onStoreRecovered();
        holder = sender;
        resetHolderState();
        holderLastSeenAt = now();
        handlePeerStoreView(message.seen);
        context.forecast.clear();
        if (message.forecast)
            context.forecast.receive(*message.forecast, milliseconds(0), now());
        lease->handleHolderReport(message.name, message.lease);
        announcedGateways = message.gateways;
        announcedPeers = {sender};
        for (const auto &address : message.members) {
            if (address != own.address)
                announcedPeers.push_back(address);
        }
        announceGateways();
        if (message.isReceiverAlive)
            coordinationEvents.onQuotaSharesConfirmed();
    }

    auto handleEngine(const EngineMessage &message) -> void
    {
        const BackendServer *server = context.board.find(message.id);
        const auto started = message.report.startedAtMs;
        if (server && started && server->startedAtMs > 0 && *started != server->startedAtMs) {
            // The list is behind: the version of the newer start is unknown.
            if (*started > server->startedAtMs && context.onConnectionLost)
                context.onConnectionLost(message.id, server->startedAtMs);
            return;
        }
        context.board.applyReport(message.id, message.report);
        context.requestQueue.wake();
    }
};

PlacementCoordinator::PlacementCoordinator(GatewayContext &context, RowStore &store, PeerLink &link,
                                           const Identity &own, const PlacementLimits &limits)
    : d(std::make_shared<Private>(context, store, link, own, limits))
{ }

PlacementCoordinator::~PlacementCoordinator()
{
    stop();
}

auto PlacementCoordinator::start() -> void
{
    d->createLease();
    d->startedAt = d->now();
    d->leaseDelay = std::chrono::duration_cast<milliseconds>(
        MaxLeaseDelay * (1 - std::clamp(d->limits.processorShare, 0.0, 1.0)));
    d->readRows();
    d->schedule();
}

auto PlacementCoordinator::stop() -> void
{
    d->stopped = true;
    d->isHolder = false;
    if (d->lease)
        d->lease->stop();
    d->placement.reset();
}

auto PlacementCoordinator::handleMessage(const nlohmann::json &message,
                                         const Http1::SocketAddress &sender) -> void
{
    try {
        d->handleMessage(message, sender);
    } catch (const nlohmann::json::exception &fault) {
        Utils::logEvent(
            Utils::Event::EntryRejected,
            {{"what", "datagram"}, {"sender", sender.toString()}, {"reason", fault.what()}});
    }
}

auto PlacementCoordinator::requestUpdate() -> void
{
    if (d->isUpdateScheduled)
        return;
    d->isUpdateScheduled = true;
    d->context.reactor.callAfter(UrgentUpdateDelay, [self = d] {
        if (self->stopped || !self->isUpdateScheduled)
            return;
        self->isUpdateScheduled = false;
        if (self->isHolder)
            self->runPlanning();
        else
            self->sendReport();
    });
}

auto PlacementCoordinator::handleStoreEra(Utils::StoreEra era) -> void
{
    d->handleStoreEra(era);
}

auto PlacementCoordinator::setCoordinationEvents(CoordinationEvents events) -> void
{
    d->coordinationEvents = std::move(events);
}

auto PlacementCoordinator::peers() const -> std::vector<Http1::SocketAddress>
{
    if (!d->isHolder)
        return d->announcedPeers;
    return d->aggregator.gateways();
}

auto PlacementCoordinator::knownPeers() const -> std::optional<std::vector<Http1::SocketAddress>>
{
    if (!d->isHolder && d->announcedPeers.empty())
        return {};
    return peers();
}

auto PlacementCoordinator::isHolder() const -> bool
{
    return d->isHolder;
}

} // namespace Gateway
