#include "routeprofile.h"

#include "admissionconstants.h"

#include <algorithm>
#include <numeric>

namespace Admission {

namespace {

/// Weight of a new observation in the mean of service times.
constexpr double NewestWeight = 0.1;
/// Bounds of the factor by which a request's size changes its expected time; time does not grow in
/// proportion to size.
constexpr double MinSizeFactor = 0.5;
constexpr double MaxSizeFactor = 4;
constexpr double LargeQuantile = 0.9;
constexpr size_t MinSizes = 20;

} // namespace

auto RouteProfile::noteSize(double size) -> void
{
    if (m_sizes.size() < Constants::ProfiledSizes)
        m_sizes.push_back(size);
    else
        m_sizes[m_next] = size;
    m_next = (m_next + 1) % Constants::ProfiledSizes;
    if (m_sizes.size() < MinSizes || ++m_sinceRefresh < MinSizes)
        return;
    m_sinceRefresh = 0;
    auto sorted = m_sizes;
    std::sort(sorted.begin(), sorted.end());
    m_largeFrom = sorted[static_cast<size_t>(LargeQuantile * static_cast<double>(sorted.size()))];
    m_meanSize =
        std::accumulate(sorted.begin(), sorted.end(), 0.0) / static_cast<double>(sorted.size());
    // Without a spread of sizes no request is larger than the others.
    if (m_largeFrom <= sorted.front())
        m_largeFrom = 0;
}

auto RouteProfile::isLarge(double size) const -> bool
{
    return m_largeFrom > 0 && size >= m_largeFrom;
}

auto RouteProfile::relativeSize(double size) const -> double
{
    return m_meanSize > 0 ? std::clamp(size / m_meanSize, MinSizeFactor, MaxSizeFactor) : 1;
}

auto RouteProfile::noteAnswered(double size, Utils::Duration taken) -> void
{
    const double seconds = Utils::toSeconds(taken) / relativeSize(size);
    m_meanSeconds = m_hasTime ? m_meanSeconds + NewestWeight * (seconds - m_meanSeconds) : seconds;
    m_hasTime = true;
}

auto RouteProfile::expectedTime(double size) const -> Utils::Duration
{
    return Utils::fromSeconds(m_meanSeconds * relativeSize(size));
}

auto RouteProfile::meanTime() const -> Utils::Duration
{
    return Utils::fromSeconds(m_meanSeconds);
}

} // namespace Admission
