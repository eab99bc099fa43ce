#include "contractbook.h"

#include "contractsconstants.h"

#include <algorithm>
#include <cmath>

namespace Contracts {

using Utils::TimePoint;

namespace {

/// This entry's slice of one customer's contract, and its use.
struct Holding
{
    Contract contract;
    Slice slice;
    SliceAmount lockedGain;
    double recentUse = 0; // Average demand of callers in tokens a second.
    TimePoint usedAt;
    std::set<std::string> waitingRequests;

    auto decayUse(TimePoint now) -> void
    {
        if (now <= usedAt)
            return;
        recentUse *= std::exp(-Utils::toSeconds(now - usedAt)
                              / Utils::toSeconds(Constants::RecentUseWindow));
        usedAt = now;
    }

    auto noteUse(double tokens, TimePoint now) -> void
    {
        decayUse(now);
        recentUse += tokens / Utils::toSeconds(Constants::RecentUseWindow);
    }
};

/// Sequence numbers of the applied transfers of one giver.
struct ReceivedSequences
{
    std::uint64_t contiguousUpTo = 0;
    std::set<std::uint64_t> outOfOrder;

    /// Returns false if the sequence number was inserted before.
    auto insert(std::uint64_t sequence) -> bool
    {
        if (sequence <= contiguousUpTo || !outOfOrder.insert(sequence).second)
            return false;
        while (outOfOrder.erase(contiguousUpTo + 1) > 0)
            ++contiguousUpTo;
        return true;
    }
};

auto retryAfterFor(double tokens, double rate) -> std::chrono::milliseconds
{
    const auto longest = std::chrono::milliseconds(Constants::MaxRetryAfter);
    if (rate <= 0)
        return longest;
    const double seconds = std::min(tokens / rate, Utils::toSeconds(longest));
    return std::chrono::ceil<std::chrono::milliseconds>(Utils::fromSeconds(seconds))
        + std::chrono::milliseconds(1);
}

} // namespace

struct ContractBook::Private
{
    std::string entry;
    std::string incarnation;
    std::unique_ptr<SharePolicy> policy;
    Epoch epoch;
    bool locked = false;
    std::map<std::string, Holding> holdings;
    std::map<std::string, std::uint64_t> nextSequence; // By receiver.
    std::vector<Transfer> outbox;
    std::map<std::string, ReceivedSequences> received; // By giver and its incarnation.

    auto find(const std::string &customer) -> Holding *
    {
        const auto found = holdings.find(customer);
        return found == holdings.end() ? nullptr : &found->second;
    }

    auto baseOf(const std::string &customer, const Contract &contract) const -> SliceAmount
    {
        if (!epoch.includes(entry, incarnation))
            return {};
        const double share = epoch.baseShare(customer, entry);
        return {contract.rate * share, contract.burst * share, 0};
    }

    auto rebase(const std::string &customer, Holding &holding, const Contract &contract,
                TimePoint now) -> void;
};

/// Lowers the slice to the new base share at once; any increase becomes a locked gain.
auto ContractBook::Private::rebase(const std::string &customer, Holding &holding,
                                   const Contract &contract, TimePoint now) -> void
{
    const SliceAmount base = baseOf(customer, contract);
    holding.contract = contract;
    holding.slice.limitTo(base.rate, base.capacity, now);
    const SliceAmount held = holding.slice.amount(now);
    holding.lockedGain = {base.rate - held.rate, base.capacity - held.capacity, 0};
}

ContractBook::ContractBook(std::string entry, std::string incarnation,
                           std::unique_ptr<SharePolicy> policy)
    : d(std::make_unique<Private>())
{
    d->entry = std::move(entry);
    d->incarnation = std::move(incarnation);
    d->policy = std::move(policy);
}

ContractBook::ContractBook(ContractBook &&) noexcept = default;

ContractBook::~ContractBook() = default;

auto ContractBook::update(const Epoch &epoch, TimePoint now) -> void
{
    if (epoch.number <= d->epoch.number)
        return;
    d->epoch = epoch;
    d->locked = true;
    d->outbox.clear();
    for (auto at = d->holdings.begin(); at != d->holdings.end();)
        at = epoch.contracts.count(at->first) > 0 ? std::next(at) : d->holdings.erase(at);
    for (const auto &[customer, contract] : epoch.contracts) {
        const auto [found, isNew] = d->holdings.try_emplace(customer);
        if (isNew)
            found->second.slice = Slice({}, now);
        d->rebase(customer, found->second, contract, now);
    }
}

auto ContractBook::epoch() const -> const Epoch &
{
    return d->epoch;
}

auto ContractBook::hasLockedGains() const -> bool
{
    return d->locked;
}

auto ContractBook::unlockGains(std::uint64_t epoch, TimePoint now) -> void
{
    if (!d->locked || epoch != d->epoch.number)
        return;
    d->locked = false;
    for (auto &[customer, holding] : d->holdings) {
        holding.slice.merge({holding.lockedGain.rate, holding.lockedGain.capacity, 0}, now);
        holding.lockedGain = {};
    }
}

auto ContractBook::charge(const std::string &customer, double tokens, TimePoint now) -> ChargeResult
{
    if (Holding *holding = d->find(customer))
        holding->noteUse(tokens, now);
    return retryCharge(customer, tokens, now);
}

auto ContractBook::retryCharge(const std::string &customer, double tokens, TimePoint now)
    -> ChargeResult
{
    Holding *holding = d->find(customer);
    if (!holding)
        return {};
    if (tokens > holding->contract.burst)
        return {ChargeResult::Status::LargerThanContract, tokens - holding->contract.burst, {}};
    if (holding->slice.spend(tokens, now))
        return {ChargeResult::Status::Charged, 0, {}};
    const double missing = tokens - holding->slice.amount(now).level;
    return {ChargeResult::Status::InsufficientTokens, missing,
            retryAfterFor(missing, holding->contract.rate)};
}

auto ContractBook::refund(const std::string &customer, double tokens, TimePoint now) -> void
{
    if (Holding *holding = d->find(customer))
        holding->slice.refund(tokens, now);
}

auto ContractBook::held(const std::string &customer, TimePoint now) -> SliceAmount
{
    Holding *holding = d->find(customer);
    return holding ? holding->slice.amount(now) : SliceAmount();
}

auto ContractBook::makeTransferRequest(const std::string &customer, const std::string &requestId,
                                       double missing, TimePoint now) -> TransferRequest
{
    TransferRequest request{d->entry, d->incarnation, d->epoch.number, customer, requestId, missing,
                            0};
    if (Holding *holding = d->find(customer)) {
        holding->decayUse(now);
        request.recentUse = holding->recentUse;
    }
    return request;
}

auto ContractBook::setWaiting(const std::string &customer, const std::string &requestId,
                              bool isWaiting) -> void
{
    Holding *holding = d->find(customer);
    if (!holding)
        return;
    if (isWaiting)
        holding->waitingRequests.insert(requestId);
    else
        holding->waitingRequests.erase(requestId);
}

auto ContractBook::handleTransferRequest(const TransferRequest &request, TimePoint now)
    -> std::vector<Transfer>
{
    Holding *holding = d->find(request.customer);
    if (holding && request.epoch == d->epoch.number && request.from != d->entry) {
        const auto &waiting = holding->waitingRequests;
        const bool isOldest = waiting.empty() || request.requestId < *waiting.begin();
        holding->decayUse(now);
        const auto held = holding->slice.amount(now);
        const auto wanted =
            isOldest ? d->policy->transferAmount(request, held, holding->recentUse) : SliceAmount();
        const auto part = holding->slice.split(wanted, now);
        if (part.level > Constants::TokenResidue || part.rate > Constants::TokenResidue) {
            const std::uint64_t sequence = ++d->nextSequence[request.from];
            d->outbox.push_back({d->entry, d->incarnation, request.from, request.fromIncarnation,
                                 d->epoch.number, sequence, request.customer, part});
        } else {
            holding->slice.merge(part, now);
        }
    }
    std::vector<Transfer> due;
    std::copy_if(d->outbox.begin(), d->outbox.end(), std::back_inserter(due),
                 [&request](const auto &transfer) { return transfer.to == request.from; });
    return due;
}

auto ContractBook::handleTransfer(const Transfer &transfer, TimePoint now) -> bool
{
    if (transfer.to != d->entry || transfer.toIncarnation != d->incarnation
        || transfer.epoch > d->epoch.number)
        return false;
    const bool isFirst =
        d->received[transfer.from + "\n" + transfer.fromIncarnation].insert(transfer.sequence);
    Holding *holding = d->find(transfer.customer);
    // Parts of an older epoch are dropped: the new base slices already add up to the contract.
    if (isFirst && holding && transfer.epoch == d->epoch.number)
        holding->slice.merge(transfer.amount, now);
    return true;
}

auto ContractBook::handleAcknowledgement(const std::string &to, std::uint64_t sequence) -> void
{
    const auto matches = [&](const auto &transfer) {
        return transfer.to == to && transfer.sequence == sequence;
    };
    d->outbox.erase(std::remove_if(d->outbox.begin(), d->outbox.end(), matches), d->outbox.end());
}

auto ContractBook::unacknowledged() const -> std::vector<Transfer>
{
    return d->outbox;
}

} // namespace Contracts
