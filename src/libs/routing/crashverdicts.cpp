#include "crashverdicts.h"

#include "routingconstants.h"

#include <algorithm>

namespace Routing {

namespace {

constexpr size_t MaxVerdicts = 256;

} // namespace

auto CrashVerdicts::merge(const CrashVerdict &verdict, Utils::TimePoint now) -> bool
{
    const auto found = m_entries.find(verdict.feature);
    if (found != m_entries.end()) {
        CrashVerdict &known = found->second.verdict;
        known.crashes = std::max(known.crashes, verdict.crashes);
        known.trials = std::max(known.trials, verdict.trials);
        known.since = std::min(known.since, verdict.since);
        known.decidedAt = std::min(known.decidedAt, verdict.decidedAt);
        found->second.usedAt = now;
        return false;
    }
    if (m_entries.size() >= MaxVerdicts)
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second.usedAt < right.second.usedAt;
                                         }));
    m_entries[verdict.feature] = {verdict, now};
    return true;
}

auto CrashVerdicts::remove(const CrashFeature &feature) -> void
{
    m_entries.erase(feature);
}

auto CrashVerdicts::find(const CrashFeature &feature, Utils::TimePoint now) const
    -> const CrashVerdict *
{
    const auto found = m_entries.find(feature);
    if (found == m_entries.end() || now - found->second.usedAt > Constants::CrashRecordLifetime)
        return nullptr;
    return &found->second.verdict;
}

auto CrashVerdicts::noteUsed(const CrashFeature &feature, Utils::TimePoint now) -> void
{
    const auto found = m_entries.find(feature);
    if (found != m_entries.end())
        found->second.usedAt = now;
}

auto CrashVerdicts::isTrialDue(const CrashVerdict &verdict, Utils::TimePoint now) -> bool
{
    const auto trials = static_cast<size_t>(verdict.trials);
    return trials < Constants::TrialDelays.size()
        && now - verdict.decidedAt >= Constants::TrialDelays[trials];
}

auto CrashVerdicts::noteTrial(const CrashFeature &feature) -> void
{
    const auto found = m_entries.find(feature);
    if (found != m_entries.end())
        ++found->second.verdict.trials;
}

auto CrashVerdicts::newest(size_t maxCount) const -> std::vector<CrashVerdict>
{
    std::vector<Entry> entries;
    for (const auto &[feature, entry] : m_entries)
        entries.push_back(entry);
    std::sort(entries.begin(), entries.end(),
              [](const Entry &left, const Entry &right) { return left.usedAt > right.usedAt; });
    std::vector<CrashVerdict> verdicts;
    for (size_t i = 0; i < entries.size() && i < maxCount; ++i)
        verdicts.push_back(entries[i].verdict);
    return verdicts;
}

} // namespace Routing
