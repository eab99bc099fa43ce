#include "fleetnode.h"

#include <monitoring/metrics.h>

#include <control/controlconstants.h>
#include <links/linkchannel.h>
#include <net/httpclient.h>
#include <net/periodictimer.h>
#include <net/reactor.h>
#include <protocol/codec.h>
#include <storage/controlstore.h>
#include <storage/httpinstancelist.h>
#include <storage/httpobjectstore.h>
#include <storage/httptableservice.h>
#include <utils/eventlog.h>
#include <utils/hashing.h>

#include <list>
#include <utils/jsonfield.h>

namespace Node {

using Control::Revision;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds tickInterval(50);
constexpr std::chrono::milliseconds tableTimeout(650);
constexpr std::chrono::milliseconds registrationRetryInterval(500);
constexpr int incarnationBytes = 8;

} // namespace

struct FleetNode::Private
{
    Net::Reactor &reactor;
    FleetSettings settings;
    std::string incarnation = Utils::randomHex(incarnationBytes);
    std::map<std::string, json> extraItems;
    Monitoring::Metrics metrics;
    Net::HttpClient http;
    Storage::HttpTableService table;
    Storage::HttpObjectStore objects;
    Storage::HttpInstanceList instances;
    Storage::ControlStore store;
    Control::ControlNode control;
    Storage::ControlWriter writer;
    std::map<std::string, std::unique_ptr<Links::LinkChannel>> channels;
    std::map<std::string, Links::LinkHandler> handlers;
    std::list<std::function<void()>> changeCallbacks;
    std::unique_ptr<Links::LinkServer> server;
    std::unique_ptr<Net::PeriodicTimer> tickTimer;
    Revision seenRevision = 0;
    bool lastMayAct = false;
    bool wasRegistered = false;
    bool isSuperseded = false;
    bool isLeaving = false;
    bool isRegistering = false;
    Utils::TimePoint nextRegistration;

    Private(Net::Reactor &loop, const FleetSettings &fleetSettings,
            const std::map<std::string, json> &items)
        : reactor(loop)
        , settings(fleetSettings)
        , extraItems(items)
        , http(loop)
        , table(http, fleetSettings.platformAddress, tableTimeout)
        , objects(http, fleetSettings.platformAddress)
        , instances(http, fleetSettings.platformAddress)
        , store(table, objects)
        , control({fleetSettings.name, fleetSettings.failureDomain, incarnation},
                  fleetSettings.peers, loop.now())
        , writer(control, store)
    { }

    auto tick() -> void;
    auto perform(const Control::ReadStore &action) -> void;
    auto perform(const Control::PullFromPeer &action) -> void;
    auto notifyChanges() -> void;
    auto checkRegistration() -> void;
    auto registerSelf() -> void;
    auto registrationEdit(const Control::ControlState &state) const -> Storage::ControlEdit;
    auto dispatch(const std::shared_ptr<Links::LinkExchange> &exchange) -> void;
    auto answerPull(const std::shared_ptr<Links::LinkExchange> &exchange) -> void;
    auto channelTo(const std::string &address) -> Links::LinkChannel &;
    auto mayAct() const -> bool { return !isSuperseded && control.isFresh(reactor.now()); }
};

auto FleetNode::Private::tick() -> void
{
    for (const auto &action : control.tick(reactor.now()))
        std::visit([this](const auto &step) { perform(step); }, action);
    notifyChanges();
    checkRegistration();
}

auto FleetNode::Private::perform(const Control::ReadStore &action) -> void
{
    store.readAfter(action.after, [this, requestId = action.requestId](const auto &answer) {
        metrics.count("acacia_store_reads_total", {{"result", answer ? "ok" : "failed"}});
        if (answer)
            control.handleStoreAnswer(requestId, *answer);
        else
            control.handleStoreFailure(requestId);
        notifyChanges();
    });
}

auto FleetNode::Private::perform(const Control::PullFromPeer &action) -> void
{
    const auto requestId = action.requestId;
    const auto onMessage = [this, requestId](const std::string &message) {
        const auto document = Protocol::decode(message);
        const auto answer = document ? Control::peerAnswerFromJson(*document) : std::nullopt;
        if (answer)
            control.handlePeerAnswer(requestId, *answer);
        notifyChanges();
    };
    const auto done = [this, requestId](Links::LinkOutcome outcome) {
        metrics.count("acacia_peer_pulls_total",
                      {{"result", outcome == Links::LinkOutcome::Finished ? "ok" : "failed"}});
        control.handlePeerFailure(requestId);
    };
    channelTo(action.address)
        .call(Protocol::Path::controlPull, Protocol::encode({{"after", action.after}}), onMessage,
              done);
}

auto FleetNode::Private::notifyChanges() -> void
{
    const auto now = reactor.now();
    const bool mayActNow = mayAct();
    const Revision revision = control.state().revision();
    metrics.set("acacia_control_revision", static_cast<double>(revision));
    if (revision == seenRevision && mayActNow == lastMayAct)
        return;
    if (revision != seenRevision)
        Utils::logEvent(Utils::Event::RevisionApplied, {{"revision", revision}});
    if (mayActNow != lastMayAct) {
        const double age =
            Utils::toSeconds(std::min<Utils::Duration>(control.age(now), std::chrono::hours(1)));
        Utils::logEvent(mayActNow ? Utils::Event::FreshnessRegained : Utils::Event::FreshnessLost,
                        {{"revision", revision}, {"age", age}});
    }
    seenRevision = revision;
    lastMayAct = mayActNow;
    for (const auto &callback : changeCallbacks)
        callback();
}

auto FleetNode::Private::checkRegistration() -> void
{
    const auto &registry = control.state().registry();
    const auto found = registry.find(settings.name);
    const bool isMine = found != registry.end() && found->second.incarnation == incarnation;
    if (isMine) {
        wasRegistered = true;
        return;
    }
    // A newer process registered under this name, so this one must no longer act.
    if (wasRegistered && found != registry.end() && !isSuperseded) {
        isSuperseded = true;
        Utils::logEvent(Utils::Event::SupersededByNewer,
                        {{"incarnation", found->second.incarnation}});
        notifyChanges();
    }
    const auto now = reactor.now();
    if (isSuperseded || isLeaving || isRegistering || now < nextRegistration)
        return;
    registerSelf();
}

auto FleetNode::Private::registrationEdit(const Control::ControlState &) const
    -> Storage::ControlEdit
{
    Storage::ControlEdit edit;
    const Control::RegisteredInstance self{settings.name, settings.role, settings.failureDomain,
                                           settings.linkAddress, incarnation};
    edit.puts[Control::instanceItemKey(settings.name)] = Control::toJson(self);
    for (const auto &[key, value] : extraItems)
        edit.puts[key] = value;
    return edit;
}

auto FleetNode::Private::registerSelf() -> void
{
    isRegistering = true;
    writer.propose(
        {settings.name, "register", [this](const auto &state) { return registrationEdit(state); }},
        [this](const auto &result) {
            isRegistering = false;
            nextRegistration = reactor.now() + registrationRetryInterval;
            if (!result)
                Utils::logEvent(Utils::Event::StoreUnavailable, {{"for", "registration"}});
            notifyChanges();
        });
}

auto FleetNode::Private::dispatch(const std::shared_ptr<Links::LinkExchange> &exchange) -> void
{
    if (exchange->path() == Protocol::Path::controlPull) {
        answerPull(exchange);
        return;
    }
    const auto found = handlers.find(exchange->path());
    if (found == handlers.end())
        exchange->finish();
    else
        found->second(exchange);
}

auto FleetNode::Private::answerPull(const std::shared_ptr<Links::LinkExchange> &exchange) -> void
{
    const auto request = Protocol::decode(exchange->body());
    const Revision after =
        request && request->contains("after") ? Utils::fieldOr(*request, "after", Revision(0)) : 0;
    exchange->send(Protocol::encode(Control::toJson(control.answerPeer(after, reactor.now()))));
    exchange->finish();
}

auto FleetNode::Private::channelTo(const std::string &address) -> Links::LinkChannel &
{
    auto &channel = channels[address];
    if (!channel)
        channel = std::make_unique<Links::LinkChannel>(reactor, settings.name, address,
                                                       settings.fleetSecret);
    return *channel;
}

FleetNode::FleetNode(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

FleetNode::~FleetNode() = default;

auto FleetNode::create(Net::Reactor &reactor, const FleetSettings &settings,
                       const std::map<std::string, json> &extraItems)
    -> Utils::Result<std::unique_ptr<FleetNode>, std::string>
{
    auto data = std::make_unique<Private>(reactor, settings, extraItems);
    Private *node = data.get();
    auto server =
        Links::LinkServer::listen(reactor, settings.linkAddress, settings.fleetSecret,
                                  [node](const auto &exchange) { node->dispatch(exchange); });
    if (!server)
        return tl::unexpected(server.error());
    data->server = std::move(*server);
    data->tickTimer =
        std::make_unique<Net::PeriodicTimer>(reactor, tickInterval, [node] { node->tick(); });
    return std::unique_ptr<FleetNode>(new FleetNode(std::move(data)));
}

auto FleetNode::settings() const -> const FleetSettings &
{
    return d->settings;
}

auto FleetNode::incarnation() const -> const std::string &
{
    return d->incarnation;
}

auto FleetNode::reactor() -> Net::Reactor &
{
    return d->reactor;
}

auto FleetNode::http() -> Net::HttpClient &
{
    return d->http;
}

auto FleetNode::metrics() -> Monitoring::Metrics &
{
    return d->metrics;
}

auto FleetNode::table() -> Storage::TableService &
{
    return d->table;
}

auto FleetNode::instanceList() -> Storage::InstanceList &
{
    return d->instances;
}

auto FleetNode::state() const -> const Control::ControlState &
{
    return d->control.state();
}

auto FleetNode::mayAct() const -> bool
{
    return d->mayAct();
}

auto FleetNode::isStoreReachable() const -> bool
{
    return d->control.isStoreReachable();
}

auto FleetNode::controlAge() const -> Utils::Duration
{
    return d->control.age(d->reactor.now());
}

auto FleetNode::setHandler(const std::string &path, Links::LinkHandler handler) -> void
{
    d->handlers[path] = std::move(handler);
}

auto FleetNode::channelTo(const std::string &address) -> Links::LinkChannel &
{
    return d->channelTo(address);
}

auto FleetNode::onChanged(std::function<void()> callback) -> void
{
    d->changeCallbacks.push_back(std::move(callback));
}

auto FleetNode::propose(Storage::Proposal proposal, Storage::ControlWriter::DoneCallback done)
    -> void
{
    d->writer.propose(std::move(proposal), std::move(done));
}

auto FleetNode::deregister(const std::map<std::string, json> &lastItems, Utils::Duration timeout,
                           std::function<void()> done) -> void
{
    d->isLeaving = true;
    auto once = std::make_shared<std::function<void()>>(std::move(done));
    const auto finish = [once] {
        const auto callback = std::exchange(*once, nullptr);
        if (callback)
            callback();
    };
    d->reactor.callAfter(timeout, finish);
    const auto edit = [this, lastItems](const Control::ControlState &state)
        -> Utils::Result<Storage::ControlEdit, std::string> {
        Storage::ControlEdit removal;
        const auto found = state.registry().find(d->settings.name);
        if (found == state.registry().end() || found->second.incarnation != d->incarnation)
            return removal;
        removal.deletes.push_back(Control::instanceItemKey(d->settings.name));
        removal.puts = lastItems;
        return removal;
    };
    d->writer.propose({d->settings.name, "deregister", edit}, [finish](const auto &) { finish(); });
}

} // namespace Node
