#pragma once

#include <contracts/epoch.h>
#include <contracts/sharepolicy.h>
#include <contracts/slice.h>
#include <contracts/transfer.h>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Contracts {

/// Result of a charge.
struct ChargeResult
{
    enum class Status { Charged, InsufficientTokens, LargerThanContract, NoContract };
    Status status = Status::NoContract;
    double missing = 0; ///< Missing tokens, if the status is InsufficientTokens.
    std::chrono::milliseconds retryAfter{0};
};

/// One entry's slices of all contracts. Deterministic and without I/O; the caller sends and
/// receives its messages.
class ContractBook
{
public:
    ContractBook(std::string entry, std::string incarnation, std::unique_ptr<SharePolicy> policy);
    ContractBook(ContractBook &&) noexcept;
    ~ContractBook();

    /// Applies a newer epoch; what this entry gains by it stays locked until `unlockGains`.
    auto update(const Epoch &epoch, Utils::TimePoint now) -> void;
    auto epoch() const -> const Epoch &;
    auto hasLockedGains() const -> bool;
    /// Must be called only after every entry of the earlier epoch is known to have left it.
    auto unlockGains(std::uint64_t epoch, Utils::TimePoint now) -> void;

    auto charge(const std::string &customer, double tokens, Utils::TimePoint now) -> ChargeResult;
    /// Retries a charge that lacked tokens.
    auto retryCharge(const std::string &customer, double tokens, Utils::TimePoint now)
        -> ChargeResult;
    /// Returns unused tokens of a charge.
    auto refund(const std::string &customer, double tokens, Utils::TimePoint now) -> void;
    auto held(const std::string &customer, Utils::TimePoint now) -> SliceAmount;

    /// Returns the request to send to peers for a charge that lacked tokens.
    auto makeTransferRequest(const std::string &customer, const std::string &requestId,
                             double missing, Utils::TimePoint now) -> TransferRequest;
    /// Marks whether a request of this entry waits for tokens. While one waits, this entry gives
    /// tokens only to older requests.
    auto setWaiting(const std::string &customer, const std::string &requestId, bool isWaiting)
        -> void;
    /// Splits off the requester's part and returns all transfers to the requester that it has not
    /// acknowledged yet, oldest first.
    auto handleTransferRequest(const TransferRequest &request, Utils::TimePoint now)
        -> std::vector<Transfer>;
    /// Returns whether the transfer was handled and may be acknowledged.
    auto handleTransfer(const Transfer &transfer, Utils::TimePoint now) -> bool;
    auto handleAcknowledgement(const std::string &to, std::uint64_t sequence) -> void;
    auto unacknowledged() const -> std::vector<Transfer>;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Contracts
