#include "loadslots.h"

#include "agentconstants.h"
#include "dutyrunner.h"

#include <links/linkchannel.h>
#include <links/linkserver.h>
#include <net/reactor.h>
#include <node/fleetnode.h>
#include <protocol/codec.h>

#include <algorithm>
#include <utils/jsonfield.h>

namespace Agent {

using Utils::TimePoint;

struct LoadSlots::Private
{
    /// One load of this agent.
    struct Load
    {
        TimePoint deadline;
        GrantedCallback granted;
        std::string askedAddress; ///< The duty's holder that was asked; empty for the own share.
    };

    Node::FleetNode &node;
    Placement::LoadLimits limits;
    bool isPaced;
    bool isOnDuty = false;
    Placement::LoadPacer fleetPacer;
    std::unique_ptr<Placement::LoadPacer> ownShare;
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, Load> loads;
    // While on duty: what other agents wait for, and which of our numbers stands for theirs.
    std::map<std::uint64_t, std::shared_ptr<Links::LinkExchange>> remoteWaiting;
    std::map<std::string, std::uint64_t> remoteNumbers;

    Private(Node::FleetNode &fleetNode, const Placement::LoadLimits &loadLimits, bool paced)
        : node(fleetNode)
        , limits(loadLimits)
        , isPaced(paced)
        , fleetPacer(loadLimits)
    { }

    auto dutyAddress() const -> std::string
    {
        const auto *item = node.state().item(pacingDutyItemKey);
        if (!item)
            return {};
        const auto &registry = node.state().registry();
        const auto holder = registry.find(Utils::fieldOr(item->value, "holder", ""));
        return holder == registry.end() ? std::string() : holder->second.address;
    }

    auto grantOwn(std::uint64_t number) -> void
    {
        const auto found = loads.find(number);
        if (found == loads.end() || !found->second.granted)
            return;
        const auto granted = std::exchange(found->second.granted, nullptr);
        granted();
    }

    auto askDuty(std::uint64_t number, const std::string &address) -> void
    {
        loads[number].askedAddress = address;
        const auto timeLeft = loads[number].deadline - node.reactor().now();
        const nlohmann::json ask = {
            {"holder", node.settings().name + "/" + node.incarnation()},
            {"number", number},
            {"timeLeft", std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count()}};
        const auto granted = std::make_shared<bool>(false);
        node.channelTo(address).call(
            Protocol::Path::loadSlot, Protocol::encode(ask),
            [this, number, granted](const std::string &) {
                *granted = true;
                grantOwn(number);
            },
            [this, number, granted](Links::LinkOutcome) {
                if (!*granted)
                    useOwnShare(number);
            });
    }

    /// A share that keeps within the store's rate even when all agents fall back at once.
    auto useOwnShare(std::uint64_t number) -> void
    {
        const auto found = loads.find(number);
        if (found == loads.end() || !found->second.granted)
            return;
        if (!ownShare) {
            const auto &registry = node.state().registry();
            const auto agents =
                std::count_if(registry.begin(), registry.end(),
                              [](const auto &entry) { return entry.second.role == "agent"; });
            const double share = limits.perSecond / static_cast<double>(std::max<long>(agents, 1));
            ownShare = std::make_unique<Placement::LoadPacer>(Placement::LoadLimits{share, 1});
        }
        found->second.askedAddress.clear();
        ownShare->request({number, node.settings().name, found->second.deadline, 1});
        pumpOwnShare();
    }

    auto pumpOwnShare() -> void
    {
        const auto now = node.reactor().now();
        for (const auto &request : ownShare->grant(now))
            grantOwn(request.id);
        if (const auto next = ownShare->nextGrantAt())
            node.reactor().callAfter(
                std::max<Utils::Duration>(*next - now, std::chrono::milliseconds(1)),
                [this] { pumpOwnShare(); });
    }

    auto pumpFleet() -> void
    {
        const auto now = node.reactor().now();
        for (const auto &request : fleetPacer.grant(now)) {
            const auto remote = remoteWaiting.extract(request.id);
            if (!remote) {
                grantOwn(request.id);
            } else if (remote.mapped()->isOpen()) {
                remote.mapped()->send(Protocol::encode({{"granted", true}}));
                remote.mapped()->finish();
            } else {
                fleetPacer.finish(request.id);
            }
        }
        if (const auto next = fleetPacer.nextGrantAt())
            node.reactor().callAfter(
                std::max<Utils::Duration>(*next - now, std::chrono::milliseconds(1)),
                [this] { pumpFleet(); });
    }

    auto takeRemoteAsk(const std::shared_ptr<Links::LinkExchange> &exchange) -> void
    {
        const auto ask = Protocol::decode(exchange->body());
        if (!ask || !isOnDuty) {
            exchange->finish();
            return;
        }
        const std::uint64_t number = nextNumber++;
        const auto timeLeft =
            std::chrono::milliseconds(Utils::fieldOr(*ask, "timeLeft", std::int64_t(0)));
        remoteNumbers[remoteKey(*ask)] = number;
        remoteWaiting[number] = exchange;
        fleetPacer.request({number, exchange->peer(), node.reactor().now() + timeLeft, 1});
        pumpFleet();
    }

    static auto remoteKey(const nlohmann::json &ask) -> std::string
    {
        return Utils::fieldOr(ask, "holder", "") + "#"
            + std::to_string(Utils::fieldOr(ask, "number", std::uint64_t(0)));
    }

    auto takeRemoteReturn(const std::shared_ptr<Links::LinkExchange> &exchange) -> void
    {
        const auto ask = Protocol::decode(exchange->body());
        exchange->finish();
        const auto found =
            ask ? remoteNumbers.extract(remoteKey(*ask)) : decltype(remoteNumbers)::node_type();
        if (!found)
            return;
        remoteWaiting.erase(found.mapped());
        fleetPacer.withdraw(found.mapped());
        fleetPacer.finish(found.mapped());
        pumpFleet();
    }
};

LoadSlots::LoadSlots(Node::FleetNode &node, const Placement::LoadLimits &limits, bool isPaced)
    : d(std::make_unique<Private>(node, limits, isPaced))
{
    node.handle(Protocol::Path::loadSlot,
                [this](const auto &exchange) { d->takeRemoteAsk(exchange); });
    node.handle(Protocol::Path::loadSlotReturn,
                [this](const auto &exchange) { d->takeRemoteReturn(exchange); });
}

LoadSlots::~LoadSlots() = default;

auto LoadSlots::acquire(TimePoint deadline, GrantedCallback granted) -> std::uint64_t
{
    const std::uint64_t number = d->nextNumber++;
    d->loads[number] = {deadline, std::move(granted), {}};
    const std::string duty = d->dutyAddress();
    if (!d->isPaced) {
        d->node.reactor().callAfter(Utils::Duration::zero(),
                                    [this, number] { d->grantOwn(number); });
    } else if (d->isOnDuty) {
        d->fleetPacer.request({number, d->node.settings().name, deadline, 1});
        d->pumpFleet();
    } else if (!duty.empty() && duty != d->node.settings().linkAddress) {
        d->askDuty(number, duty);
        d->node.reactor().callAfter(Constants::SlotPatience, [this, number, duty] {
            if (!d->node.channelTo(duty).isUp())
                d->useOwnShare(number);
        });
    } else {
        d->useOwnShare(number);
    }
    return number;
}

auto LoadSlots::release(std::uint64_t load) -> void
{
    const auto node = d->loads.extract(load);
    if (!node)
        return;
    const std::string &address = node.mapped().askedAddress;
    if (!address.empty()) {
        const nlohmann::json back = {
            {"holder", d->node.settings().name + "/" + d->node.incarnation()}, {"number", load}};
        d->node.channelTo(address).call(
            Protocol::Path::loadSlotReturn, Protocol::encode(back), [](const std::string &) {},
            [](Links::LinkOutcome) {});
        return;
    }
    d->fleetPacer.finish(load);
    d->fleetPacer.withdraw(load);
    d->pumpFleet();
    if (!d->ownShare)
        return;
    d->ownShare->finish(load);
    d->ownShare->withdraw(load);
    d->pumpOwnShare();
}

auto LoadSlots::setOnDuty(bool isOnDuty) -> void
{
    d->isOnDuty = isOnDuty;
    if (isOnDuty)
        return;
    for (const auto &[number, exchange] : std::exchange(d->remoteWaiting, {}))
        exchange->finish();
}

} // namespace Agent
