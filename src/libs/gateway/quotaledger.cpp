#include "quotaledger.h"

#include "gatewayconstants.h"

#include <algorithm>
#include <cmath>

namespace Gateway {

using Utils::TimePoint;

namespace {

/// Part of the own bucket that is kept when others ask for tokens.
constexpr double KeptShare = 0.2;
/// Part of the own bucket under which others are asked, and up to which.
constexpr double LowShare = 0.4;
constexpr double AskedShare = 0.8;
constexpr std::chrono::milliseconds AskPause(100);
/// The same while a request waits for the answers.
constexpr std::chrono::milliseconds UrgentAskPause(10);
/// Part of its bucket that a gateway is expected to spare, and bounds on how many are asked.
constexpr double ExpectedSpareShare = 0.2;
constexpr double LeastAskedGateways = 3;
constexpr double MostAskedGateways = 32;
constexpr int MostDoublings = 5;
/// A question that brings less of what was asked for shows that there is little left.
constexpr double FruitfulShare = 0.1;
/// Longest pause between questions that bring nothing.
constexpr std::chrono::milliseconds LongestAskPause(400);
/// Part of the own bucket that a request must find at most; what it counts beyond that is debt.
constexpr double LargestPrepaidShare = 0.5;

} // namespace

QuotaLedger::QuotaLedger(bool beginsFull, QuotaTolerance tolerance)
    : m_beginsFull(beginsFull)
    , m_tolerance(tolerance)
{ }

auto QuotaLedger::firstLevel(const Customer &customer) const -> double
{
    if (m_beginsFull)
        return customer.burst / m_gateways;
    const double allowed =
        customer.ratePerSecond * Utils::toSeconds(m_tolerance.window) + customer.burst;
    const double spare = allowed * m_tolerance.share * Constants::RestartToleranceShare;
    return std::min(spare, customer.burst) / m_gateways;
}

auto QuotaLedger::confirmParts(TimePoint now) -> void
{
    // What grew until now belongs to the confirmation before.
    for (auto &[name, bucket] : m_buckets)
        refill(bucket, now);
    m_confirmedAt = now;
}

auto QuotaLedger::configure(const std::vector<Customer> &customers, TimePoint now) -> void
{
    // What a gateway read when it started counts as the first confirmation.
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
            bucket.level = firstLevel(customer);
            bucket.filledAt = now;
        }
        bucket.rate = customer.ratePerSecond;
        bucket.burst = customer.burst;
        bucket.level = std::min(bucket.level, bucket.burst / m_gateways + bucket.borrowed);
        next.emplace(customer.name, bucket);
    }
    m_buckets = std::move(next);
}

auto QuotaLedger::setGateways(int count, TimePoint now) -> void
{
    if (count < 1 || count == m_gateways)
        return;
    for (auto &[name, bucket] : m_buckets)
        refill(bucket, now);
    m_gateways = count;
    for (auto &[name, bucket] : m_buckets)
        bucket.level = std::min(bucket.level, bucket.burst / m_gateways + bucket.borrowed);
}

auto QuotaLedger::refill(Bucket &bucket, TimePoint now) const -> void
{
    const double part = bucket.burst / m_gateways;
    const TimePoint growsUntil =
        m_gateways == 1 ? now : std::min(now, m_confirmedAt + Constants::QuotaPartLifetime);
    const auto growing = std::max(growsUntil - bucket.filledAt, Utils::Duration::zero());
    const double grown = bucket.rate / m_gateways * Utils::toSeconds(growing);
    bucket.filledAt = now;
    bucket.promised = std::max(0.0, bucket.promised - grown);
    bucket.borrowed = std::clamp(bucket.level, 0.0, bucket.borrowed);
    bucket.level = std::max(bucket.level, std::min(bucket.level + grown, part + bucket.borrowed));
}

auto QuotaLedger::take(const std::string &customer, double amount, TimePoint now) -> bool
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end())
        return true;
    Bucket &bucket = found->second;
    refill(bucket, now);
    // A request larger than the own part of the burst would never pass; it goes into debt instead,
    // which the next refills pay off.
    const double needed = std::min(amount, LargestPrepaidShare * bucket.burst / m_gateways);
    if (bucket.level >= needed && bucket.level > 0) {
        bucket.level -= amount;
        return true;
    }
    bucket.wanted += amount;
    return false;
}

auto QuotaLedger::giveBack(const std::string &customer, double amount, TimePoint now) -> void
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end())
        return;
    refill(found->second, now);
    found->second.level += amount;
}

auto QuotaLedger::promise(const std::string &customer, double amount, TimePoint now)
    -> Utils::Duration
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end() || found->second.rate <= 0)
        return Utils::Duration::zero();
    Bucket &bucket = found->second;
    refill(bucket, now);
    bucket.promised += amount;
    const double lack = std::max(0.0, bucket.promised - bucket.level);
    return Utils::fromSeconds(lack / (bucket.rate / m_gateways));
}

auto QuotaLedger::takeWants(TimePoint now) -> std::vector<QuotaWant>
{
    std::vector<QuotaWant> wants;
    for (auto &[name, bucket] : m_buckets) {
        refill(bucket, now);
        const double part = bucket.burst / m_gateways;
        // A customer beyond its contract has nothing left anywhere: it is asked for less and less.
        const int doublings = std::min(bucket.fruitless, MostDoublings);
        const auto pause = bucket.wanted > 0
            ? std::min(UrgentAskPause * (1 << doublings), LongestAskPause)
            : std::min(AskPause * (1 << doublings), LongestAskPause);
        if ((bucket.level >= LowShare * part && bucket.wanted <= 0) || now - bucket.askedAt < pause)
            continue;
        bucket.askedAt = now;
        bucket.fruitless = bucket.brought < FruitfulShare * bucket.asked ? bucket.fruitless + 1 : 0;
        const double amount = AskedShare * part - bucket.level + bucket.wanted;
        bucket.asked = amount;
        bucket.brought = 0;
        const double asked = part > 0 ? std::ceil(amount / (ExpectedSpareShare * part)) : 0;
        const double most = MostAskedGateways / (1 << doublings);
        wants.push_back({name, amount,
                         static_cast<int>(std::clamp(asked, LeastAskedGateways,
                                                     std::max(most, LeastAskedGateways)))});
        bucket.wanted = 0;
    }
    return wants;
}

auto QuotaLedger::spare(const std::string &customer, double amount, TimePoint now) -> double
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end())
        return 0;
    Bucket &bucket = found->second;
    refill(bucket, now);
    const double kept = KeptShare * bucket.burst / m_gateways;
    const double given = std::clamp(bucket.level - kept, 0.0, amount);
    bucket.level -= given;
    return given;
}

auto QuotaLedger::receive(const std::string &customer, double amount, TimePoint now) -> void
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end())
        return;
    refill(found->second, now);
    found->second.level += amount;
    found->second.borrowed += amount;
    found->second.brought += amount;
}

auto QuotaLedger::costOf(const Customer &customer, bool namesTokens, double tokens) const -> double
{
    if (!customer.countsTokens)
        return 1;
    return namesTokens ? tokens : customer.plainTokens;
}

} // namespace Gateway
