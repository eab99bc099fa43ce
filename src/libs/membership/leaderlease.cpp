#include "leaderlease.h"

#include <algorithm>

namespace Membership {

using Utils::StoreEra;
using Utils::StoreVersion;
using Utils::TimePoint;

namespace {

/// The only era that can't be that of a copy. Stores that begin to count later have none.
constexpr auto EraBeforeAnyCopy = StoreEra(0);

} // namespace

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
    if (!m_rowIsKnown || !mayWrite(now))
        return LeaseStep::Read;
    m_claimedTenure = continuedTenure(now);
    return LeaseStep::Write;
}

auto LeaderLease::continuedTenure(TimePoint now) const -> std::optional<StoreVersion>
{
    if (isContinuable(now))
        return m_continuation->tenure;
    return isOwnRow() ? m_row.tenure : std::nullopt;
}

/// A row of this holder from an earlier era may have come back from a copy.
auto LeaderLease::isOwnRow() const -> bool
{
    return m_row.holder == m_holder && m_row.writtenIn == m_era;
}

auto LeaderLease::mayWrite(TimePoint now) const -> bool
{
    if (continuedTenure(now))
        return true;
    const bool isMissing = m_row.version.number == 0;
    const auto timeout =
        isMissing && !m_mayHaveBeenHeld ? m_timing.missingRowTimeout : m_timing.takeoverTimeout;
    return now - m_rowChangedAt >= timeout;
}

auto LeaderLease::isContinuable(TimePoint at) const -> bool
{
    return m_continuation && at < m_continuation->until;
}

auto LeaderLease::handleEra(StoreEra era, TimePoint now) -> void
{
    if (m_isEraKnown && era <= m_era)
        return;
    m_isEraKnown = true;
    m_era = era;
    if (isHeld(now))
        m_continuation = {tenure(), *m_renewedAt + m_timing.holdTimeout};
    forgetProof();
    m_row = {{}, {era, 0}, era, {}};
    m_rowIsKnown = false;
    m_mayHaveBeenHeld = true;
    m_rowChangedAt = now;
    m_nextStepAt = now;
}

auto LeaderLease::learnEra(StoreEra era, TimePoint now) -> void
{
    if (m_isEraKnown)
        return handleEra(era, now);
    m_isEraKnown = true;
    m_era = era;
    m_mayHaveBeenHeld = era > EraBeforeAnyCopy;
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
    // Its writer has waited until a lease of the earlier era had ended.
    const bool isOfAnother = row.version.number > 0 && row.holder != m_holder;
    if (isOfAnother && row.writtenIn == m_era)
        m_continuation.reset();
    m_row = row;
    m_rowIsKnown = true;
    if (isContinuable(now))
        m_nextStepAt = now;
    m_mayHaveBeenHeld = m_mayHaveBeenHeld || row.version.number > 0;
}

auto LeaderLease::handleRow(const LeaseRow &row, TimePoint now) -> void
{
    m_isRequestPending = false;
    learnEra(row.version.era, now);
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
    learnEra(version.era, now);
    // The condition may have matched a version that was given out again.
    if (sentIn != m_era || version.era != m_era)
        return handleFailure();
    if (!m_tenure)
        m_tenureOrigin = !m_claimedTenure ? TenureOrigin::NewTenure
            : m_continuation              ? TenureOrigin::LeaseOfEarlierEra
                                          : TenureOrigin::OwnRow;
    m_tenure = m_claimedTenure.value_or(version);
    m_claimedTenure = m_tenure;
    m_row = {m_holder, version, m_era, m_tenure};
    m_mayHaveBeenHeld = true;
    m_rowChangedAt = sentAt;
    m_renewedAt = sentAt;
    m_continuation.reset();
}

auto LeaderLease::handleFailure() -> void
{
    m_isRequestPending = false;
    m_rowIsKnown = false;
}

auto LeaderLease::isHeld(TimePoint now) const -> bool
{
    return validFor(now) > Utils::Duration::zero();
}

auto LeaderLease::validFor(TimePoint now) const -> Utils::Duration
{
    if (!m_renewedAt)
        return Utils::Duration::zero();
    return std::max(*m_renewedAt + m_timing.holdTimeout - now, Utils::Duration::zero());
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
