#include "keepwarmpolicy.h"

#include "placementconstants.h"

#include <algorithm>
#include <vector>

namespace Placement {

namespace {

/// Share of the past gaps that the limit should cover, and the margin on top.
constexpr double coveredGaps = 0.9;
constexpr double margin = 1.25;

} // namespace

FixedKeepWarmPolicy::FixedKeepWarmPolicy(Utils::Duration limit)
    : m_limit(limit)
{ }

auto FixedKeepWarmPolicy::idleLimit(const std::deque<Utils::Duration> &) const -> Utils::Duration
{
    return m_limit;
}

HistoryKeepWarmPolicy::HistoryKeepWarmPolicy(Utils::Duration shortest, Utils::Duration longest)
    : m_shortest(shortest)
    , m_longest(longest)
{ }

auto HistoryKeepWarmPolicy::idleLimit(const std::deque<Utils::Duration> &gaps) const
    -> Utils::Duration
{
    if (gaps.empty())
        return m_longest / 2;
    std::vector<Utils::Duration> sorted(gaps.begin(), gaps.end());
    std::sort(sorted.begin(), sorted.end());
    const auto at = static_cast<size_t>(coveredGaps * static_cast<double>(sorted.size() - 1));
    // Keeping warm for less than the gap to come costs idle hours and saves no cold start.
    if (sorted[at] > m_longest)
        return m_shortest;
    const auto limit = Utils::fromSeconds(Utils::toSeconds(sorted[at]) * margin);
    return std::clamp(limit, m_shortest, m_longest);
}

auto makeKeepWarmPolicy(const std::string &name) -> std::unique_ptr<KeepWarmPolicy>
{
    if (name == "history")
        return std::make_unique<HistoryKeepWarmPolicy>(Constants::ShortestKeepWarm,
                                                       Constants::LongestKeepWarm);
    if (name == "fixed")
        return std::make_unique<FixedKeepWarmPolicy>(Constants::FixedKeepWarm);
    return nullptr;
}

} // namespace Placement
