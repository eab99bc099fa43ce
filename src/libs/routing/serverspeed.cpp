#include "serverspeed.h"

#include "routingconstants.h"

#include <algorithm>
#include <cmath>

namespace Routing {

using Utils::TimePoint;

auto ServerSpeed::note(Milliseconds measured, Milliseconds expected, TimePoint now) -> void
{
    if (!(measured.count() > 0) || !(expected.count() > 0))
        return;
    const double ratio =
        std::clamp(measured / expected, 1 / Constants::MaxDelayRatio, Constants::MaxDelayRatio);
    m_count = std::min(m_count + 1, Constants::SpeedSmoothingResponses);
    const double deviation = std::log(ratio) - m_logarithm;
    m_logarithm += deviation / m_count;
    m_variance +=
        (deviation * deviation - m_variance) / (m_count + Constants::UsualSpeedVarianceWeight);
    m_ratio = std::exp(m_logarithm);
    const double standardError = std::sqrt(m_variance / m_count);
    m_minDifference = std::max(Constants::MinSpeedDifference,
                               std::exp(Constants::SpeedSignificance * standardError));
    m_measuredAt = now;
}

auto ServerSpeed::isKnown(TimePoint now) const -> bool
{
    return m_count >= Constants::MinSpeedResponses && now - m_measuredAt < Constants::SpeedLifetime;
}

auto ServerSpeed::relativeTo(double median, TimePoint now) const -> double
{
    if (!isKnown(now) || !(median > 0))
        return 1;
    const double relative = ratio() / median;
    const bool isUsual = relative < m_minDifference && relative > 1 / m_minDifference;
    return isUsual ? 1 : relative;
}

} // namespace Routing
