#include "placementduty.h"

#include "backendboard.h"
#include "demandbook.h"
#include "engineplacement.h"
#include "gatewaycontext.h"
#include "peerlink.h"
#include "rowstore.h"
#include "waitingroom.h"
#include "wireformat.h"

#include <membership/dutylease.h>
#include <net/reactor.h>
#include <utils/boottime.h>
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
const char *const leaseKey = "placement";
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

/// What an engine holds, as the holder tells others.
auto describeEngine(const std::string &id, const EngineReport &state) -> json
{
    json models = json::object();
    for (const auto &[model, adapters] : state.models)
        models[model] = adapters;
    return {{"kind", "engine"}, {"id", id}, {"orders", state.ordersAccepted}, {"models", models}};
}

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
        , lease(identity.name, {RenewPeriod, HoldLimit, HoldLimit + bounds.leaseTime + LeaseMargin})
    { }

    GatewayContext &context;
    RowStore &store;
    PeerLink &link;
    Identity own;
    PlacementLimits limits;
    Membership::DutyLease lease;
    std::function<void(int)> onGateways;
    KnowledgeEvents knowledge;
    std::uint64_t outages = 0;
    bool storeIsAway = false;
    TimePoint startedAt;
    milliseconds leaseDelay{0};
    bool stopped = false;
    bool onDuty = false;
    std::optional<Http1::SocketAddress> holder;
    TimePoint holderHeardAt;
    std::set<std::string> gateways; ///< Names that are registered or were heard.
    int announcedGateways = 0;
    std::vector<Http1::SocketAddress> announcedPeers; ///< Told by the holder.
    DemandBook members;
    std::unique_ptr<EnginePlacement> placement; ///< While the duty is held.
    TimePoint nextReport;
    bool hurried = false;

    auto now() const -> TimePoint { return context.reactor.now(); }

    auto readRows() -> void
    {
        store.list(stateTable, {}, [self = shared_from_this()](const auto &answer) {
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
        const std::string ownKey = gatewayKeyPrefix + own.name;
        bool isRegistered = false;
        Membership::LeaseRow leaseRow;
        for (const Row &row : rows) {
            if (row.key == leaseKey)
                leaseRow = takeLeaseValue(row);
            if (row.key.starts_with(gatewayKeyPrefix))
                gateways.insert(row.key.substr(std::string(gatewayKeyPrefix).size()));
            isRegistered = isRegistered || row.key == ownKey;
        }
        lease.takeRow(leaseRow, Utils::bootTime());
        gateways.insert(own.name);
        announceGateways();
        if (!isRegistered)
            store.write(stateTable, ownKey, 0, own.address.toString(), [](const auto &) {});
        tick();
    }

    auto takeLeaseValue(const Row &row) -> Membership::LeaseRow
    {
        const json value = json::parse(row.value, nullptr, false);
        const auto address =
            Http1::SocketAddress::parse(Utils::fieldOr(value, "address", std::string()));
        const std::string name = Utils::fieldOr(value, "holder", std::string());
        if (address && name != own.name)
            holder = *address;
        return {name, row.version};
    }

    auto announceGateways() -> void
    {
        const int count = std::max<int>(static_cast<int>(gateways.size()), announcedGateways);
        if (onGateways)
            onGateways(std::max(count, 1));
    }

    auto tick() -> void
    {
        if (stopped)
            return;
        const TimePoint bootNow = Utils::bootTime();
        const bool held = lease.isHeld(bootNow);
        if (held != onDuty)
            changeDuty(held);
        const bool mayAsk =
            now() - startedAt >= leaseDelay && now() - holderHeardAt > HolderSilence;
        if (held || mayAsk)
            stepLease(bootNow);
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

    auto stepLease(TimePoint bootNow) -> void
    {
        switch (lease.tick(bootNow)) {
        case Membership::LeaseStep::Nothing:
            return;
        case Membership::LeaseStep::Read:
            store.list(stateTable, leaseKey, [self = shared_from_this()](const auto &answer) {
                if (self->stopped)
                    return;
                self->noteStore(answer.has_value());
                if (!answer)
                    return self->lease.takeFailure();
                Membership::LeaseRow row;
                for (const Row &found : answer->rows) {
                    if (found.key == leaseKey)
                        row = self->takeLeaseValue(found);
                }
                self->lease.takeRow(row, Utils::bootTime());
            });
            return;
        case Membership::LeaseStep::Write:
            break;
        }
        const json value = {{"holder", own.name}, {"address", own.address.toString()}};
        store.write(stateTable, leaseKey, lease.expectedVersion(), value.dump(),
                    [self = shared_from_this(), bootNow](const auto &answer) {
                        if (self->stopped)
                            return;
                        if (answer) {
                            self->lease.takeWritten(*answer, bootNow);
                            self->noteStore(true);
                        } else {
                            self->lease.takeFailure();
                            if (answer.error() == StoreError::Unavailable)
                                self->noteStore(false);
                        }
                        self->tick();
                    });
    }

    auto noteStore(bool answers) -> void
    {
        if (!answers) {
            storeIsAway = true;
        } else if (storeIsAway) {
            storeIsAway = false;
            ++outages;
            knowledge.onStoreBack();
        }
    }

    auto describeKnowledge() -> json
    {
        const StoreKnowledge known = knowledge.own();
        return {known.configurationRow, known.serverRow, outages};
    }

    auto takeKnowledge(const json &message) -> void
    {
        const auto seen = Utils::fieldOr(message, "seen", std::vector<std::uint64_t>());
        constexpr size_t fieldCount = 3;
        if (seen.size() != fieldCount)
            return;
        knowledge.onPeer({seen[0], seen[1], seen[2]});
        if (seen[2] > outages) {
            outages = seen[2];
            knowledge.onStoreBack();
        }
    }

    auto changeDuty(bool held) -> void
    {
        onDuty = held;
        Utils::logEvent(held ? Utils::Event::DutyTaken : Utils::Event::DutyLost,
                        {{"duty", "placement"}, {"fence", lease.version()}});
        placement.reset();
        members.clear();
        if (!held)
            return;
        holder.reset();
        EnginePlacement::Events events;
        events.authority = [this] { return authority(); };
        events.onEngine = [this](const std::string &id, const EngineReport &state) {
            engineChanged(id, state);
        };
        placement =
            std::make_unique<EnginePlacement>(context, limits.loadWindow, std::move(events));
    }

    auto authority() -> std::optional<OrderAuthority>
    {
        if (!lease.isHeld(Utils::bootTime()))
            return {};
        return OrderAuthority{own.name, lease.version()};
    }

    TimePoint nextWork;
    bool workPending = false;

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
        context.waiting.wake();
        const json message = describeEngine(id, state);
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
        if (onDuty) {
            members.dropSilent(now());
            json addresses = json::array();
            for (const auto &address : members.gateways())
                addresses.push_back(address.toString());
            const json message = {{"kind", "holder"},
                                  {"name", own.name},
                                  {"lease", lease.version()},
                                  {"gateways", gateways.size()},
                                  {"seen", describeKnowledge()},
                                  {"members", addresses}};
            for (const auto &address : members.gateways())
                link.send(address, message);
            return;
        }
        if (!holder)
            return;
        const json demand = DemandBook::toJson(context.demand.demand(now()));
        link.send(*holder,
                  {{"kind", "demand"},
                   {"name", own.name},
                   {"seen", describeKnowledge()},
                   {"demand", demand}});
    }

    auto takeMessage(const json &message, const Http1::SocketAddress &sender) -> void
    {
        // Datagrams come until the process has ended.
        if (stopped)
            return;
        const std::string kind = Utils::fieldOr(message, "kind", std::string());
        if (kind == "demand" && onDuty)
            takeDemand(message, sender);
        else if (kind == "holder" && !onDuty)
            takeHolder(message, sender);
        else if (kind == "engine" && !onDuty)
            takeEngine(message);
    }

    auto takeDemand(const json &message, const Http1::SocketAddress &sender) -> void
    {
        takeKnowledge(message);
        const bool isNew = members.take(sender, message.value("demand", json::array()), now());
        if (gateways.insert(Utils::fieldOr(message, "name", std::string())).second)
            announceGateways();
        if (isNew) {
            placement->visit([&](const std::string &id, const EngineReport &state) {
                link.send(sender, describeEngine(id, state));
            });
            nextReport = now();
        }
        work();
    }

    auto takeHolder(const json &message, const Http1::SocketAddress &sender) -> void
    {
        // Between two holders nobody may have seen that the store was away.
        if (!holder || !(*holder == sender))
            knowledge.onStoreBack();
        holder = sender;
        holderHeardAt = now();
        takeKnowledge(message);
        const auto version = Utils::fieldOr(message, "lease", std::uint64_t(0));
        if (version >= lease.version())
            lease.takeRow({Utils::fieldOr(message, "name", std::string()), version},
                          Utils::bootTime());
        announcedGateways = Utils::fieldOr(message, "gateways", 0);
        announcedPeers = {sender};
        for (const auto &text : Utils::fieldOr(message, "members", std::vector<std::string>())) {
            const auto address = Http1::SocketAddress::parse(text);
            if (address && *address != own.address)
                announcedPeers.push_back(*address);
        }
        announceGateways();
    }

    auto takeEngine(const json &message) -> void
    {
        EngineReport report;
        report.ordersAccepted = Utils::fieldOr(message, "orders", std::int64_t(0));
        const json models = message.value("models", json::object());
        for (const auto &[model, adapters] : models.items())
            report.models[model] = adapters.get<std::set<std::string>>();
        context.board.takeReport(Utils::fieldOr(message, "id", std::string()), report);
        context.waiting.wake();
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

auto PlacementDuty::onGateways(std::function<void(int)> callback) -> void
{
    d->onGateways = std::move(callback);
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
