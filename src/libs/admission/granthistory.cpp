#include "granthistory.h"

#include "admissionconstants.h"

#include <algorithm>
#include <cmath>

namespace Admission {

using Utils::TimePoint;

auto GrantHistory::noteWaiting(TimePoint now) -> void
{
    if (m_waiting++ > 0)
        return;
    m_since = now;
    m_waitingSince = now;
}

auto GrantHistory::noteGranted(TimePoint now) -> void
{
    m_grants.push_back({now, Utils::toSeconds(now - m_since)});
    if (m_grants.size() > Constants::MaxGrants)
        m_grants.pop_front();
    m_since = now;
    m_updatedAt = {};
}

auto GrantHistory::noteEnded() -> void
{
    m_waiting = std::max(0, m_waiting - 1);
}

auto GrantHistory::waitingSince() const -> std::optional<TimePoint>
{
    return m_waiting > 0 ? std::optional(m_waitingSince) : std::nullopt;
}

auto GrantHistory::isObsolete(TimePoint now) const -> bool
{
    return m_waiting == 0
        && (m_grants.empty() || now - m_grants.back().at > Constants::GrantLifetime);
}

auto GrantHistory::update(TimePoint now) -> void
{
    if (m_updatedAt == now)
        return;
    m_updatedAt = now;
    while (!m_grants.empty() && now - m_grants.front().at > Constants::GrantLifetime)
        m_grants.pop_front();
    double sum = 0;
    double squares = 0;
    for (const Grant &grant : m_grants) {
        sum += grant.seconds;
        squares += grant.seconds * grant.seconds;
    }
    double count = std::max(1.0, static_cast<double>(m_grants.size()));
    // The interval that has not ended counts once it is longer than the others.
    const double open = m_waiting > 0 ? Utils::toSeconds(now - m_since) : 0;
    if (open > sum / count) {
        sum += open;
        squares += open * open;
        count += 1;
    }
    m_meanSeconds = sum / count;
    m_deviationSeconds = std::sqrt(std::max(0.0, squares / count - m_meanSeconds * m_meanSeconds));
}

auto GrantHistory::estimate(int count, TimePoint now) -> std::optional<WaitEstimate>
{
    update(now);
    if (m_grants.size() < Constants::MinGrants)
        return {};
    // The sum of the intervals varies, and so does the mean that was taken from few of them.
    const double ownSpread = std::sqrt(count);
    const double meanSpread = count / std::sqrt(static_cast<double>(m_grants.size()));
    const double spread = m_deviationSeconds * std::hypot(ownSpread, meanSpread);
    return WaitEstimate{Utils::fromSeconds(count * m_meanSeconds), Utils::fromSeconds(spread),
                        static_cast<int>(m_grants.size())};
}

} // namespace Admission
