#pragma once

#include <chrono>

namespace Gateway {

/// How many loads from the weight store are worth running at once. Beyond a number that nobody
/// tells, all loads take longer in proportion; it is learnt from how long loads took.
class StoreLoadPacer
{
public:
    auto limit() const -> int { return m_limit; }
    /// A load ended that takes `nominal` when few run; `atOnce` ran when it began, itself included.
    auto noteLoaded(std::chrono::milliseconds nominal, std::chrono::milliseconds took, int atOnce)
        -> void;

private:
    int m_limit = 2; ///< Enough to learn from, and few enough that a first load is not delayed.
};

} // namespace Gateway
