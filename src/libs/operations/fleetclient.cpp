#include "fleetclient.h"

#include <links/linkchannel.h>
#include <net/httpclient.h>
#include <net/reactor.h>
#include <protocol/codec.h>
#include <storage/controlstore.h>
#include <storage/httpobjectstore.h>
#include <storage/httptableservice.h>

namespace Operations {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds tableTimeout(2000);

} // namespace

struct FleetClient::Private
{
    Net::Reactor &reactor;
    FleetClientSettings settings;
    Net::HttpClient http;
    Storage::HttpTableService table;
    Storage::HttpObjectStore objects;
    Storage::ControlStore store;
    Control::ControlNode node;
    Storage::ControlWriter writer;
    std::map<std::string, std::unique_ptr<Links::LinkChannel>> channels;
    Membership::AcceptancePoller watch;

    Private(Net::Reactor &loop, const FleetClientSettings &clientSettings)
        : reactor(loop)
        , settings(clientSettings)
        , http(loop)
        , table(http, clientSettings.platformAddress, tableTimeout)
        , objects(http, clientSettings.platformAddress)
        , store(table, objects)
        , node({clientSettings.name, "operator", "operator"}, {}, loop.now())
        , writer(node, store)
        , watch(loop, node.state(),
                [this](const auto &address) -> Links::LinkChannel & { return channelTo(address); })
    { }

    auto channelTo(const std::string &address) -> Links::LinkChannel &
    {
        auto &channel = channels[address];
        if (!channel)
            channel = std::make_unique<Links::LinkChannel>(reactor, settings.name, address,
                                                           settings.fleetSecret);
        return *channel;
    }
};

FleetClient::FleetClient(Net::Reactor &reactor, const FleetClientSettings &settings)
    : d(std::make_unique<Private>(reactor, settings))
{ }

FleetClient::~FleetClient() = default;

auto FleetClient::state() const -> const Control::ControlState &
{
    return d->node.state();
}

auto FleetClient::refresh(std::function<void(const Utils::Result<void, std::string> &)> done)
    -> void
{
    d->store.readAfter(
        d->node.state().revision(), [this, done = std::move(done)](const auto &answer) {
            if (!answer) {
                done(tl::unexpected(std::string("the platform's store does not answer")));
                return;
            }
            d->node.applyStoreRead(*answer);
            if (d->node.state().revision() < answer->head)
                refresh(done);
            else
                done({});
        });
}

auto FleetClient::propose(Storage::Proposal proposal, Storage::ControlWriter::DoneCallback done)
    -> void
{
    d->writer.propose(std::move(proposal), std::move(done));
}

auto FleetClient::awaitAcceptance(Control::Revision revision, Utils::Duration timeout,
                                  Membership::AcceptancePoller::DoneCallback done) -> void
{
    d->watch.start(revision, timeout, std::move(done));
}

auto FleetClient::queryAll(const std::string &role, const std::string &path, const json &request,
                           Utils::Duration timeout,
                           std::function<void(const std::map<std::string, json> &)> done) -> void
{
    struct PendingQuery
    {
        std::map<std::string, json> answers;
        size_t pendingCount = 0;
        std::function<void(const std::map<std::string, json> &)> done;
    };
    const auto query = std::make_shared<PendingQuery>();
    query->done = std::move(done);
    const auto finish = [query] {
        const auto callback = std::exchange(query->done, nullptr);
        if (callback)
            callback(query->answers);
    };
    std::map<std::string, std::string> addresses;
    for (const auto &[name, instance] : d->node.state().registry()) {
        if (role.empty() || instance.role == role)
            addresses[name] = instance.address;
    }
    query->pendingCount = addresses.size();
    d->reactor.callAfter(addresses.empty() ? Utils::Duration::zero() : timeout, finish);
    for (const auto &[name, address] : addresses) {
        const auto onMessage = [query, name = name](const std::string &message) {
            if (const auto document = Protocol::decode(message))
                query->answers[name] = *document;
        };
        d->channelTo(address).call(path, Protocol::encode(request), onMessage,
                                   [query, finish](Links::LinkOutcome) {
                                       if (--query->pendingCount == 0)
                                           finish();
                                   });
    }
}

} // namespace Operations
