#include "acceptancetracker.h"

#include <algorithm>

namespace Control {

AcceptanceTracker::AcceptanceTracker(const ControlState &state, Revision revision)
    : m_revision(revision)
    , m_registers(state.registerVersions())
{
    for (const auto &[name, instance] : state.registry())
        m_incarnations[name] = instance.incarnation;
}

auto AcceptanceTracker::round() const -> int
{
    return isQuorum(m_holders) ? 2 : 1;
}

auto AcceptanceTracker::handleAnswer(int requestRound, const std::string &name,
                                     const std::string &incarnation, Revision heldRevision) -> void
{
    const auto registered = m_incarnations.find(name);
    if (registered == m_incarnations.end() || registered->second != incarnation
        || heldRevision < m_revision)
        return;
    if (requestRound >= 2 && m_holders.count(name) > 0)
        m_confirmed.insert(name);
    if (!isQuorum(m_holders))
        m_holders.insert(name);
}

auto AcceptanceTracker::isAccepted() const -> bool
{
    return isQuorum(m_confirmed);
}

auto AcceptanceTracker::holderCount() const -> size_t
{
    return m_holders.size();
}

auto AcceptanceTracker::registeredCount() const -> size_t
{
    return m_incarnations.size();
}

auto AcceptanceTracker::isQuorum(const std::set<std::string> &holders) const -> bool
{
    // A removed instance never answers again, so only registered instances without the revision
    // count. They must be too few to form a majority of any register.
    return std::all_of(m_registers.begin(), m_registers.end(), [&](const auto &version) {
        const auto &names = version.names;
        const auto nonHolders = std::count_if(names.begin(), names.end(), [&](const auto &name) {
            return m_incarnations.count(name) > 0 && holders.count(name) == 0;
        });
        return names.empty() || static_cast<size_t>(nonHolders) < majorityOf(names.size());
    });
}

} // namespace Control
