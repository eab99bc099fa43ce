#pragma once

#include "membershipconstants.h"

#include <utils/timepoint.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Membership {

/// The row that stands for a shared duty. `version` is the table's, 0 while there is no row.
struct LeaseRow
{
    std::string holder;
    std::uint64_t version = 0;
};

/// What the shell should do next with the row.
enum class LeaseStep {
    Nothing,
    Read, ///< Read the row and call `takeRow`.
    Write, ///< Write the own name if the row still has `expectedVersion`.
};

/// How long a lease lasts and when it passes on.
struct LeaseTiming
{
    Utils::Duration renewInterval = Constants::RenewInterval;
    Utils::Duration holdTimeout = Constants::HoldTimeout;
    Utils::Duration takeoverTimeout = Constants::TakeoverTimeout;
};

/// One process's part in a lease on a shared duty. Others measure the time that the row stays
/// unchanged on their own clocks, so no clocks are compared.
class LeaderLease
{
public:
    explicit LeaderLease(std::string holder, const LeaseTiming &timing = {});

    auto tick(Utils::TimePoint now) -> LeaseStep;
    auto handleRow(const LeaseRow &row, Utils::TimePoint now) -> void;
    /// Version that a write must find.
    auto expectedVersion() const -> std::uint64_t;
    /// A write sent at `sentAt` succeeded and made `version`.
    auto handleWritten(std::uint64_t version, Utils::TimePoint sentAt) -> void;
    /// A write failed or its answer was lost.
    auto handleFailure() -> void;

    /// The holder that the row names, as far as known.
    auto holder() const -> const std::string & { return m_row.holder; }
    /// True while this process may do the duty.
    auto isHeld(Utils::TimePoint now) const -> bool;
    /// Version of the row while held: a condition for writes made on duty.
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
