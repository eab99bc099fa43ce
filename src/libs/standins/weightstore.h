#pragma once

#include <utils/timepoint.h>

#include <functional>

namespace Net {
class Reactor;
}

namespace StandIns {

/// A rate-limited store of model weights: so many fetches may start a second, and more at once than
/// it likes slow each other down.
class WeightStore
{
public:
    WeightStore(Net::Reactor &reactor, double startsPerSecond, int fullSpeedAtOnce);

    /// Calls `done` when a fetch that takes `duration` at full speed is through.
    auto fetch(Utils::Duration duration, std::function<void()> done) -> void;
    auto fetches() const -> int;
    auto mostAtOnce() const -> int;

private:
    Net::Reactor &m_reactor;
    Utils::Duration m_spacing;
    int m_fullSpeedAtOnce;
    int m_inFlight = 0;
    int m_fetches = 0;
    int m_mostAtOnce = 0;
    Utils::TimePoint m_nextStart;
};

} // namespace StandIns
