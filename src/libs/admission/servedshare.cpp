#include "servedshare.h"

#include "admissionconstants.h"

#include <cmath>

namespace Admission {

using Utils::TimePoint;

auto ServedShare::factor(TimePoint now) const -> double
{
    return std::exp(-Utils::toSeconds(now - m_updatedAt)
                    / Utils::toSeconds(Constants::ShareWindow));
}

auto ServedShare::decayTo(TimePoint now) -> void
{
    const double kept = factor(now);
    m_arrived *= kept;
    m_served *= kept;
    m_lost *= kept;
    m_updatedAt = now;
}

auto ServedShare::noteArrived(TimePoint now) -> void
{
    decayTo(now);
    m_arrived += 1;
}

auto ServedShare::noteServed(TimePoint now) -> void
{
    decayTo(now);
    m_served += 1;
}

auto ServedShare::noteLost(TimePoint now) -> void
{
    decayTo(now);
    m_lost += 1;
}

auto ServedShare::arrived(TimePoint now) const -> double
{
    return m_arrived * factor(now);
}

auto ServedShare::ratio() const -> double
{
    return m_arrived > 0 ? m_served / m_arrived : 1;
}

auto ServedShare::endedRatio() const -> double
{
    const double ended = m_served + m_lost;
    return ended > 0 ? m_served / ended : 1;
}

auto ServedShare::deficit(double part, TimePoint now) const -> double
{
    return (part * m_arrived - m_served) * factor(now);
}

} // namespace Admission
