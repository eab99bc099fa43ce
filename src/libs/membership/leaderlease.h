#pragma once

#include "membershipconstants.h"

#include <utils/timepoint.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Membership {

/// The row of the lease in the shared table. `version` is the row's version in the table, 0 if
/// there is no row.
struct LeaseRow
{
    std::string holder;
    std::uint64_t version = 0;
};

/// What the caller should do next with the row.
enum class LeaseStep {
    Nothing,
    Read, ///< Read the row and call `handleRow`.
    Write, ///< Write the own name, provided that the row still has `expectedVersion`.
};

/// When the lease is renewed, expires and may be taken over.
struct LeaseTiming
{
    Utils::Duration renewInterval = Constants::RenewInterval;
    Utils::Duration holdTimeout = Constants::HoldTimeout;
    Utils::Duration takeoverTimeout = Constants::TakeoverTimeout;
};

/// State machine of one process that competes for a lease on a shared role. Other processes measure
/// on their own clocks how long the row stays unchanged, so clocks are never compared.
class LeaderLease
{
public:
    explicit LeaderLease(std::string holder, const LeaseTiming &timing = {});

    auto tick(Utils::TimePoint now) -> LeaseStep;
    auto handleRow(const LeaseRow &row, Utils::TimePoint now) -> void;
    /// Row version that a write requires.
    auto expectedVersion() const -> std::uint64_t;
    /// A write sent at `sentAt` succeeded and set the row's version to `version`.
    auto handleWritten(std::uint64_t version, Utils::TimePoint sentAt) -> void;
    /// A write failed or its answer was lost.
    auto handleFailure() -> void;

    /// The holder that the row names, if known.
    auto holder() const -> const std::string & { return m_row.holder; }
    /// True while this process holds the lease.
    auto isHeld(Utils::TimePoint now) const -> bool;
    /// Version of the row; while the lease is held, a precondition for writes made under it.
    auto version() const -> std::uint64_t;

private:
    std::string m_holder;
    LeaseTiming m_timing;
    LeaseRow m_row;
    bool m_rowIsKnown = false;
    bool m_isRequestPending = false;
    Utils::TimePoint m_rowChangedAt;
    Utils::TimePoint m_nextStepAt;
    std::optional<Utils::TimePoint> m_renewedAt;
};

} // namespace Membership
