#include "originlog.h"

#include <utils/rendezvous.h>

#include <algorithm>

namespace Gateway {

using Utils::TimePoint;

namespace {

/// Versions that a log tells apart; streams of further ones count as unknown.
constexpr size_t MaxVersionNames = 1024;

} // namespace

OriginLog::OriginLog(size_t maxEntries, Utils::Duration retention)
    : m_maxEntries(maxEntries)
    , m_retention(retention)
{ }

auto OriginLog::makeKey(const std::string &service, const std::string &attempt) -> Key
{
    return Utils::stableHash(std::to_string(service.size()) + ':' + service + attempt);
}

auto OriginLog::note(Key key, const std::string &version, TimePoint now) -> bool
{
    const auto [found, isNew] = m_entries.try_emplace(key);
    Entry &entry = found->second;
    const std::uint32_t index = indexOf(version);
    const bool isChanged = !isNew && entry.version != index && entry.version != 0;
    if (!isNew && !isChanged && now - entry.notedAt < m_retention / 2)
        return false;
    if (isNew)
        entry.version = index;
    else if (isChanged)
        entry.version = 0;
    entry.notedAt = now;
    m_order.emplace_back(now, key);
    while (m_entries.size() > m_maxEntries || m_order.size() > 2 * m_maxEntries)
        removeFirst();
    return true;
}

auto OriginLog::find(Key key) const -> std::optional<std::string>
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return {};
    return m_versions[found->second.version];
}

auto OriginLog::removeExpired(TimePoint now) -> void
{
    while (!m_order.empty() && now - m_order.front().first > m_retention)
        removeFirst();
    if (m_entries.empty())
        m_versions.resize(1);
}

auto OriginLog::forEach(const std::function<void(Key, const std::string &)> &visit) const -> void
{
    for (const auto &[key, entry] : m_entries)
        visit(key, m_versions[entry.version]);
}

auto OriginLog::size() const -> size_t
{
    return m_entries.size();
}

auto OriginLog::indexOf(const std::string &version) -> std::uint32_t
{
    const auto found = std::find(m_versions.begin(), m_versions.end(), version);
    if (found != m_versions.end())
        return static_cast<std::uint32_t>(found - m_versions.begin());
    if (m_versions.size() >= MaxVersionNames)
        return 0;
    m_versions.push_back(version);
    return static_cast<std::uint32_t>(m_versions.size() - 1);
}

auto OriginLog::removeFirst() -> void
{
    const auto [at, key] = m_order.front();
    m_order.pop_front();
    const auto found = m_entries.find(key);
    if (found != m_entries.end() && found->second.notedAt == at)
        m_entries.erase(found);
}

} // namespace Gateway
