#pragma once

#include <chrono>

namespace Placement {

/// Limits the concurrent loads from the weight store. Beyond an unknown number of loads, each
/// additional one takes proportionally longer. The limit is estimated from the duration of loads;
/// from time to time it is probed with one load more than is known to run at full speed.
class StoreLoadLimiter
{
public:
    auto limit() const -> int { return m_provenLimit + (m_loadsUntilProbe <= 0 ? 1 : 0); }
    /// A load starts; `concurrentLoads` are running now, including it.
    auto noteLoadStarted(int concurrentLoads) -> void;
    /// A load finished that takes `nominal` when few are running. `concurrentLoads` were running
    /// when it started, including it.
    auto noteLoadFinished(std::chrono::milliseconds nominal, std::chrono::milliseconds took,
                          int concurrentLoads) -> void;

private:
    int m_provenLimit = 2; ///< Enough for an estimate, few enough not to delay a first load.
    int m_loadsUntilProbe = 1; ///< Loads at full speed until the next probe.
};

} // namespace Placement
