#include "weightstore.h"

#include <net/reactor.h>

#include <algorithm>

namespace StandIns {

WeightStore::WeightStore(Net::Reactor &reactor, double startsPerSecond, int maxFullSpeedFetches)
    : m_reactor(reactor)
    , m_startInterval(Utils::fromSeconds(1.0 / startsPerSecond))
    , m_maxFullSpeedFetches(maxFullSpeedFetches)
{ }

auto WeightStore::fetch(Utils::Duration duration, std::function<void()> done) -> void
{
    const auto now = m_reactor.now();
    const auto start = std::max(now, m_nextStartTime);
    m_nextStartTime = start + m_startInterval;
    ++m_fetches;
    ++m_inFlight;
    m_peakConcurrentFetches = std::max(m_peakConcurrentFetches, m_inFlight);
    const double slowdown = std::max(1.0, static_cast<double>(m_inFlight) / m_maxFullSpeedFetches);
    const auto fetchTime = Utils::fromSeconds(Utils::toSeconds(duration) * slowdown);
    m_reactor.callAfter(start - now + fetchTime, [this, done = std::move(done)] {
        --m_inFlight;
        done();
    });
}

auto WeightStore::fetches() const -> int
{
    return m_fetches;
}

auto WeightStore::peakConcurrentFetches() const -> int
{
    return m_peakConcurrentFetches;
}

} // namespace StandIns
