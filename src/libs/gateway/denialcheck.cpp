#include "denialcheck.h"

#include "gatewayconstants.h"

#include <algorithm>
#include <vector>

namespace Gateway {

using Utils::Duration;
using Utils::TimePoint;

DenialCheck::DenialCheck(Net::Scheduler &scheduler, Duration lifetime, Events events)
    : m_scheduler(scheduler)
    , m_lifetime(lifetime)
    , m_events(std::move(events))
    , m_pause(Constants::FirstConfirmationPause)
    , m_suspended(m_events.suspendedTime())
{ }

DenialCheck::~DenialCheck()
{
    if (m_askTimer)
        m_scheduler.cancel(*m_askTimer);
}

auto DenialCheck::noteAnswer(TimePoint confirmedAt, std::uint64_t ownRow) -> void
{
    noticeSuspension();
    if (confirmedAt < m_resumedAt)
        return;
    m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
    // The store's word counts more than another gateway's.
    if (ownRow >= m_rowElsewhere || (m_doubtedAt && confirmedAt >= *m_doubtedAt))
        m_doubtedAt.reset();
    m_pause = Constants::FirstConfirmationPause;
    wakeAll();
}

auto DenialCheck::noteElsewhere(std::uint64_t row, std::uint64_t ownRow) -> void
{
    if (row <= m_rowElsewhere)
        return;
    m_rowElsewhere = row;
    if (row > ownRow)
        m_doubtedAt = m_scheduler.now();
}

auto DenialCheck::setUnreadable(bool isUnreadable) -> void
{
    m_isUnreadable = isUnreadable;
}

auto DenialCheck::noticeSuspension() -> void
{
    const Duration suspended = m_events.suspendedTime();
    if (suspended - m_suspended < Constants::LeastSuspension)
        return;
    m_suspended = suspended;
    m_resumedAt = m_scheduler.now();
    m_confirmedAt.reset();
}

auto DenialCheck::mayDeny() -> bool
{
    const auto confirmedFor = age();
    return confirmedFor && *confirmedFor <= m_lifetime && !m_doubtedAt && !m_isUnreadable;
}

auto DenialCheck::age() -> std::optional<Duration>
{
    noticeSuspension();
    if (!m_confirmedAt)
        return {};
    return m_scheduler.now() - *m_confirmedAt;
}

auto DenialCheck::wait(std::function<void()> onNews) -> std::optional<Ticket>
{
    if (m_waiting.size() >= Constants::MostUnconfirmedDenials)
        return {};
    const Ticket ticket = m_nextTicket++;
    m_waiting.emplace(ticket, std::move(onNews));
    if (!m_askTimer)
        ask();
    return ticket;
}

auto DenialCheck::cancel(Ticket ticket) -> void
{
    m_waiting.erase(ticket);
}

/// Asks, and again after longer and longer pauses as long as a request waits: the question may have
/// been swallowed, or its answer may be slow.
auto DenialCheck::ask() -> void
{
    m_askTimer.reset();
    if (m_waiting.empty())
        return;
    m_askTimer = m_scheduler.callAfter(m_pause, [this] { ask(); });
    m_pause = std::min<Duration>(m_pause * 2, Constants::LongestConfirmationPause);
    // What is known to be missing is asked for already, and its answer confirms as well.
    if (!m_doubtedAt)
        m_events.askStore();
}

auto DenialCheck::wakeAll() -> void
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, onNews] : m_waiting)
        tickets.push_back(ticket);
    for (const Ticket ticket : tickets) {
        const auto found = m_waiting.find(ticket);
        if (found == m_waiting.end())
            continue;
        // The callback may cancel its own ticket.
        const auto onNews = found->second;
        onNews();
    }
}

} // namespace Gateway
