#include "termbook.h"

namespace Soak {

using Utils::TimePoint;

namespace {

/// Changes that count as the last ones.
constexpr size_t LatestCount = 12;

} // namespace

auto TermBook::note(const std::string &name, bool isThere, TimePoint now) -> void
{
    if (!isListed(name))
        m_names.push_back(name);
    m_terms[name] = {isThere, now};
    m_latest.push_back(name);
    if (m_latest.size() > LatestCount)
        m_latest.pop_front();
}

auto TermBook::since(const std::string &name, bool isThere) const -> std::optional<TimePoint>
{
    const auto found = m_terms.find(name);
    if (found == m_terms.end() || found->second.isThere != isThere)
        return {};
    return found->second.since;
}

auto TermBook::thereSince(const std::string &name) const -> std::optional<TimePoint>
{
    return since(name, true);
}

auto TermBook::goneSince(const std::string &name) const -> std::optional<TimePoint>
{
    return since(name, false);
}

auto TermBook::pick(std::mt19937_64 &random) const -> std::string
{
    if (m_names.empty())
        return {};
    return random() % 2 == 0 ? m_latest[random() % m_latest.size()]
                             : m_names[random() % m_names.size()];
}

} // namespace Soak
