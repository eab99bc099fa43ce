#pragma once

#include <net/scheduler.h>
#include <utils/storeversion.h>
#include <utils/timepoint.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace Gateway {

/// Decides whether a request may be denied for good by the current configuration. That needs a
/// recent confirmation by the store and no report of a newer configuration. Does no I/O itself.
class DenialCheck
{
public:
    using Ticket = std::uint64_t;
    struct Events
    {
        std::function<void()> queryStore; ///< Queries the newest row without a long poll.
        /// Total time for which the machine was suspended; the scheduler's clock does not count it.
        std::function<Utils::Duration()> suspendedTime;
    };

    /// A confirmation is valid for `lifetime`.
    DenialCheck(Net::Scheduler &scheduler, Utils::Duration lifetime, Events events);
    ~DenialCheck();

    /// Records that the store answered a query: this gateway's row `ownRow` was complete as of
    /// `confirmedAt`.
    auto noteStoreAnswer(Utils::TimePoint confirmedAt, const Utils::StoreVersion &ownRow) -> void;
    /// Records that another gateway knows `row` while this one knows `ownRow`.
    auto notePeerRow(const Utils::StoreVersion &row, const Utils::StoreVersion &ownRow) -> void;
    /// Another gateway has a newer configuration in force. If the store doesn't have it, this
    /// gateway was started after the store had lost it.
    auto noteNewerConfiguration() -> void;
    /// The configuration in force has changed.
    auto noteConfigurationTaken() -> void;
    /// Set while the newest row cannot be parsed; nothing may be denied until the next row.
    auto setUnreadable(bool isUnreadable) -> void;

    auto mayDeny() -> bool;
    /// Age of the newest confirmation; empty before the first one.
    auto confirmationAge() -> std::optional<Utils::Duration>;

    /// Queries the store, and calls `onConfirmation` after each of its answers until `cancel`.
    /// Returns nothing if too many requests wait already.
    auto waitForConfirmation(std::function<void()> onConfirmation) -> std::optional<Ticket>;
    auto cancel(Ticket ticket) -> void;

private:
    auto detectSuspension() -> void;
    auto queryStore() -> void;
    auto notifyWaiters() -> void;

    Net::Scheduler &m_scheduler;
    Utils::Duration m_lifetime;
    Events m_events;
    Utils::Duration m_queryInterval; ///< Interval after the next query.
    std::optional<Utils::TimePoint> m_confirmedAt;
    Utils::Duration m_suspended;
    Utils::TimePoint m_resumedAt; ///< Confirmations as of an earlier time are ignored.
    Utils::StoreVersion m_newestPeerRow;
    std::optional<Utils::TimePoint>
        m_newerRowReportedAt; ///< When a peer reported a newer row than the own one.
    bool m_isUnreadable = false;
    Utils::TimePoint m_outdatedUntil; ///< Others have had a newer configuration recently.
    std::optional<Net::Scheduler::TimerId> m_queryTimer; ///< Set during the interval after a query.
    std::map<Ticket, std::function<void()>> m_waiting;
    Ticket m_nextTicket = 1;
};

} // namespace Gateway
