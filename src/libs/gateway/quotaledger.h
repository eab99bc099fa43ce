#pragma once

#include "configuration.h"

#include <utils/timepoint.h>

#include <map>
#include <string>
#include <vector>

namespace Gateway {

/// Tokens that a customer lacks here for requests that wait.
struct QuotaRequest
{
    std::string customer;
    double amount = 0;
    int gateways = 0; ///< How many to ask, as each has little to spare.
};

/// By how much the platform lets a customer exceed its contract in any window.
struct QuotaTolerance
{
    Utils::Duration window{0};
    double share = 0; ///< Of what the contract allows in the window.
};

/// This gateway's part of each customer's rate and burst. All gateways' parts together make up the
/// contract; unused tokens move between them as grants, which the giver deducts before it sends
/// them, so that no loss of messages or gateways can make more of them than there are.
class QuotaLedger
{
public:
    /// A gateway that starts while others run does not know what was left of its parts; it begins
    /// with a share of the tolerance.
    explicit QuotaLedger(bool beginsFull, QuotaTolerance tolerance = {});

    auto configure(const std::vector<Customer> &customers, Utils::TimePoint now) -> void;
    auto setGatewayCount(int count, Utils::TimePoint now) -> void;
    /// The number of gateways was confirmed. Parts grow for a while after that only, so that others
    /// may take over the part of a gateway that is gone, or cut off.
    auto confirmParts(Utils::TimePoint now) -> void;

    /// Takes a request's tokens if they are there, and notes the lack otherwise.
    auto tryConsume(const std::string &customer, double amount, Utils::TimePoint now) -> bool;
    /// Gives back what a request took that did not run.
    auto refund(const std::string &customer, double amount, Utils::TimePoint now) -> void;
    /// Time until `amount` will have grown here, after what others were told to come back for.
    auto reserveForRetry(const std::string &customer, double amount, Utils::TimePoint now)
        -> Utils::Duration;

    /// What should be asked of other gateways now, before requests have to be refused; each
    /// customer's tokens are asked for with a pause between.
    auto makeRequests(Utils::TimePoint now) -> std::vector<QuotaRequest>;
    /// Deducts and returns what can be spared of `amount` for another gateway.
    auto lend(const std::string &customer, double amount, Utils::TimePoint now) -> double;
    auto addGrant(const std::string &customer, double amount, Utils::TimePoint now) -> void;

    auto costOf(const Customer &customer, bool hasTokenCount, double tokens) const -> double;

private:
    struct Bucket
    {
        double rate = 0; ///< Whole contract, a second.
        double burst = 0;
        double level = 0;
        double reserved = 0; ///< Asked for by those who were told when to come back.
        double borrowed = 0; ///< Received above the own part of the burst.
        Utils::TimePoint refilledAt;
        double missing = 0;
        Utils::TimePoint requestedAt;
        double requested = 0; ///< By the last question, and what it has brought.
        double received = 0;
        int fruitlessRequests = 0; ///< Questions in a row that brought next to nothing.
    };

    auto refill(Bucket &bucket, Utils::TimePoint now) const -> void;

    auto initialLevel(const Customer &customer) const -> double;

    bool m_beginsFull;
    QuotaTolerance m_tolerance;
    int m_gatewayCount = 1;
    Utils::TimePoint m_confirmedAt = Utils::TimePoint::max(); ///< Until the first confirmation.
    std::map<std::string, Bucket> m_buckets;
};

} // namespace Gateway
