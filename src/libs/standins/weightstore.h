#pragma once

#include <utils/timepoint.h>

#include <functional>

namespace Net {
class Reactor;
}

namespace StandIns {

/// A store of model weights that limits the rate at which fetches start. More concurrent fetches
/// than `maxFullSpeedFetches` slow each other down.
class WeightStore
{
public:
    WeightStore(Net::Reactor &reactor, double startsPerSecond, int maxFullSpeedFetches);

    /// Calls `done` when a fetch that takes `duration` at full speed is complete.
    auto fetch(Utils::Duration duration, std::function<void()> done) -> void;
    auto fetches() const -> int;
    auto peakConcurrentFetches() const -> int;

private:
    Net::Reactor &m_reactor;
    Utils::Duration m_startInterval;
    int m_maxFullSpeedFetches;
    int m_inFlight = 0;
    int m_fetches = 0;
    int m_peakConcurrentFetches = 0;
    Utils::TimePoint m_nextStartTime;
};

} // namespace StandIns
