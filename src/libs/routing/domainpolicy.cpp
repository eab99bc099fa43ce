#include "domainpolicy.h"

#include "routingconstants.h"

#include <utils/eventlog.h>

#include <algorithm>
#include <cmath>

namespace Routing {

using Utils::Duration;
using Utils::TimePoint;

DomainPolicy::DomainPolicy(std::uint64_t seed)
    : m_seed(seed)
{ }

auto DomainPolicy::isDue(TimePoint now) const -> bool
{
    return now - m_observedAt >= Constants::DomainObservationInterval;
}

auto DomainPolicy::noteSent(bool isRemote) -> void
{
    m_leaving += Constants::LeavingWeight * ((isRemote ? 1 : 0) - m_leaving);
}

auto DomainPolicy::share() const -> double
{
    return static_cast<double>(m_steps) / Constants::DomainShareSteps;
}

auto DomainPolicy::mayLeave(std::uint64_t identity) const -> bool
{
    return !m_isLimiting || static_cast<int>(identity % Constants::DomainShareSteps) < m_steps;
}

auto DomainPolicy::smooth(const DomainSituation &situation, TimePoint now) -> void
{
    const bool isFirst = m_observedAt == TimePoint();
    const double weight = isFirst ? 1
                                  : 1
            - std::exp(-std::chrono::duration<double>(now - m_observedAt)
                       / Constants::DomainSmoothingTime);
    m_observedAt = now;
    m_ownUse += weight * (situation.ownUse - m_ownUse);
    m_advantage += weight * (situation.ownDelay - situation.otherDelay - m_advantage);
}

auto DomainPolicy::interval() const -> Duration
{
    // Up to half of the interval differs between gateways and from step to step.
    constexpr std::uint64_t phases = 64;
    const std::uint64_t phase =
        (m_seed + static_cast<std::uint64_t>(m_steps) * Constants::DomainShareSteps) % phases;
    const auto base = Constants::DomainStepInterval * (1 << m_reversals);
    return base + base * phase / (2 * phases);
}

auto DomainPolicy::step(int direction, TimePoint now) -> bool
{
    const int next = std::clamp(m_steps + direction, 0, Constants::DomainShareSteps);
    if (next == m_steps || now - m_changedAt < interval())
        return false;
    if (direction == -m_direction) {
        m_reversals = std::min(m_reversals + 1, Constants::MaxDomainReversals);
        m_reversedAt = now;
    } else if (now - m_reversedAt >= Constants::DomainReversalMemory) {
        m_reversals = 0;
    }
    m_direction = direction;
    m_steps = next;
    m_changedAt = now;
    return true;
}

auto DomainPolicy::observe(const DomainSituation &situation, TimePoint now) -> bool
{
    smooth(situation, now);
    if (!m_isLimiting) {
        if (m_ownUse < Constants::DomainBusyUse)
            return false;
        // Begins with the share that leaves already, so that nothing jumps.
        m_isLimiting = true;
        m_steps = static_cast<int>(std::ceil(m_leaving * Constants::DomainShareSteps));
        m_changedAt = now;
        return true;
    }
    if (m_ownUse < Constants::DomainSpareUse
        && now - m_changedAt >= Constants::DomainStepInterval) {
        m_isLimiting = false;
        m_steps = 0;
        m_direction = 0;
        m_changedAt = now;
        return true;
    }
    if (m_advantage > situation.cost + situation.perRequest)
        return step(1, now);
    if (m_advantage < situation.cost / 2)
        return step(-1, now);
    return false;
}

auto logDomainShare(const std::string &service, const DomainPolicy &policy) -> void
{
    Utils::logEvent(Utils::Event::CrossDomainShareChanged,
                    {{"service", service},
                     {"share", policy.share()},
                     {"isLimiting", policy.isLimiting()},
                     {"ownUse", policy.ownUse()},
                     {"savedMs", policy.advantage().count()}});
}

} // namespace Routing
