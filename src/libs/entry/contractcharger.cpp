#include "contractcharger.h"

#include "entryconstants.h"

#include <control/controlconstants.h>
#include <links/linkchannel.h>
#include <links/linkserver.h>
#include <membership/acceptancepoller.h>
#include <monitoring/metrics.h>
#include <net/periodictimer.h>
#include <net/reactor.h>
#include <node/fleetnode.h>
#include <protocol/codec.h>

#include <utils/jsonfield.h>

namespace Entry {

using Contracts::ChargeResult;
using Contracts::Transfer;
using nlohmann::json;
using Utils::TimePoint;

namespace {

const std::string epochItemKey = "contracts/epoch";

/// A charge that waits for transfers from other entries.
struct PendingCharge
{
    std::string customer;
    std::string requestId;
    double tokens = 0;
    int pendingReplies = 0;
    ContractCharger::ChargedCallback done;
};

using PendingPointer = std::shared_ptr<PendingCharge>;

} // namespace

struct ContractCharger::Private
{
    Node::FleetNode &node;
    Contracts::ContractBook book;
    std::unique_ptr<Net::PeriodicTimer> resendTimer;
    Membership::AcceptancePoller watch; ///< Watches a new epoch while its gains are locked.

    Private(Node::FleetNode &fleetNode, std::unique_ptr<Contracts::SharePolicy> policy)
        : node(fleetNode)
        , book(fleetNode.settings().name, fleetNode.incarnation(), std::move(policy))
        , watch(fleetNode.reactor(), fleetNode.state(),
                [&fleetNode](const auto &address) -> Links::LinkChannel & {
                    return fleetNode.channelTo(address);
                })
    { }

    auto now() const -> TimePoint { return node.reactor().now(); }
    auto applyControlState() -> void;
    auto watchEpoch() -> void;
    auto requestTransfers(const PendingPointer &pending, double missing) -> void;
    auto retryCharge(const PendingPointer &pending) -> void;
    auto finish(const PendingPointer &pending, const ChargeResult &result) -> void;
    auto acceptTransfers(const std::string &message, const std::string &fromAddress) -> void;
    auto acknowledge(const std::vector<Transfer> &taken, const std::string &address) -> void;
    auto handleTransferRequest(const std::shared_ptr<Links::LinkExchange> &exchange) -> void;
    auto handleTransfer(const std::shared_ptr<Links::LinkExchange> &exchange) -> void;
    auto handleAcknowledgement(const std::shared_ptr<Links::LinkExchange> &exchange) -> void;
    auto applyAcknowledgements(const json &document) -> void;
    auto resendTransfers() -> void;
    auto addressOf(const std::string &entry) const -> std::string;
};

auto ContractCharger::Private::addressOf(const std::string &entry) const -> std::string
{
    const auto &registry = node.state().registry();
    const auto found = registry.find(entry);
    return found == registry.end() ? std::string() : found->second.address;
}

auto ContractCharger::Private::applyControlState() -> void
{
    const auto *item = node.state().item(epochItemKey);
    const auto epoch = item ? Contracts::epochFromJson(item->value) : std::nullopt;
    if (!epoch || epoch->number <= book.epoch().number)
        return;
    book.update(*epoch, now());
    watchEpoch();
}

/// Unlocks what this entry gained in a new epoch once no node can use the earlier one: the epoch's
/// revision is accepted, and every node without it has stopped acting because of the freshness
/// limit.
auto ContractCharger::Private::watchEpoch() -> void
{
    const auto epoch = book.epoch().number;
    const auto revision = node.state().item(epochItemKey)->revision;
    watch.start(revision, Constants::EpochAcceptanceTimeout, [this, epoch](const auto &report) {
        if (epoch != book.epoch().number)
            return;
        if (!report.isAccepted) {
            watchEpoch();
            return;
        }
        node.reactor().callAfter(Control::Constants::FreshnessLimit + Constants::EpochMargin,
                                 [this, epoch] { book.unlockGains(epoch, now()); });
    });
}

auto ContractCharger::Private::requestTransfers(const PendingPointer &pending, double missing)
    -> void
{
    const auto transferRequest =
        book.makeTransferRequest(pending->customer, pending->requestId, missing, now());
    const std::string message = Protocol::encode(Contracts::toJson(transferRequest));
    book.setWaiting(pending->customer, pending->requestId, true);
    std::vector<std::string> addresses;
    for (const auto &[entry, incarnation] : book.epoch().incarnations) {
        const std::string address = addressOf(entry);
        if (entry != node.settings().name && !address.empty())
            addresses.push_back(address);
    }
    pending->pendingReplies = static_cast<int>(addresses.size());
    for (const auto &address : addresses) {
        node.channelTo(address).call(
            Protocol::Path::contractRequest, message,
            [this, pending, address](const std::string &answer) {
                acceptTransfers(answer, address);
                retryCharge(pending);
            },
            [this, pending](Links::LinkOutcome) {
                --pending->pendingReplies;
                retryCharge(pending);
            });
    }
    retryCharge(pending);
}

auto ContractCharger::Private::retryCharge(const PendingPointer &pending) -> void
{
    if (!pending->done)
        return;
    const auto result = book.retryCharge(pending->customer, pending->tokens, now());
    const bool isFinal =
        result.status != ChargeResult::Status::InsufficientTokens || pending->pendingReplies <= 0;
    if (isFinal)
        finish(pending, result);
}

auto ContractCharger::Private::finish(const PendingPointer &pending, const ChargeResult &result)
    -> void
{
    const auto done = std::exchange(pending->done, nullptr);
    if (!done)
        return;
    book.setWaiting(pending->customer, pending->requestId, false);
    done(result);
}

auto ContractCharger::Private::acceptTransfers(const std::string &message,
                                               const std::string &fromAddress) -> void
{
    const auto document = Protocol::decode(message);
    if (!document || !document->is_object())
        return;
    std::vector<Transfer> taken;
    for (const auto &entry : Utils::fieldOr(*document, "transfers", json::array())) {
        const auto transfer = Contracts::transferFromJson(entry);
        if (transfer && book.handleTransfer(*transfer, now()))
            taken.push_back(*transfer);
    }
    acknowledge(taken, fromAddress);
}

auto ContractCharger::Private::acknowledge(const std::vector<Transfer> &taken,
                                           const std::string &address) -> void
{
    if (taken.empty())
        return;
    json numbers = json::array();
    for (const auto &transfer : taken)
        numbers.push_back(transfer.sequence);
    const json message = {{"to", node.settings().name}, {"sequences", numbers}};
    node.channelTo(address).call(
        Protocol::Path::contractAcknowledge, Protocol::encode(message), [](const std::string &) {},
        [](Links::LinkOutcome) {});
}

auto ContractCharger::Private::handleTransferRequest(
    const std::shared_ptr<Links::LinkExchange> &exchange) -> void
{
    const auto document = Protocol::decode(exchange->body());
    const auto transferRequest =
        document ? Contracts::transferRequestFromJson(*document) : std::nullopt;
    json transfers = json::array();
    if (transferRequest && node.mayAct()) {
        for (const auto &transfer : book.handleTransferRequest(*transferRequest, now()))
            transfers.push_back(Contracts::toJson(transfer));
    }
    if (!transfers.empty())
        node.metrics().count("acacia_contract_transfers_total");
    exchange->send(Protocol::encode({{"transfers", transfers}}));
    exchange->finish();
}

auto ContractCharger::Private::handleTransfer(const std::shared_ptr<Links::LinkExchange> &exchange)
    -> void
{
    const auto document = Protocol::decode(exchange->body());
    const auto transfer = document ? Contracts::transferFromJson(*document) : std::nullopt;
    json numbers = json::array();
    if (transfer && book.handleTransfer(*transfer, now()))
        numbers.push_back(transfer->sequence);
    exchange->send(Protocol::encode({{"to", node.settings().name}, {"sequences", numbers}}));
    exchange->finish();
}

auto ContractCharger::Private::handleAcknowledgement(
    const std::shared_ptr<Links::LinkExchange> &exchange) -> void
{
    if (const auto document = Protocol::decode(exchange->body()))
        applyAcknowledgements(*document);
    exchange->finish();
}

auto ContractCharger::Private::applyAcknowledgements(const json &document) -> void
{
    if (!document.is_object())
        return;
    for (const auto &number : Utils::fieldOr(document, "sequences", std::vector<std::uint64_t>()))
        book.handleAcknowledgement(Utils::fieldOr(document, "to", ""), number);
}

auto ContractCharger::Private::resendTransfers() -> void
{
    for (const auto &transfer : book.unacknowledged()) {
        const std::string address = addressOf(transfer.to);
        if (address.empty())
            continue;
        const auto onMessage = [this](const std::string &message) {
            if (const auto document = Protocol::decode(message))
                applyAcknowledgements(*document);
        };
        node.channelTo(address).call(Protocol::Path::contractTransfer,
                                     Protocol::encode(Contracts::toJson(transfer)), onMessage,
                                     [](Links::LinkOutcome) {});
    }
}

ContractCharger::ContractCharger(Node::FleetNode &node,
                                 std::unique_ptr<Contracts::SharePolicy> policy)
    : d(std::make_unique<Private>(node, std::move(policy)))
{
    node.setHandler(Protocol::Path::contractRequest,
                    [this](const auto &exchange) { d->handleTransferRequest(exchange); });
    node.setHandler(Protocol::Path::contractTransfer,
                    [this](const auto &exchange) { d->handleTransfer(exchange); });
    node.setHandler(Protocol::Path::contractAcknowledge,
                    [this](const auto &exchange) { d->handleAcknowledgement(exchange); });
    node.onChanged([this] { d->applyControlState(); });
    d->resendTimer = std::make_unique<Net::PeriodicTimer>(node.reactor(), Constants::ResendInterval,
                                                          [this] { d->resendTransfers(); });
}

ContractCharger::~ContractCharger() = default;

auto ContractCharger::charge(const std::string &customer, const std::string &requestId,
                             double tokens, TimePoint deadline, ChargedCallback done) -> void
{
    const auto result = d->book.charge(customer, tokens, d->now());
    if (result.status != ChargeResult::Status::InsufficientTokens) {
        done(result);
        return;
    }
    const auto pending = std::make_shared<PendingCharge>();
    pending->customer = customer;
    pending->requestId = requestId;
    pending->tokens = tokens;
    pending->done = std::move(done);
    const auto limit = std::min<Utils::Duration>(deadline - d->now(), Constants::TransferTimeout);
    d->node.reactor().callAfter(limit, [this, pending] {
        pending->pendingReplies = 0;
        d->retryCharge(pending);
    });
    d->requestTransfers(pending, result.missing);
}

auto ContractCharger::refund(const std::string &customer, double tokens) -> void
{
    if (tokens > 0)
        d->book.refund(customer, tokens, d->now());
}

auto ContractCharger::status() const -> json
{
    json held = json::object();
    for (const auto &[customer, contract] : d->book.epoch().contracts) {
        const auto amount = d->book.held(customer, d->now());
        held[customer] = {
            {"rate", amount.rate}, {"capacity", amount.capacity}, {"level", amount.level}};
    }
    return {
        {"epoch", d->book.epoch().number}, {"locked", d->book.hasLockedGains()}, {"held", held}};
}

} // namespace Entry
