#pragma once

#include "configuration.h"

#include <utils/timepoint.h>

#include <map>
#include <string>
#include <vector>

namespace Gateway {

/// Tokens of a customer that are missing here and requested from other gateways.
struct QuotaRequest
{
    std::string customer;
    double amount = 0;
    int gateways = 0; ///< Number of gateways to ask, as each can spare little.
};

/// How far the platform lets a customer exceed its contract in any window.
struct QuotaTolerance
{
    Utils::Duration window{0};
    double share = 0; ///< Fraction of what the contract allows in the window.
};

/// Keeps this gateway's part of each customer's rate and burst in token buckets. The parts of all
/// gateways add up to the contract. Unused tokens are transferred as grants; the granting gateway
/// deducts them before it sends the grant, so that lost messages or gateways never create tokens.
class QuotaLedger
{
public:
    /// A gateway that starts while others run does not know the previous levels of its buckets; it
    /// starts with a fraction of the tolerance.
    explicit QuotaLedger(bool startsFull, QuotaTolerance tolerance = {});

    auto configure(const std::vector<Customer> &customers, Utils::TimePoint now) -> void;
    auto setGatewayCount(int count, Utils::TimePoint now) -> void;
    /// Records that the number of gateways was confirmed. Parts are refilled only for a limited
    /// time after a confirmation, so that other gateways may take over the part of a gateway that
    /// is gone or cut off.
    auto confirmParts(Utils::TimePoint now) -> void;

    /// Deducts a request's tokens if they are available, and records them as missing otherwise.
    auto tryConsume(const std::string &customer, double amount, Utils::TimePoint now) -> bool;
    /// Returns the tokens of a request that did not run.
    auto refund(const std::string &customer, double amount, Utils::TimePoint now) -> void;
    /// Reserves `amount` for a retry of a refused request and returns the time until it is
    /// refilled, counting earlier reservations.
    auto reserveForRetry(const std::string &customer, double amount, Utils::TimePoint now)
        -> Utils::Duration;

    /// Returns the tokens to request from other gateways now, before requests have to be refused.
    /// Requests for one customer are spaced by an interval.
    auto makeRequests(Utils::TimePoint now) -> std::vector<QuotaRequest>;
    /// Deducts and returns the part of `amount` that can be spared for another gateway.
    auto lend(const std::string &customer, double amount, Utils::TimePoint now) -> double;
    auto addGrant(const std::string &customer, double amount, Utils::TimePoint now) -> void;

    auto costOf(const Customer &customer, bool hasTokenCount, double tokens) const -> double;

private:
    struct Bucket
    {
        double rate = 0; ///< Rate of the whole contract, per second.
        double burst = 0;
        double level = 0;
        double reserved = 0; ///< Reserved for refused requests that were given a Retry-After.
        double borrowed = 0; ///< Tokens from grants that may exceed the own part of the burst.
        Utils::TimePoint refilledAt;
        double missing = 0;
        Utils::TimePoint requestedAt;
        double requested = 0; ///< By the last request, and granted in reply to it.
        double received = 0;
        int unsuccessfulRequests = 0; ///< Consecutive requests that were granted next to nothing.
    };

    auto refill(Bucket &bucket, Utils::TimePoint now) const -> void;

    auto initialLevel(const Customer &customer) const -> double;

    bool m_startsFull;
    QuotaTolerance m_tolerance;
    int m_gatewayCount = 1;
    Utils::TimePoint m_confirmedAt =
        Utils::TimePoint::max(); ///< No limit until the first confirmation.
    std::map<std::string, Bucket> m_buckets;
};

} // namespace Gateway
