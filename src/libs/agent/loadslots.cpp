#include "loadslots.h"

#include "agentconstants.h"
#include "fleetcoordinator.h"

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
        std::string requestedFrom; ///< Address of the coordinator; empty for the local share.
    };

    Node::FleetNode &node;
    Placement::LoadLimits limits;
    bool isPaced;
    bool isCoordinator = false;
    Placement::LoadPacer fleetPacer;
    std::unique_ptr<Placement::LoadPacer> localPacer;
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, Load> loads;
    // As the coordinator: pending requests of other agents by local number, and the local numbers
    // by the agents' own keys.
    std::map<std::uint64_t, std::shared_ptr<Links::LinkExchange>> remoteRequests;
    std::map<std::string, std::uint64_t> remoteNumbers;

    Private(Node::FleetNode &fleetNode, const Placement::LoadLimits &loadLimits, bool paced)
        : node(fleetNode)
        , limits(loadLimits)
        , isPaced(paced)
        , fleetPacer(loadLimits)
    { }

    auto coordinatorAddress() const -> std::string
    {
        const auto *item = node.state().item(coordinatorItemKey);
        if (!item)
            return {};
        const auto &registry = node.state().registry();
        const auto holder = registry.find(Utils::fieldOr(item->value, "holder", ""));
        return holder == registry.end() ? std::string() : holder->second.address;
    }

    auto grantLocal(std::uint64_t number) -> void
    {
        const auto found = loads.find(number);
        if (found == loads.end() || !found->second.granted)
            return;
        const auto granted = std::exchange(found->second.granted, nullptr);
        granted();
    }

    auto requestFromCoordinator(std::uint64_t number, const std::string &address) -> void
    {
        loads[number].requestedFrom = address;
        const auto timeLeft = loads[number].deadline - node.reactor().now();
        const nlohmann::json slotRequest = {
            {"holder", node.settings().name + "/" + node.incarnation()},
            {"number", number},
            {"timeLeft", std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count()}};
        const auto granted = std::make_shared<bool>(false);
        node.channelTo(address).call(
            Protocol::Path::loadSlot, Protocol::encode(slotRequest),
            [this, number, granted](const std::string &) {
                *granted = true;
                grantLocal(number);
            },
            [this, number, granted](Links::LinkOutcome) {
                if (!*granted)
                    useLocalShare(number);
            });
    }

    /// Requests a slot from the local share. All agents' shares together stay within the store's
    /// rate, even if all fall back at the same time.
    auto useLocalShare(std::uint64_t number) -> void
    {
        const auto found = loads.find(number);
        if (found == loads.end() || !found->second.granted)
            return;
        if (!localPacer) {
            const auto &registry = node.state().registry();
            const auto agents =
                std::count_if(registry.begin(), registry.end(),
                              [](const auto &entry) { return entry.second.role == "agent"; });
            const double share = limits.perSecond / static_cast<double>(std::max<long>(agents, 1));
            localPacer = std::make_unique<Placement::LoadPacer>(Placement::LoadLimits{share, 1});
        }
        found->second.requestedFrom.clear();
        localPacer->request({number, node.settings().name, found->second.deadline, 1});
        grantFromLocalPacer();
    }

    auto grantFromLocalPacer() -> void
    {
        const auto now = node.reactor().now();
        for (const auto &request : localPacer->grant(now))
            grantLocal(request.id);
        if (const auto next = localPacer->nextGrantAt())
            node.reactor().callAfter(
                std::max<Utils::Duration>(*next - now, std::chrono::milliseconds(1)),
                [this] { grantFromLocalPacer(); });
    }

    auto grantFromFleetPacer() -> void
    {
        const auto now = node.reactor().now();
        for (const auto &request : fleetPacer.grant(now)) {
            const auto remote = remoteRequests.extract(request.id);
            if (!remote) {
                grantLocal(request.id);
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
                [this] { grantFromFleetPacer(); });
    }

    auto handleSlotRequest(const std::shared_ptr<Links::LinkExchange> &exchange) -> void
    {
        const auto slotRequest = Protocol::decode(exchange->body());
        if (!slotRequest || !isCoordinator) {
            exchange->finish();
            return;
        }
        const std::uint64_t number = nextNumber++;
        const auto timeLeft =
            std::chrono::milliseconds(Utils::fieldOr(*slotRequest, "timeLeft", std::int64_t(0)));
        remoteNumbers[remoteKey(*slotRequest)] = number;
        remoteRequests[number] = exchange;
        fleetPacer.request({number, exchange->peer(), node.reactor().now() + timeLeft, 1});
        grantFromFleetPacer();
    }

    static auto remoteKey(const nlohmann::json &message) -> std::string
    {
        return Utils::fieldOr(message, "holder", "") + "#"
            + std::to_string(Utils::fieldOr(message, "number", std::uint64_t(0)));
    }

    auto handleSlotReturn(const std::shared_ptr<Links::LinkExchange> &exchange) -> void
    {
        const auto slotReturn = Protocol::decode(exchange->body());
        exchange->finish();
        const auto found = slotReturn ? remoteNumbers.extract(remoteKey(*slotReturn))
                                      : decltype(remoteNumbers)::node_type();
        if (!found)
            return;
        remoteRequests.erase(found.mapped());
        fleetPacer.withdraw(found.mapped());
        fleetPacer.finish(found.mapped());
        grantFromFleetPacer();
    }
};

LoadSlots::LoadSlots(Node::FleetNode &node, const Placement::LoadLimits &limits, bool isPaced)
    : d(std::make_unique<Private>(node, limits, isPaced))
{
    node.setHandler(Protocol::Path::loadSlot,
                    [this](const auto &exchange) { d->handleSlotRequest(exchange); });
    node.setHandler(Protocol::Path::loadSlotReturn,
                    [this](const auto &exchange) { d->handleSlotReturn(exchange); });
}

LoadSlots::~LoadSlots() = default;

auto LoadSlots::acquire(TimePoint deadline, GrantedCallback granted) -> std::uint64_t
{
    const std::uint64_t number = d->nextNumber++;
    d->loads[number] = {deadline, std::move(granted), {}};
    const std::string coordinator = d->coordinatorAddress();
    if (!d->isPaced) {
        d->node.reactor().callAfter(Utils::Duration::zero(),
                                    [this, number] { d->grantLocal(number); });
    } else if (d->isCoordinator) {
        d->fleetPacer.request({number, d->node.settings().name, deadline, 1});
        d->grantFromFleetPacer();
    } else if (!coordinator.empty() && coordinator != d->node.settings().linkAddress) {
        d->requestFromCoordinator(number, coordinator);
        d->node.reactor().callAfter(Constants::LoadSlotTimeout, [this, number, coordinator] {
            if (!d->node.channelTo(coordinator).isUp())
                d->useLocalShare(number);
        });
    } else {
        d->useLocalShare(number);
    }
    return number;
}

auto LoadSlots::release(std::uint64_t load) -> void
{
    const auto node = d->loads.extract(load);
    if (!node)
        return;
    const std::string &address = node.mapped().requestedFrom;
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
    d->grantFromFleetPacer();
    if (!d->localPacer)
        return;
    d->localPacer->finish(load);
    d->localPacer->withdraw(load);
    d->grantFromLocalPacer();
}

auto LoadSlots::setCoordinator(bool isCoordinator) -> void
{
    d->isCoordinator = isCoordinator;
    if (isCoordinator)
        return;
    for (const auto &[number, exchange] : std::exchange(d->remoteRequests, {}))
        exchange->finish();
}

} // namespace Agent
