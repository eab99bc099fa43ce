#include "storeloadlimiter.h"

#include <algorithm>
#include <cmath>

namespace Gateway {

namespace {

/// A load that took less than this part of its nominal time was not held up by others.
constexpr double FullSpeedRatio = 1.1;
/// One that took more was; between the two nothing is learnt.
constexpr double SlowedRatio = 1.3;
constexpr int MaxConcurrency = 8;
/// Loads at full speed between two trials of one more at once. What the store carries hardly ever
/// changes, and a trial may hold up a load that is waited for.
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

} // namespace Gateway
