#pragma once

#include <chrono>

namespace Gateway {

/// How many loads from the weight store are worth running at once. Beyond a number that nobody
/// tells, each that begins takes longer in proportion; it is learnt from how long loads took. Now
/// and then one load is tried beyond what is known to run at full speed.
class StoreLoadLimiter
{
public:
    auto limit() const -> int { return m_provenLimit + (m_loadsUntilProbe <= 0 ? 1 : 0); }
    /// A load begins; `atOnce` run now, itself included.
    auto noteLoadStarted(int concurrentLoads) -> void;
    /// A load ended that takes `nominal` when few run; `atOnce` ran when it began, itself included.
    auto noteLoadFinished(std::chrono::milliseconds nominal, std::chrono::milliseconds took,
                          int concurrentLoads) -> void;

private:
    int m_provenLimit =
        2; ///< Enough to learn from, and few enough that a first load is not delayed.
    int m_loadsUntilProbe = 1; ///< Loads at full speed before one more at once is tried.
};

} // namespace Gateway
