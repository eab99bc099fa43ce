#include "ratelimittable.h"

#include "gatewayconstants.h"

#include <algorithm>
#include <cmath>

namespace Gateway {

using Utils::TimePoint;

namespace {

/// Maximum number of servers whose limits are remembered; the least recently observed is dropped.
constexpr size_t MaxLimits = 4096;

} // namespace

auto rateAt(const RateLimit &limit, TimePoint now) -> double
{
    const double named = std::max(limit.perSecond, Constants::MinPermitRate);
    if (!limit.hasEnded)
        return named;
    const auto steps = (now - limit.observedAt) / Constants::RateLimitRampStep + 1;
    return std::ldexp(named, static_cast<int>(steps));
}

auto RateLimitTable::noteAnswer(const Observation &observation) -> bool
{
    const auto &[server, startedAtMs, perSecond, sentAt, observedAt] = observation;
    if (perSecond)
        return apply(server, {startedAtMs, *perSecond, false, observedAt});
    const RateLimit *known = find(server, startedAtMs);
    if (!known || known->hasEnded || sentAt <= known->observedAt)
        return false;
    return apply(server, {startedAtMs, known->perSecond, true, observedAt});
}

auto RateLimitTable::noteReport(const std::string &server, const RateLimit &limit) -> bool
{
    const auto known = m_limits.find(server);
    const bool endsNothing = limit.hasEnded
        && (known == m_limits.end() || known->second.startedAtMs != limit.startedAtMs);
    return !endsNothing && apply(server, limit);
}

auto RateLimitTable::apply(const std::string &server, const RateLimit &limit) -> bool
{
    const auto [entry, isNew] = m_limits.emplace(server, limit);
    if (isNew) {
        if (m_limits.size() > MaxLimits) {
            m_limits.erase(std::min_element(
                m_limits.begin(), m_limits.end(), [](const auto &left, const auto &right) {
                    return left.second.observedAt < right.second.observedAt;
                }));
        }
        return true;
    }
    RateLimit &known = entry->second;
    if (limit.startedAtMs < known.startedAtMs
        || (limit.startedAtMs == known.startedAtMs && limit.observedAt < known.observedAt))
        return false;
    const bool isChanged = limit.startedAtMs != known.startedAtMs
        || limit.perSecond != known.perSecond || limit.hasEnded != known.hasEnded;
    // The end of a limit keeps its time, from which the rate rises again.
    if (isChanged || !limit.hasEnded)
        known = limit;
    return isChanged;
}

auto RateLimitTable::find(const std::string &server, std::int64_t startedAtMs) const
    -> const RateLimit *
{
    const auto found = m_limits.find(server);
    return found == m_limits.end() || found->second.startedAtMs != startedAtMs ? nullptr
                                                                               : &found->second;
}

auto RateLimitTable::removeEnded(TimePoint time) -> void
{
    std::erase_if(m_limits, [time](const auto &item) {
        return item.second.hasEnded && item.second.observedAt < time;
    });
}

} // namespace Gateway
