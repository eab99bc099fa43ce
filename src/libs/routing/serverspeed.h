#pragma once

#include "milliseconds.h"
#include "routingconstants.h"

#include <utils/timepoint.h>

namespace Routing {

/// How much longer one incarnation of a server takes than its peers with the same load, as measured
/// from its responses.
class ServerSpeed
{
public:
    /// A response took `measured` where a server of usual speed takes `expected`.
    auto note(Milliseconds measured, Milliseconds expected, Utils::TimePoint now) -> void;
    /// True if recent responses show the speed.
    auto isKnown(Utils::TimePoint now) const -> bool;
    /// Time relative to the expected one; more than 1 is slower.
    auto ratio() const -> double { return m_ratio; }
    /// The same relative to the median of its peers; 1 if unknown, or if the difference is within
    /// what responses vary by.
    auto relativeTo(double median, Utils::TimePoint now) const -> double;

private:
    double m_logarithm = 0; ///< Smoothed, because times vary by factors.
    double m_variance = Constants::UsualSpeedVariance; ///< Of single measurements.
    double m_ratio = 1;
    double m_minDifference = 1; ///< Factor from which on a difference is not due to chance.
    int m_count = 0;
    Utils::TimePoint m_measuredAt;
};

} // namespace Routing
