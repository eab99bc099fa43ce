#include "quotaledger.h"

#include "gatewayconstants.h"

#include <algorithm>
#include <cmath>

namespace Gateway {

using Utils::TimePoint;

namespace {

/// Fraction of the own bucket that is kept when other gateways request tokens.
constexpr double KeptShare = 0.2;
/// Level, as a fraction of the own bucket, below which tokens are requested from other gateways,
/// and the level to reach with them.
constexpr double LowShare = 0.4;
constexpr double RequestedShare = 0.8;
constexpr std::chrono::milliseconds RequestInterval(100);
/// The same interval while a request waits for the grants.
constexpr std::chrono::milliseconds UrgentRequestInterval(10);
/// Fraction of its bucket that a gateway is expected to spare, and bounds on the number of gateways
/// that are asked.
constexpr double ExpectedSpareShare = 0.2;
constexpr double MinAskedGateways = 3;
constexpr double MaxAskedGateways = 32;
constexpr int MaxIntervalDoublings = 5;
/// A request that is granted less than this fraction shows that few tokens are left.
constexpr double MinGrantedShare = 0.1;
/// Longest interval between requests that are granted nothing.
constexpr std::chrono::milliseconds MaxRequestInterval(400);
/// Upper bound, as a fraction of the own bucket, on the level that a request needs; the rest of its
/// cost becomes debt.
constexpr double LargestPrepaidShare = 0.5;

} // namespace

QuotaLedger::QuotaLedger(bool startsFull, QuotaTolerance tolerance)
    : m_startsFull(startsFull)
    , m_tolerance(tolerance)
{ }

auto QuotaLedger::initialLevel(const Customer &customer) const -> double
{
    if (m_startsFull)
        return customer.burst / m_gatewayCount;
    const double allowed =
        customer.ratePerSecond * Utils::toSeconds(m_tolerance.window) + customer.burst;
    const double initial = allowed * m_tolerance.share * Constants::RestartToleranceShare;
    return std::min(initial, customer.burst) / m_gatewayCount;
}

auto QuotaLedger::confirmParts(TimePoint now) -> void
{
    // Tokens refilled until now belong to the previous confirmation.
    for (auto &[name, bucket] : m_buckets)
        refill(bucket, now);
    m_confirmedAt = now;
}

auto QuotaLedger::configure(const std::vector<Customer> &customers, TimePoint now) -> void
{
    // The configuration that a gateway reads when it starts counts as the first confirmation.
    m_confirmedAt = std::min(m_confirmedAt, now);
    std::map<std::string, Bucket> next;
    for (const Customer &customer : customers) {
        if (customer.ratePerSecond <= 0)
            continue;
        const auto old = m_buckets.find(customer.name);
        Bucket bucket;
        if (old != m_buckets.end()) {
            bucket = old->second;
            refill(bucket, now);
        } else {
            bucket.level = initialLevel(customer);
            bucket.refilledAt = now;
        }
        bucket.rate = customer.ratePerSecond;
        bucket.burst = customer.burst;
        bucket.level = std::min(bucket.level, bucket.burst / m_gatewayCount + bucket.borrowed);
        next.emplace(customer.name, bucket);
    }
    m_buckets = std::move(next);
}

auto QuotaLedger::setGatewayCount(int count, TimePoint now) -> void
{
    if (count < 1 || count == m_gatewayCount)
        return;
    for (auto &[name, bucket] : m_buckets)
        refill(bucket, now);
    m_gatewayCount = count;
    for (auto &[name, bucket] : m_buckets)
        bucket.level = std::min(bucket.level, bucket.burst / m_gatewayCount + bucket.borrowed);
}

auto QuotaLedger::refill(Bucket &bucket, TimePoint now) const -> void
{
    const double share = bucket.burst / m_gatewayCount;
    const TimePoint growsUntil =
        m_gatewayCount == 1 ? now : std::min(now, m_confirmedAt + Constants::QuotaPartLifetime);
    const auto growing = std::max(growsUntil - bucket.refilledAt, Utils::Duration::zero());
    const double grown = bucket.rate / m_gatewayCount * Utils::toSeconds(growing);
    bucket.refilledAt = now;
    bucket.reserved = std::max(0.0, bucket.reserved - grown);
    bucket.borrowed = std::clamp(bucket.level, 0.0, bucket.borrowed);
    bucket.level = std::max(bucket.level, std::min(bucket.level + grown, share + bucket.borrowed));
}

auto QuotaLedger::tryConsume(const std::string &customer, double amount, TimePoint now) -> bool
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end())
        return true;
    Bucket &bucket = found->second;
    refill(bucket, now);
    // A request larger than the own part of the burst would never pass; its cost may become debt
    // instead, which the next refills pay off.
    const double needed = std::min(amount, LargestPrepaidShare * bucket.burst / m_gatewayCount);
    if (bucket.level >= needed && bucket.level > 0) {
        bucket.level -= amount;
        return true;
    }
    bucket.missing += amount;
    return false;
}

auto QuotaLedger::refund(const std::string &customer, double amount, TimePoint now) -> void
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end())
        return;
    refill(found->second, now);
    found->second.level += amount;
}

auto QuotaLedger::reserveForRetry(const std::string &customer, double amount, TimePoint now)
    -> Utils::Duration
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end() || found->second.rate <= 0)
        return Utils::Duration::zero();
    Bucket &bucket = found->second;
    refill(bucket, now);
    bucket.reserved += amount;
    const double lack = std::max(0.0, bucket.reserved - bucket.level);
    return Utils::fromSeconds(lack / (bucket.rate / m_gatewayCount));
}

auto QuotaLedger::makeRequests(TimePoint now) -> std::vector<QuotaRequest>
{
    std::vector<QuotaRequest> requests;
    for (auto &[name, bucket] : m_buckets) {
        refill(bucket, now);
        const double share = bucket.burst / m_gatewayCount;
        // No gateway has tokens left for a customer beyond its contract, so the requests become
        // rarer.
        const int doublings = std::min(bucket.unsuccessfulRequests, MaxIntervalDoublings);
        const auto interval = bucket.missing > 0
            ? std::min(UrgentRequestInterval * (1 << doublings), MaxRequestInterval)
            : std::min(RequestInterval * (1 << doublings), MaxRequestInterval);
        if ((bucket.level >= LowShare * share && bucket.missing <= 0)
            || now - bucket.requestedAt < interval)
            continue;
        bucket.requestedAt = now;
        bucket.unsuccessfulRequests = bucket.received < MinGrantedShare * bucket.requested
            ? bucket.unsuccessfulRequests + 1
            : 0;
        const double amount = RequestedShare * share - bucket.level + bucket.missing;
        bucket.requested = amount;
        bucket.received = 0;
        const double requested = share > 0 ? std::ceil(amount / (ExpectedSpareShare * share)) : 0;
        const double maxGateways = MaxAskedGateways / (1 << doublings);
        requests.push_back({name, amount,
                            static_cast<int>(std::clamp(requested, MinAskedGateways,
                                                        std::max(maxGateways, MinAskedGateways)))});
        bucket.missing = 0;
    }
    return requests;
}

auto QuotaLedger::lend(const std::string &customer, double amount, TimePoint now) -> double
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end())
        return 0;
    Bucket &bucket = found->second;
    refill(bucket, now);
    const double kept = KeptShare * bucket.burst / m_gatewayCount;
    const double granted = std::clamp(bucket.level - kept, 0.0, amount);
    bucket.level -= granted;
    return granted;
}

auto QuotaLedger::addGrant(const std::string &customer, double amount, TimePoint now) -> void
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end())
        return;
    Bucket &bucket = found->second;
    refill(bucket, now);
    const double granted = std::min(amount, bucket.burst);
    bucket.level += granted;
    bucket.borrowed += granted;
    bucket.received += granted;
}

auto QuotaLedger::costOf(const Customer &customer, bool hasTokenCount, double tokens) const
    -> double
{
    if (!customer.countsTokens)
        return 1;
    return hasTokenCount ? tokens : customer.plainTokens;
}

} // namespace Gateway
