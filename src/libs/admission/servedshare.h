#pragma once

#include <utils/timepoint.h>

namespace Admission {

/// Number of requests of one group that arrived, that got a slot and that left without one, over
/// the last seconds.
class ServedShare
{
public:
    auto noteArrived(Utils::TimePoint now) -> void;
    auto noteServed(Utils::TimePoint now) -> void;
    auto noteLost(Utils::TimePoint now) -> void;
    auto arrived(Utils::TimePoint now) const -> double;
    /// Part of the arrived requests that got a slot; 1 if none arrived.
    auto ratio() const -> double;
    /// The same of the requests that no longer wait.
    auto endedRatio() const -> double;
    /// Number of slots that the group lacks to the given part of its arrived requests.
    auto deficit(double part, Utils::TimePoint now) const -> double;

private:
    auto decayTo(Utils::TimePoint now) -> void;
    auto factor(Utils::TimePoint now) const -> double;

    double m_arrived = 0;
    double m_served = 0;
    double m_lost = 0;
    Utils::TimePoint m_updatedAt;
};

} // namespace Admission
