#include "placementduty.h"

#include "backendboard.h"
#include "demandbook.h"
#include "engineplacement.h"
#include "gatewaycontext.h"
#include "gatewayroster.h"
#include "leasekeeper.h"
#include "peerlink.h"
#include "requestqueue.h"
#include "rowstore.h"

#include <net/reactor.h>
#include <utils/eventlog.h>
#include <utils/jsonfield.h>

#include <algorithm>

namespace Gateway {

using nlohmann::json;
using std::chrono::milliseconds;
using Utils::TimePoint;

namespace {

/// The gateways' own table: the lease of the duty, and a row for each gateway that ever started.
const char *const stateTable = "acaciahall";
const char *const gatewayKeyPrefix = "gateway/";

/// Pause between two rounds of the duty; orders' ends are looked at in between.
constexpr milliseconds TickPause(50);
/// Pause between two reports of a gateway to the holder, and of the holder to all.
constexpr milliseconds ReportPause(250);
/// Least pause between reports that can't wait.
constexpr milliseconds HurryPause(4);
/// Part of the processor that planning may take at most; on a slow machine it is done less often.
constexpr int PlanningDivisor = 8;
/// Least time between two plans, so that reports that come together lead to one.
constexpr milliseconds LeastPlanningPause(8);
/// A machine of a whole core asks for the lease at once, a weaker one after this part of a second,
/// so that the duty falls to a strong one.
constexpr milliseconds WeakestDelay(700);
/// A holder that was not heard for this long may be gone; others then look at the lease.
constexpr milliseconds HolderSilence(1200);
/// Pause between two renewals of the lease; two may fail before orders stop.
constexpr milliseconds RenewPeriod(500);
/// A holder that could not renew for this long gives no more orders.
constexpr milliseconds HoldLimit(1200);
/// Added to the platform's least time between two holders' orders, for clocks and the way.
constexpr milliseconds LeaseMargin(500);

/// Message of a former holder: no holder can be chosen, and the gateways hear each other.
const char *const PartsConfirmedKind = "parts-confirmed";

} // namespace

struct PlacementDuty::Private : std::enable_shared_from_this<PlacementDuty::Private>
{
    Private(GatewayContext &c, RowStore &s, PeerLink &l, const Identity &identity,
            const PlacementLimits &bounds)
        : context(c)
        , store(s)
        , link(l)
        , own(identity)
        , limits(bounds)
    { }

    GatewayContext &context;
    RowStore &store;
    PeerLink &link;
    Identity own;
    PlacementLimits limits;
    std::shared_ptr<LeaseKeeper> lease;
    KnowledgeEvents knowledge;
    std::uint64_t outages = 0;
    TimePoint startedAt;
    milliseconds leaseDelay{0};
    bool stopped = false;
    bool onDuty = false;
    bool wasLastOnDuty = false; ///< No other holder is known since.
    std::optional<Http1::SocketAddress> holder;
    TimePoint holderHeardAt;
    GatewayRoster roster;
    std::map<std::string, std::uint64_t> rowVersions; ///< Of gateways' rows, by name.
    bool isRosterRead = false; ///< Since the duty was taken.
    int announcedGateways = 0; ///< By the holder.
    std::vector<Http1::SocketAddress> announcedPeers;
    DemandBook members;
    /// From when the duty is taken until another gateway has it.
    std::unique_ptr<EnginePlacement> placement;
    TimePoint nextReport;
    TimePoint nextWork;
    bool workPending = false;
    bool hurried = false;

    auto now() const -> TimePoint { return context.reactor.now(); }

    auto open() -> void
    {
        LeaseKeeper::Events events;
        events.onOtherHolder = [this](const Http1::SocketAddress &address) {
            holder = address;
            yieldDuty();
        };
        events.onStoreBack = [this] {
            ++outages;
            knowledge.onStoreBack();
        };
        events.onStep = [this] { tick(); };
        const Membership::DutyTiming timing = {RenewPeriod, HoldLimit,
                                               HoldLimit + limits.leaseTime + LeaseMargin};
        lease = std::make_shared<LeaseKeeper>(store, stateTable, own.name, own.address, timing,
                                              std::move(events));
    }

    /// Another gateway has or had the duty: what this one knew of engines no longer holds.
    auto yieldDuty() -> void
    {
        wasLastOnDuty = false;
        if (!onDuty)
            placement.reset();
    }

    /// Reads which gateways there are, and the lease.
    auto readRows() -> void
    {
        store.list(stateTable, {}, nullptr, [self = shared_from_this()](const auto &answer) {
            if (self->stopped)
                return;
            if (!answer) {
                self->context.reactor.callAfter(HolderSilence, [self] {
                    if (!self->stopped)
                        self->readRows();
                });
                return;
            }
            self->takeRows(answer->rows);
        });
    }

    auto takeRows(const std::vector<Row> &rows) -> void
    {
        std::set<std::string> names = {own.name};
        rowVersions.clear();
        bool hasLease = false;
        for (const Row &row : rows) {
            if (row.key == LeaseKeeper::Key && !onDuty)
                lease->takeRow(row);
            hasLease = hasLease || row.key == LeaseKeeper::Key;
            if (row.key.starts_with(gatewayKeyPrefix)) {
                const std::string name = row.key.substr(std::string(gatewayKeyPrefix).size());
                names.insert(name);
                rowVersions[name] = row.version;
            }
        }
        if (!hasLease)
            lease->takeNoRow();
        roster.reset(names, now());
        isRosterRead = true;
        if (rowVersions.count(own.name) == 0)
            registerGateway(own.name, own.address);
        announceGateways();
        tick();
    }

    auto registerGateway(const std::string &name, const Http1::SocketAddress &address) -> void
    {
        store.write(stateTable, gatewayKeyPrefix + name, 0, address.toString(),
                    [self = shared_from_this(), name](const auto &answer) {
                        if (answer)
                            self->rowVersions[name] = *answer;
                    });
    }

    auto announceGateways() -> void { knowledge.onGateways(std::max(gatewayCount(), 1)); }

    /// Gateways that share the quotas. Until the table was read anew, a new holder goes by what the
    /// one before told.
    auto gatewayCount() const -> int
    {
        if (onDuty)
            return isRosterRead ? roster.count() : std::max(roster.count(), announcedGateways);
        return announcedGateways > 0 ? announcedGateways : roster.count();
    }

    auto tick() -> void
    {
        if (stopped)
            return;
        const bool held = lease->isHeld();
        if (held != onDuty)
            changeDuty(held);
        const bool mayAsk =
            now() - startedAt >= leaseDelay && now() - holderHeardAt > HolderSilence;
        if (held || mayAsk)
            lease->tick();
        if (onDuty)
            work();
        if (now() >= nextReport)
            report();
    }

    auto schedule() -> void
    {
        context.reactor.callAfter(TickPause, [self = shared_from_this()] {
            if (self->stopped)
                return;
            self->tick();
            self->schedule();
        });
    }

    auto takeKnowledge(const StoreView &seen) -> void
    {
        knowledge.onPeer(seen);
        if (seen.outages > outages) {
            outages = seen.outages;
            knowledge.onStoreBack();
        }
    }

    auto ownKnowledge() const -> StoreView
    {
        StoreView known = knowledge.own();
        known.outages = outages;
        return known;
    }

    auto changeDuty(bool held) -> void
    {
        onDuty = held;
        Utils::logEvent(held ? Utils::Event::DutyTaken : Utils::Event::DutyLost,
                        {{"duty", "placement"}, {"fence", lease->version()}});
        // While nobody else takes the duty, what was ordered stays known.
        if (!held)
            return;
        holder.reset();
        isRosterRead = false;
        readRows();
        if (wasLastOnDuty && placement)
            return;
        wasLastOnDuty = true;
        EnginePlacement::Events events;
        events.authority = [this] { return authority(); };
        events.onEngine = [this](const std::string &id, const EngineReport &state) {
            engineChanged(id, state);
        };
        placement =
            std::make_unique<EnginePlacement>(context, limits.loadWindow, std::move(events));
    }

    auto authority() const -> std::optional<OrderAuthority>
    {
        if (!lease->isHeld())
            return {};
        return OrderAuthority{own.name, lease->version()};
    }

    /// Plans now, or as soon as the share of the processor allows it.
    auto work() -> void
    {
        const TimePoint at = now();
        if (at < nextWork) {
            if (!workPending) {
                workPending = true;
                context.reactor.callAfter(nextWork - at, [self = shared_from_this()] {
                    self->workPending = false;
                    if (!self->stopped && self->onDuty)
                        self->work();
                });
            }
            return;
        }
        placement->run(members.total(context.demand.demand(now()), now()));
        const auto took = now() - at;
        nextWork = now() + std::max<Utils::Duration>(took * PlanningDivisor, LeastPlanningPause);
    }

    auto engineChanged(const std::string &id, const EngineReport &state) -> void
    {
        context.requestQueue.wake();
        const json message = EngineMessage{id, state}.toJson();
        for (const auto &address : members.gateways())
            link.send(address, message);
        // The engine may take its next order.
        context.reactor.callAfter(milliseconds(0), [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && !self->stopped && self->onDuty)
                self->work();
        });
    }

    /// What this gateway tells: as the holder to all, else to the holder.
    auto report() -> void
    {
        hurried = false;
        nextReport = now() + ReportPause;
        if (onDuty)
            return reportAsHolder();
        if (holder)
            return link.send(*holder,
                             DemandMessage{own.name, ownKnowledge(),
                                           DemandBook::toJson(context.demand.demand(now()))}
                                 .toJson());
        if (wasLastOnDuty)
            reportWithoutLease();
    }

    auto reportAsHolder() -> void
    {
        members.dropSilent(now());
        dropSilentGateways();
        knowledge.onPartsConfirmed();
        HolderMessage message;
        message.name = own.name;
        message.lease = lease->version();
        message.gateways = gatewayCount();
        message.seen = ownKnowledge();
        message.members = members.gateways();
        for (const auto &address : message.members) {
            message.isReceiverAlive = members.isReceiverAlive(address, now());
            link.send(address, message.toJson());
        }
    }

    /// While the store is away nobody holds the lease, and nobody can give a gateway up: those that
    /// hear each other keep their parts of the quotas.
    auto reportWithoutLease() -> void
    {
        bool isAnyHeard = false;
        for (const auto &address : members.gateways()) {
            if (!members.isReceiverAlive(address, now()))
                continue;
            isAnyHeard = true;
            link.send(address, {{"kind", PartsConfirmedKind}});
        }
        if (isAnyHeard)
            knowledge.onPartsConfirmed();
    }

    auto dropSilentGateways() -> void
    {
        roster.noteHeard(own.name, now());
        const auto silent = roster.takeSilent(now());
        if (silent.empty())
            return;
        for (const std::string &name : silent) {
            Utils::logEvent(Utils::Event::GatewayGivenUp,
                            {{"gateway", name}, {"gateways", roster.count()}});
            const auto row = rowVersions.find(name);
            if (row == rowVersions.end())
                continue;
            // A row that stays counts again with the next holder, until it is given up again.
            store.remove(stateTable, gatewayKeyPrefix + name, row->second, [](const auto &) {});
            rowVersions.erase(row);
        }
        announceGateways();
    }

    auto takeMessage(const json &message, const Http1::SocketAddress &sender) -> void
    {
        // Datagrams come until the process has ended.
        if (stopped)
            return;
        const std::string kind = Utils::fieldOr(message, "kind", std::string());
        if (kind == DemandMessage::Kind)
            takeDemand(DemandMessage::fromJson(message), sender);
        else if (kind == HolderMessage::Kind && !onDuty)
            takeHolder(HolderMessage::fromJson(message), sender);
        else if (kind == EngineMessage::Kind && !onDuty)
            takeEngine(EngineMessage::fromJson(message));
        else if (kind == PartsConfirmedKind && !onDuty)
            knowledge.onPartsConfirmed();
    }

    auto takeDemand(const DemandMessage &message, const Http1::SocketAddress &sender) -> void
    {
        if (!onDuty && !wasLastOnDuty)
            return;
        const bool isNew = members.take(sender, message.demand, now());
        takeKnowledge(message.seen);
        if (!onDuty)
            return;
        if (roster.noteHeard(message.name, now())) {
            announceGateways();
            if (isRosterRead && rowVersions.count(message.name) == 0)
                registerGateway(message.name, sender);
        }
        if (isNew) {
            placement->visit([&](const std::string &id, const EngineReport &state) {
                link.send(sender, EngineMessage{id, state}.toJson());
            });
            nextReport = now();
        }
        work();
    }

    auto takeHolder(const HolderMessage &message, const Http1::SocketAddress &sender) -> void
    {
        // Between two holders nobody may have seen that the store was away.
        if (!holder || !(*holder == sender))
            knowledge.onStoreBack();
        holder = sender;
        yieldDuty();
        holderHeardAt = now();
        takeKnowledge(message.seen);
        lease->takeTold(message.name, message.lease);
        announcedGateways = message.gateways;
        announcedPeers = {sender};
        for (const auto &address : message.members) {
            if (address != own.address)
                announcedPeers.push_back(address);
        }
        announceGateways();
        if (message.isReceiverAlive)
            knowledge.onPartsConfirmed();
    }

    auto takeEngine(const EngineMessage &message) -> void
    {
        context.board.takeReport(message.id, message.report);
        context.requestQueue.wake();
    }
};

PlacementDuty::PlacementDuty(GatewayContext &context, RowStore &store, PeerLink &link,
                             const Identity &own, const PlacementLimits &limits)
    : d(std::make_shared<Private>(context, store, link, own, limits))
{ }

PlacementDuty::~PlacementDuty()
{
    stop();
}

auto PlacementDuty::start() -> void
{
    d->open();
    d->startedAt = d->now();
    d->leaseDelay = std::chrono::duration_cast<milliseconds>(
        WeakestDelay * (1 - std::clamp(d->limits.processorShare, 0.0, 1.0)));
    d->readRows();
    d->schedule();
}

auto PlacementDuty::stop() -> void
{
    d->stopped = true;
    d->onDuty = false;
    if (d->lease)
        d->lease->stop();
    d->placement.reset();
}

auto PlacementDuty::takeMessage(const nlohmann::json &message, const Http1::SocketAddress &sender)
    -> void
{
    try {
        d->takeMessage(message, sender);
    } catch (const nlohmann::json::exception &fault) {
        Utils::logEvent(
            Utils::Event::EntryRejected,
            {{"what", "datagram"}, {"sender", sender.toString()}, {"reason", fault.what()}});
    }
}

auto PlacementDuty::hurry() -> void
{
    if (d->hurried)
        return;
    d->hurried = true;
    d->context.reactor.callAfter(HurryPause, [self = d] {
        if (self->stopped || !self->hurried)
            return;
        self->hurried = false;
        if (self->onDuty)
            self->work();
        else
            self->report();
    });
}

auto PlacementDuty::setKnowledgeEvents(KnowledgeEvents events) -> void
{
    d->knowledge = std::move(events);
}

auto PlacementDuty::peers() const -> std::vector<Http1::SocketAddress>
{
    if (!d->onDuty)
        return d->announcedPeers;
    return d->members.gateways();
}

auto PlacementDuty::isHolder() const -> bool
{
    return d->onDuty;
}

} // namespace Gateway
