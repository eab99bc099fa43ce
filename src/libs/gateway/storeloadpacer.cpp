#include "storeloadpacer.h"

#include <algorithm>
#include <cmath>

namespace Gateway {

namespace {

/// A load that took less than this part of its nominal time was not held up by others.
constexpr double FullSpeed = 1.1;
/// One that took more was; between the two nothing is learnt.
constexpr double HeldUp = 1.3;
constexpr int MostAtOnce = 8;

} // namespace

auto StoreLoadPacer::noteLoaded(std::chrono::milliseconds nominal, std::chrono::milliseconds took,
                                int atOnce) -> void
{
    if (nominal.count() <= 0)
        return;
    const double ratio = static_cast<double>(took.count()) / static_cast<double>(nominal.count());
    if (ratio <= FullSpeed && atOnce >= m_limit)
        m_limit = std::min(m_limit + 1, MostAtOnce);
    else if (ratio > HeldUp)
        m_limit = std::clamp(static_cast<int>(std::lround(atOnce / ratio)), 1, m_limit);
}

} // namespace Gateway
