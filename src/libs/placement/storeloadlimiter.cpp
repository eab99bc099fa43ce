#include "storeloadlimiter.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

/// A load that took less than this multiple of its nominal time was not slowed down by others.
constexpr double FullSpeedRatio = 1.1;
/// A load that took more than this multiple was slowed down; ratios in between are ignored.
constexpr double SlowedRatio = 1.3;
constexpr int MaxConcurrency = 8;
/// Loads at full speed between two probes. The store's capacity rarely changes, and a probe may
/// slow down a load with waiting requests.
constexpr int LoadsBetweenProbes = 12;

} // namespace

auto StoreLoadLimiter::noteLoadStarted(int concurrentLoads) -> void
{
    if (concurrentLoads > m_provenLimit)
        m_loadsUntilProbe = LoadsBetweenProbes;
}

auto StoreLoadLimiter::noteLoadFinished(std::chrono::milliseconds nominal,
                                        std::chrono::milliseconds took, int concurrentLoads) -> void
{
    if (nominal.count() <= 0)
        return;
    const double ratio = static_cast<double>(took.count()) / static_cast<double>(nominal.count());
    if (ratio <= FullSpeedRatio && concurrentLoads > m_provenLimit) {
        m_provenLimit = std::min(concurrentLoads, MaxConcurrency);
        m_loadsUntilProbe = m_provenLimit < MaxConcurrency ? 0 : LoadsBetweenProbes;
    } else if (ratio <= FullSpeedRatio && concurrentLoads == m_provenLimit
               && m_provenLimit < MaxConcurrency) {
        --m_loadsUntilProbe;
    } else if (ratio > SlowedRatio) {
        m_provenLimit =
            std::clamp(static_cast<int>(std::lround(concurrentLoads / ratio)), 1, m_provenLimit);
        m_loadsUntilProbe = LoadsBetweenProbes;
    }
}

} // namespace Placement
