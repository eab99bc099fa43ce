#pragma once

#include <net/scheduler.h>
#include <utils/timepoint.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace Gateway {

/// Whether a request may be denied for good by the configuration at hand. Only one that the store
/// has confirmed recently, and beside which no newer one is known, may do so. Needs no network.
class DenialCheck
{
public:
    using Ticket = std::uint64_t;
    struct Events
    {
        std::function<void()> queryStore; ///< For the newest row, to be answered at once.
        /// Time for which the machine was suspended, which the scheduler's clock leaves out.
        std::function<Utils::Duration()> suspendedTime;
    };

    /// A confirmation counts for `lifetime`.
    DenialCheck(Net::Scheduler &scheduler, Utils::Duration lifetime, Events events);
    ~DenialCheck();

    /// The store has answered a question; this gateway knew `ownRow` or newer when it was at
    /// `confirmedAt`.
    auto noteStoreAnswer(Utils::TimePoint confirmedAt, std::uint64_t ownRow) -> void;
    /// Another gateway knows `row`, while this one knows `ownRow`.
    auto notePeerRow(std::uint64_t row, std::uint64_t ownRow) -> void;
    /// The newest row could not be read; until the next one nothing may be denied.
    auto setUnreadable(bool isUnreadable) -> void;

    auto mayDeny() -> bool;
    /// Age of the confirmation; empty before the first one.
    auto confirmationAge() -> std::optional<Utils::Duration>;

    /// Has the store asked, and calls `onNews` each time that it has answered, until `cancel`.
    /// Empty if too many wait already.
    auto waitForConfirmation(std::function<void()> onConfirmation) -> std::optional<Ticket>;
    auto cancel(Ticket ticket) -> void;

private:
    auto detectSuspension() -> void;
    auto queryStore() -> void;
    auto notifyWaiters() -> void;

    Net::Scheduler &m_scheduler;
    Utils::Duration m_lifetime;
    Events m_events;
    Utils::Duration m_queryInterval; ///< After the next question.
    std::optional<Utils::TimePoint> m_confirmedAt;
    Utils::Duration m_suspended;
    Utils::TimePoint m_resumedAt; ///< What was asked before proves nothing.
    std::uint64_t m_newestPeerRow = 0;
    std::optional<Utils::TimePoint>
        m_newerRowReportedAt; ///< A newer row than the own one was told of.
    bool m_isUnreadable = false;
    std::optional<Net::Scheduler::TimerId> m_queryTimer; ///< Set during the pause after a question.
    std::map<Ticket, std::function<void()>> m_waiting;
    Ticket m_nextTicket = 1;
};

} // namespace Gateway
