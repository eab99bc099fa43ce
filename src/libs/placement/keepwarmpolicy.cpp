#include "keepwarmpolicy.h"

#include "placementconstants.h"

#include <algorithm>
#include <vector>

namespace Placement {

namespace {

/// Share of the past gaps that the idle limit covers, and the factor added as a margin.
constexpr double coveredGapShare = 0.9;
constexpr double safetyMargin = 1.25;

} // namespace

FixedKeepWarmPolicy::FixedKeepWarmPolicy(Utils::Duration limit)
    : m_limit(limit)
{ }

auto FixedKeepWarmPolicy::idleLimit(const std::deque<Utils::Duration> &) const -> Utils::Duration
{
    return m_limit;
}

HistoryKeepWarmPolicy::HistoryKeepWarmPolicy(Utils::Duration minimum, Utils::Duration maximum)
    : m_minimum(minimum)
    , m_maximum(maximum)
{ }

auto HistoryKeepWarmPolicy::idleLimit(const std::deque<Utils::Duration> &gaps) const
    -> Utils::Duration
{
    if (gaps.empty())
        return m_maximum / 2;
    std::vector<Utils::Duration> sorted(gaps.begin(), gaps.end());
    std::sort(sorted.begin(), sorted.end());
    const auto at = static_cast<size_t>(coveredGapShare * static_cast<double>(sorted.size() - 1));
    // An idle limit shorter than the next gap occupies memory and saves no cold start.
    if (sorted[at] > m_maximum)
        return m_minimum;
    const auto limit = Utils::fromSeconds(Utils::toSeconds(sorted[at]) * safetyMargin);
    return std::clamp(limit, m_minimum, m_maximum);
}

auto makeKeepWarmPolicy(const std::string &name) -> std::unique_ptr<KeepWarmPolicy>
{
    if (name == "history")
        return std::make_unique<HistoryKeepWarmPolicy>(Constants::MinKeepWarm,
                                                       Constants::MaxKeepWarm);
    if (name == "fixed")
        return std::make_unique<FixedKeepWarmPolicy>(Constants::FixedKeepWarm);
    return nullptr;
}

} // namespace Placement
