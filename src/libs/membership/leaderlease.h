#pragma once

#include "membershipconstants.h"

#include <utils/storeversion.h>
#include <utils/timepoint.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Membership {

/// The row of the lease in the shared table. The version's number is 0 if there is no row.
struct LeaseRow
{
    std::string holder;
    Utils::StoreVersion version;
    /// The store's era as its writer knew it. In a later era the row may hide another holder, whose
    /// row was lost.
    Utils::StoreEra writtenIn{};
    /// Version of the row when its holder became the holder. Unset if it is unknown, or if the
    /// row's writer may be another machine with the holder's name.
    std::optional<Utils::StoreVersion> tenure = std::nullopt;
};

/// What the caller should do next with the row.
enum class LeaseStep {
    Nothing,
    Read, ///< Read the row and call `handleRow`.
    Write, ///< Write the own name, provided that the row still has `expectedVersion`.
};

/// How a holder came by its tenure.
enum class TenureOrigin {
    NewTenure,
    LeaseOfEarlierEra, ///< It goes on, as its lease was valid when a new era was learned.
    OwnRow, ///< It goes on from the row that the holder's former process has written.
};

/// When the lease is renewed, expires and may be taken over.
struct LeaseTiming
{
    Utils::Duration renewInterval = Constants::RenewInterval;
    Utils::Duration holdTimeout = Constants::HoldTimeout;
    Utils::Duration takeoverTimeout = Constants::TakeoverTimeout;
    /// How long a row must have been missing that was never seen, in a store that may be new; 0 if
    /// there can't have been a holder before.
    Utils::Duration missingRowTimeout{0};
};

/// State machine of one process that competes for a lease on a shared role. Other processes measure
/// on their own clocks how long the row stays unchanged, so clocks are never compared.
///
/// A store may come back from a copy that lacks the last renewals, or the whole row. Each process
/// that learns of a new era waits as long as for a takeover, except for the one whose lease was
/// valid then: all others wait longer than that lease lasts, so it writes its row again at once and
/// keeps its tenure.
///
/// A process that starts again under its name finds its own row. It goes on at once in the same
/// tenure, so that orders of the former process that are still under way bear the same token.
class LeaderLease
{
public:
    explicit LeaderLease(std::string holder, const LeaseTiming &timing = {});

    auto tick(Utils::TimePoint now) -> LeaseStep;
    /// Handles the row as the store has it. A newer era than the known one is learned first.
    auto handleRow(const LeaseRow &row, Utils::TimePoint now) -> void;
    /// Handles a row that another process has reported.
    auto handleReport(const LeaseRow &row, Utils::TimePoint now) -> void;
    /// The store was in another era before; renewals made then prove nothing.
    auto handleEra(Utils::StoreEra era, Utils::TimePoint now) -> void;
    /// Row version that a write requires.
    auto expectedVersion() const -> Utils::StoreVersion;
    /// Tenure that the write continues, which the written row must name; unset if it begins one.
    auto claimedTenure() const -> std::optional<Utils::StoreVersion> { return m_claimedTenure; }
    /// The newest known era; a written row must name it.
    auto era() const -> Utils::StoreEra { return m_era; }
    /// A write sent at `sentAt` in the era `sentIn` succeeded and set the row's version.
    auto handleWritten(const Utils::StoreVersion &version, Utils::StoreEra sentIn,
                       Utils::TimePoint sentAt, Utils::TimePoint now) -> void;
    /// A write failed or its answer was lost.
    auto handleFailure() -> void;

    /// The holder that the row names, if known.
    auto holder() const -> const std::string & { return m_row.holder; }
    /// True while this process holds the lease.
    auto isHeld(Utils::TimePoint now) const -> bool;
    /// How long this process still holds the lease if it isn't renewed; 0 if it is not held.
    auto validFor(Utils::TimePoint now) const -> Utils::Duration;
    /// Version of the row; changes with each renewal.
    auto version() const -> Utils::StoreVersion;
    /// Version of the row when its holder became the holder; the same as long as no other holder
    /// can have held the lease. Later holders have newer ones.
    auto tenure() const -> Utils::StoreVersion;
    auto tenureOrigin() const -> TenureOrigin { return m_tenureOrigin; }

private:
    /// A lease that was valid when a new era was learned.
    struct Continuation
    {
        Utils::StoreVersion tenure;
        Utils::TimePoint until; ///< End of the lease.
    };

    auto learnEra(Utils::StoreEra era, Utils::TimePoint now) -> void;
    auto mayWrite(Utils::TimePoint now) const -> bool;
    auto isContinuable(Utils::TimePoint at) const -> bool;
    auto isOwnRow() const -> bool;
    /// The tenure that a write now continues.
    auto continuedTenure(Utils::TimePoint now) const -> std::optional<Utils::StoreVersion>;
    auto isOutdated(const LeaseRow &row) const -> bool;
    auto forgetProof() -> void;
    auto applyRow(const LeaseRow &row, Utils::TimePoint now) -> void;

    std::string m_holder;
    LeaseTiming m_timing;
    Utils::StoreEra m_era{};
    LeaseRow m_row;
    bool m_rowIsKnown = false;
    bool m_isEraKnown = false;
    bool m_mayHaveBeenHeld = false; ///< A row was seen, or may have been lost.
    bool m_isRequestPending = false;
    Utils::TimePoint m_rowChangedAt;
    Utils::TimePoint m_nextStepAt;
    std::optional<Utils::TimePoint> m_renewedAt;
    std::optional<Utils::StoreVersion> m_tenure;
    std::optional<Utils::StoreVersion> m_claimedTenure; ///< By the latest write.
    TenureOrigin m_tenureOrigin = TenureOrigin::NewTenure;
    std::optional<Continuation> m_continuation; ///< Until its row is written in the new era.
};

} // namespace Membership
