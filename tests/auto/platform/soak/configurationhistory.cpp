#include "configurationhistory.h"

namespace Soak {

using Utils::TimePoint;

namespace {

/// Changes that count as recent ones.
constexpr size_t MaxRecentChanges = 12;

} // namespace

auto ConfigurationHistory::note(const std::string &name, bool isPresent, TimePoint now) -> void
{
    if (!isListed(name))
        m_names.push_back(name);
    Entry &entry = m_entries[name];
    entry = {isPresent, entry.wasRemoved || !isPresent, now};
    m_recentChanges.push_back(name);
    if (m_recentChanges.size() > MaxRecentChanges)
        m_recentChanges.pop_front();
}

auto ConfigurationHistory::since(const std::string &name, bool isPresent) const
    -> std::optional<TimePoint>
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end() || found->second.isPresent != isPresent)
        return {};
    return found->second.since;
}

auto ConfigurationHistory::presentSince(const std::string &name) const -> std::optional<TimePoint>
{
    return since(name, true);
}

auto ConfigurationHistory::neverRemovedSince(const std::string &name) const
    -> std::optional<TimePoint>
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end() || found->second.wasRemoved)
        return {};
    return found->second.since;
}

auto ConfigurationHistory::removedSince(const std::string &name) const -> std::optional<TimePoint>
{
    return since(name, false);
}

auto ConfigurationHistory::pick(std::mt19937_64 &random) const -> std::string
{
    if (m_names.empty())
        return {};
    return random() % 2 == 0 ? m_recentChanges[random() % m_recentChanges.size()]
                             : m_names[random() % m_names.size()];
}

} // namespace Soak
