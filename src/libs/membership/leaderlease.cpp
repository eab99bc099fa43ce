#include "leaderlease.h"

namespace Membership {

using Utils::TimePoint;

LeaderLease::LeaderLease(std::string holder, const LeaseTiming &timing)
    : m_holder(std::move(holder))
    , m_timing(timing)
{ }

auto LeaderLease::tick(TimePoint now) -> LeaseStep
{
    if (m_isRequestPending || now < m_nextStepAt)
        return LeaseStep::Nothing;
    m_isRequestPending = true;
    m_nextStepAt = now + m_timing.renewInterval;
    if (!m_rowIsKnown)
        return LeaseStep::Read;
    const bool isMine = m_row.holder == m_holder;
    const bool isFree = m_row.version == 0 || now - m_rowChangedAt >= m_timing.takeoverTimeout;
    return isMine || isFree ? LeaseStep::Write : LeaseStep::Read;
}

auto LeaderLease::handleRow(const LeaseRow &row, TimePoint now) -> void
{
    m_isRequestPending = false;
    const bool isUnchanged = m_rowChangedAt != TimePoint() && row.version == m_row.version;
    if (!isUnchanged)
        m_rowChangedAt = now;
    m_row = row;
    m_rowIsKnown = true;
    if (row.holder != m_holder)
        m_renewedAt.reset();
}

auto LeaderLease::expectedVersion() const -> std::uint64_t
{
    return m_row.version;
}

auto LeaderLease::handleWritten(std::uint64_t version, TimePoint sentAt) -> void
{
    m_isRequestPending = false;
    m_row = {m_holder, version};
    m_rowChangedAt = sentAt;
    m_renewedAt = sentAt;
}

auto LeaderLease::handleFailure() -> void
{
    m_isRequestPending = false;
    m_rowIsKnown = false;
}

auto LeaderLease::isHeld(TimePoint now) const -> bool
{
    return m_renewedAt && now - *m_renewedAt < m_timing.holdTimeout;
}

auto LeaderLease::version() const -> std::uint64_t
{
    return m_row.version;
}

} // namespace Membership
