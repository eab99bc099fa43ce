#include "storeloadlimiter.h"

#include <algorithm>
#include <cmath>

namespace Gateway {

namespace {

/// A load that took less than this part of its nominal time was not held up by others.
constexpr double FullSpeed = 1.1;
/// One that took more was; between the two nothing is learnt.
constexpr double HeldUp = 1.3;
constexpr int MostAtOnce = 8;
/// Loads at full speed between two trials of one more at once. What the store carries hardly ever
/// changes, and a trial may hold up a load that is waited for.
constexpr int LoadsBetweenTrials = 12;

} // namespace

auto StoreLoadLimiter::noteBegun(int atOnce) -> void
{
    if (atOnce > m_proven)
        m_untilTrial = LoadsBetweenTrials;
}

auto StoreLoadLimiter::noteLoaded(std::chrono::milliseconds nominal, std::chrono::milliseconds took,
                                  int atOnce) -> void
{
    if (nominal.count() <= 0)
        return;
    const double ratio = static_cast<double>(took.count()) / static_cast<double>(nominal.count());
    if (ratio <= FullSpeed && atOnce > m_proven) {
        m_proven = std::min(atOnce, MostAtOnce);
        m_untilTrial = m_proven < MostAtOnce ? 0 : LoadsBetweenTrials;
    } else if (ratio <= FullSpeed && atOnce == m_proven && m_proven < MostAtOnce) {
        --m_untilTrial;
    } else if (ratio > HeldUp) {
        m_proven = std::clamp(static_cast<int>(std::lround(atOnce / ratio)), 1, m_proven);
        m_untilTrial = LoadsBetweenTrials;
    }
}

} // namespace Gateway
