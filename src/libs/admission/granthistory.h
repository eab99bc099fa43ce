#pragma once

#include "waitestimate.h"

#include <utils/timepoint.h>

#include <deque>
#include <optional>

namespace Admission {

/// Intervals between the slots that one queue's waiting requests got, while some waited.
class GrantHistory
{
public:
    auto noteWaiting(Utils::TimePoint now) -> void;
    auto noteGranted(Utils::TimePoint now) -> void;
    auto noteEnded() -> void;
    /// Expected time until `count` more requests got a slot.
    auto estimate(int count, Utils::TimePoint now) -> std::optional<WaitEstimate>;
    auto waitingSince() const -> std::optional<Utils::TimePoint>;
    /// True if nothing waits and nothing recent is known.
    auto isObsolete(Utils::TimePoint now) const -> bool;

private:
    struct Grant
    {
        Utils::TimePoint at;
        double seconds = 0; ///< Since the previous slot, or since requests waited.
    };

    auto update(Utils::TimePoint now) -> void;

    int m_waiting = 0;
    Utils::TimePoint m_since; ///< When the current interval began.
    Utils::TimePoint m_waitingSince;
    std::deque<Grant> m_grants;
    Utils::TimePoint m_updatedAt; ///< Of the mean and deviation.
    double m_meanSeconds = 0;
    double m_deviationSeconds = 0;
};

} // namespace Admission
