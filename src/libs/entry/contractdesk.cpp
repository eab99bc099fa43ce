#include "contractdesk.h"

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

/// A charge that waits for parts of the contract.
struct PendingCharge
{
    std::string customer;
    std::string requestId;
    double tokens = 0;
    int asksOpen = 0;
    ContractDesk::ChargedCallback done;
};

using PendingPointer = std::shared_ptr<PendingCharge>;

} // namespace

struct ContractDesk::Private
{
    Node::FleetNode &node;
    Contracts::ContractBook book;
    std::unique_ptr<Net::PeriodicTimer> resendTimer;
    Membership::AcceptancePoller watch; ///< Of a new epoch, while its gains are locked.

    Private(Node::FleetNode &fleetNode, std::unique_ptr<Contracts::SharePolicy> policy)
        : node(fleetNode)
        , book(fleetNode.settings().name, fleetNode.incarnation(), std::move(policy))
        , watch(fleetNode.reactor(), fleetNode.state(),
                [&fleetNode](const auto &address) -> Links::LinkChannel & {
                    return fleetNode.channelTo(address);
                })
    { }

    auto now() const -> TimePoint { return node.reactor().now(); }
    auto takeState() -> void;
    auto watchEpoch() -> void;
    auto gather(const PendingPointer &pending, double missing) -> void;
    auto tryAgain(const PendingPointer &pending) -> void;
    auto finish(const PendingPointer &pending, const ChargeResult &result) -> void;
    auto takeTransfers(const std::string &message, const std::string &fromAddress) -> void;
    auto acknowledge(const std::vector<Transfer> &taken, const std::string &address) -> void;
    auto handleTransferRequest(const std::shared_ptr<Links::LinkExchange> &exchange) -> void;
    auto takeGift(const std::shared_ptr<Links::LinkExchange> &exchange) -> void;
    auto handleAcknowledgement(const std::shared_ptr<Links::LinkExchange> &exchange) -> void;
    auto takeAcknowledgedNumbers(const json &document) -> void;
    auto resend() -> void;
    auto addressOf(const std::string &entry) const -> std::string;
};

auto ContractDesk::Private::addressOf(const std::string &entry) const -> std::string
{
    const auto &registry = node.state().registry();
    const auto found = registry.find(entry);
    return found == registry.end() ? std::string() : found->second.address;
}

auto ContractDesk::Private::takeState() -> void
{
    const auto *item = node.state().item(epochItemKey);
    const auto epoch = item ? Contracts::epochFromJson(item->value) : std::nullopt;
    if (!epoch || epoch->number <= book.epoch().number)
        return;
    book.update(*epoch, now());
    watchEpoch();
}

/// Unlocks what a new epoch brought once no node can go by the earlier one: the revision is
/// accepted and everybody who does not hold it has been stopped by the freshness limit.
auto ContractDesk::Private::watchEpoch() -> void
{
    const auto epoch = book.epoch().number;
    const auto revision = node.state().item(epochItemKey)->revision;
    watch.start(revision, Constants::EpochWatchLimit, [this, epoch](const auto &report) {
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

auto ContractDesk::Private::gather(const PendingPointer &pending, double missing) -> void
{
    const auto ask =
        book.makeTransferRequest(pending->customer, pending->requestId, missing, now());
    const std::string message = Protocol::encode(Contracts::toJson(ask));
    book.setWaiting(pending->customer, pending->requestId, true);
    std::vector<std::string> addresses;
    for (const auto &[entry, incarnation] : book.epoch().incarnations) {
        const std::string address = addressOf(entry);
        if (entry != node.settings().name && !address.empty())
            addresses.push_back(address);
    }
    pending->asksOpen = static_cast<int>(addresses.size());
    for (const auto &address : addresses) {
        node.channelTo(address).call(
            Protocol::Path::contractAsk, message,
            [this, pending, address](const std::string &answer) {
                takeTransfers(answer, address);
                tryAgain(pending);
            },
            [this, pending](Links::LinkOutcome) {
                --pending->asksOpen;
                tryAgain(pending);
            });
    }
    tryAgain(pending);
}

auto ContractDesk::Private::tryAgain(const PendingPointer &pending) -> void
{
    if (!pending->done)
        return;
    const auto result = book.retryCharge(pending->customer, pending->tokens, now());
    const bool isHopeless =
        result.status != ChargeResult::Status::InsufficientTokens || pending->asksOpen <= 0;
    if (isHopeless)
        finish(pending, result);
}

auto ContractDesk::Private::finish(const PendingPointer &pending, const ChargeResult &result)
    -> void
{
    const auto done = std::exchange(pending->done, nullptr);
    if (!done)
        return;
    book.setWaiting(pending->customer, pending->requestId, false);
    done(result);
}

auto ContractDesk::Private::takeTransfers(const std::string &message,
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

auto ContractDesk::Private::acknowledge(const std::vector<Transfer> &taken,
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

auto ContractDesk::Private::handleTransferRequest(
    const std::shared_ptr<Links::LinkExchange> &exchange) -> void
{
    const auto document = Protocol::decode(exchange->body());
    const auto ask = document ? Contracts::transferRequestFromJson(*document) : std::nullopt;
    json transfers = json::array();
    if (ask && node.mayAct()) {
        for (const auto &transfer : book.handleTransferRequest(*ask, now()))
            transfers.push_back(Contracts::toJson(transfer));
    }
    if (!transfers.empty())
        node.metrics().count("acacia_contract_transfers_total");
    exchange->send(Protocol::encode({{"transfers", transfers}}));
    exchange->finish();
}

auto ContractDesk::Private::takeGift(const std::shared_ptr<Links::LinkExchange> &exchange) -> void
{
    const auto document = Protocol::decode(exchange->body());
    const auto transfer = document ? Contracts::transferFromJson(*document) : std::nullopt;
    json numbers = json::array();
    if (transfer && book.handleTransfer(*transfer, now()))
        numbers.push_back(transfer->sequence);
    exchange->send(Protocol::encode({{"to", node.settings().name}, {"sequences", numbers}}));
    exchange->finish();
}

auto ContractDesk::Private::handleAcknowledgement(
    const std::shared_ptr<Links::LinkExchange> &exchange) -> void
{
    if (const auto document = Protocol::decode(exchange->body()))
        takeAcknowledgedNumbers(*document);
    exchange->finish();
}

auto ContractDesk::Private::takeAcknowledgedNumbers(const json &document) -> void
{
    if (!document.is_object())
        return;
    for (const auto &number : Utils::fieldOr(document, "sequences", std::vector<std::uint64_t>()))
        book.handleAcknowledgement(Utils::fieldOr(document, "to", ""), number);
}

auto ContractDesk::Private::resend() -> void
{
    for (const auto &transfer : book.unacknowledged()) {
        const std::string address = addressOf(transfer.to);
        if (address.empty())
            continue;
        const auto take = [this](const std::string &message) {
            if (const auto document = Protocol::decode(message))
                takeAcknowledgedNumbers(*document);
        };
        node.channelTo(address).call(Protocol::Path::contractGive,
                                     Protocol::encode(Contracts::toJson(transfer)), take,
                                     [](Links::LinkOutcome) {});
    }
}

ContractDesk::ContractDesk(Node::FleetNode &node, std::unique_ptr<Contracts::SharePolicy> policy)
    : d(std::make_unique<Private>(node, std::move(policy)))
{
    node.handle(Protocol::Path::contractAsk,
                [this](const auto &exchange) { d->handleTransferRequest(exchange); });
    node.handle(Protocol::Path::contractGive,
                [this](const auto &exchange) { d->takeGift(exchange); });
    node.handle(Protocol::Path::contractAcknowledge,
                [this](const auto &exchange) { d->handleAcknowledgement(exchange); });
    node.onChanged([this] { d->takeState(); });
    d->resendTimer = std::make_unique<Net::PeriodicTimer>(node.reactor(), Constants::ResendPeriod,
                                                          [this] { d->resend(); });
}

ContractDesk::~ContractDesk() = default;

auto ContractDesk::charge(const std::string &customer, const std::string &requestId, double tokens,
                          TimePoint deadline, ChargedCallback done) -> void
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
    const auto limit = std::min<Utils::Duration>(deadline - d->now(), Constants::GatherLimit);
    d->node.reactor().callAfter(limit, [this, pending] {
        pending->asksOpen = 0;
        d->tryAgain(pending);
    });
    d->gather(pending, result.missing);
}

auto ContractDesk::giveBack(const std::string &customer, double tokens) -> void
{
    if (tokens > 0)
        d->book.refund(customer, tokens, d->now());
}

auto ContractDesk::status() const -> json
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
