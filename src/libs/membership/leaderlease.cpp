#include "leaderlease.h"

namespace Membership {

using Utils::StoreEra;
using Utils::StoreVersion;
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
    return m_rowIsKnown && mayWrite(now) ? LeaseStep::Write : LeaseStep::Read;
}

auto LeaderLease::mayWrite(TimePoint now) const -> bool
{
    if (now < m_continuableUntil)
        return true;
    const bool isMissing = m_row.version.number == 0;
    // A row of this process from an earlier era may have come back from a copy.
    if (!isMissing && m_row.holder == m_holder && m_row.writtenIn == m_era)
        return true;
    const auto timeout =
        isMissing && !m_wasRowSeen ? m_timing.missingRowTimeout : m_timing.takeoverTimeout;
    return now - m_rowChangedAt >= timeout;
}

auto LeaderLease::handleEra(StoreEra era, TimePoint now) -> void
{
    if (era <= m_era)
        return;
    // The first era that a process learns of is no news, unless the store has answered before.
    const bool isFirst = m_era == StoreEra() && m_rowChangedAt == TimePoint();
    m_era = era;
    if (isFirst)
        return;
    if (isHeld(now))
        m_continuableUntil = *m_renewedAt + m_timing.holdTimeout;
    forgetProof();
    m_row = {{}, {era, 0}, era};
    m_rowIsKnown = false;
    m_wasRowSeen = true;
    m_rowChangedAt = now;
    m_nextStepAt = now;
}

auto LeaderLease::isOutdated(const LeaseRow &row) const -> bool
{
    return row.version.era < m_era;
}

auto LeaderLease::forgetProof() -> void
{
    m_renewedAt.reset();
    m_tenure.reset();
}

auto LeaderLease::applyRow(const LeaseRow &row, TimePoint now) -> void
{
    const bool isUnchanged = m_rowChangedAt != TimePoint() && row.version == m_row.version;
    if (!isUnchanged)
        m_rowChangedAt = now;
    // A row that goes back within one era belongs to a store that lost it without saying so.
    if (row.holder != m_holder || row.version < m_row.version)
        forgetProof();
    m_row = row;
    m_rowIsKnown = true;
    if (now < m_continuableUntil)
        m_nextStepAt = now;
    m_wasRowSeen = m_wasRowSeen || row.version.number > 0;
}

auto LeaderLease::handleRow(const LeaseRow &row, TimePoint now) -> void
{
    m_isRequestPending = false;
    handleEra(row.version.era, now);
    if (!isOutdated(row))
        applyRow(row, now);
}

auto LeaderLease::handleReport(const LeaseRow &row, TimePoint now) -> void
{
    // Only the store itself tells of a new era.
    if (row.version.era == m_era && row.version >= m_row.version)
        applyRow(row, now);
}

auto LeaderLease::expectedVersion() const -> StoreVersion
{
    return m_row.version;
}

auto LeaderLease::handleWritten(const StoreVersion &version, StoreEra sentIn, TimePoint sentAt,
                                TimePoint now) -> void
{
    m_isRequestPending = false;
    handleEra(version.era, now);
    // The condition may have matched a version that was given out again.
    if (sentIn != m_era || version.era != m_era)
        return handleFailure();
    m_row = {m_holder, version, m_era};
    m_wasRowSeen = true;
    m_rowChangedAt = sentAt;
    m_renewedAt = sentAt;
    m_continuableUntil = {};
    if (!m_tenure)
        m_tenure = version;
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

auto LeaderLease::version() const -> StoreVersion
{
    return m_row.version;
}

auto LeaderLease::tenure() const -> StoreVersion
{
    return m_tenure.value_or(StoreVersion());
}

} // namespace Membership
