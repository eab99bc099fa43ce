#include "denialcheck.h"

#include "gatewayconstants.h"

#include <algorithm>
#include <vector>

namespace Gateway {

using Utils::Duration;
using Utils::StoreVersion;
using Utils::TimePoint;

DenialCheck::DenialCheck(Net::Scheduler &scheduler, Duration lifetime, Events events)
    : m_scheduler(scheduler)
    , m_lifetime(lifetime)
    , m_events(std::move(events))
    , m_queryInterval(Constants::InitialConfirmationInterval)
    , m_suspended(m_events.suspendedTime())
{ }

DenialCheck::~DenialCheck()
{
    if (m_queryTimer)
        m_scheduler.cancel(*m_queryTimer);
}

auto DenialCheck::noteStoreAnswer(TimePoint confirmedAt, const StoreVersion &ownRow) -> void
{
    detectSuspension();
    if (confirmedAt < m_resumedAt)
        return;
    m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
    // The store's answer overrides what another gateway has reported.
    if (ownRow >= m_newestPeerRow || (m_newerRowReportedAt && confirmedAt >= *m_newerRowReportedAt))
        m_newerRowReportedAt.reset();
    m_queryInterval = Constants::InitialConfirmationInterval;
    notifyWaiters();
}

auto DenialCheck::notePeerRow(const StoreVersion &row, const StoreVersion &ownRow) -> void
{
    if (row <= m_newestPeerRow)
        return;
    m_newestPeerRow = row;
    if (row > ownRow)
        m_newerRowReportedAt = m_scheduler.now();
}

auto DenialCheck::setUnreadable(bool isUnreadable) -> void
{
    m_isUnreadable = isUnreadable;
}

auto DenialCheck::noteNewerConfiguration() -> void
{
    m_outdatedUntil = m_scheduler.now() + Constants::NewerConfigurationLifetime;
}

auto DenialCheck::noteConfigurationTaken() -> void
{
    m_outdatedUntil = {};
}

auto DenialCheck::detectSuspension() -> void
{
    const Duration suspended = m_events.suspendedTime();
    if (suspended - m_suspended < Constants::MinDetectedSuspension)
        return;
    m_suspended = suspended;
    m_resumedAt = m_scheduler.now();
    m_confirmedAt.reset();
}

auto DenialCheck::mayDeny() -> bool
{
    const auto age = confirmationAge();
    return age && *age <= m_lifetime && !m_newerRowReportedAt && !m_isUnreadable
        && m_scheduler.now() >= m_outdatedUntil;
}

auto DenialCheck::confirmationAge() -> std::optional<Duration>
{
    detectSuspension();
    if (!m_confirmedAt)
        return {};
    return m_scheduler.now() - *m_confirmedAt;
}

auto DenialCheck::waitForConfirmation(std::function<void()> onConfirmation) -> std::optional<Ticket>
{
    if (m_waiting.size() >= Constants::MaxUnconfirmedDenials)
        return {};
    const Ticket ticket = m_nextTicket++;
    m_waiting.emplace(ticket, std::move(onConfirmation));
    if (!m_queryTimer)
        queryStore();
    return ticket;
}

auto DenialCheck::cancel(Ticket ticket) -> void
{
    m_waiting.erase(ticket);
}

/// Queries the store, and repeats the query with exponential backoff while a request waits: the
/// query may have been lost, or its answer may be slow.
auto DenialCheck::queryStore() -> void
{
    m_queryTimer.reset();
    if (m_waiting.empty())
        return;
    m_queryTimer = m_scheduler.callAfter(m_queryInterval, [this] { queryStore(); });
    m_queryInterval = std::min<Duration>(m_queryInterval * 2, Constants::MaxConfirmationInterval);
    // A row that is known to be missing has been queried already, and its answer confirms as well.
    if (!m_newerRowReportedAt)
        m_events.queryStore();
}

auto DenialCheck::notifyWaiters() -> void
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, onConfirmation] : m_waiting)
        tickets.push_back(ticket);
    for (const Ticket ticket : tickets) {
        const auto found = m_waiting.find(ticket);
        if (found == m_waiting.end())
            continue;
        // The callback may cancel its own ticket.
        const auto onConfirmation = found->second;
        onConfirmation();
    }
}

} // namespace Gateway
