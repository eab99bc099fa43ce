#include "weightstore.h"

#include <net/reactor.h>

#include <algorithm>

namespace StandIns {

WeightStore::WeightStore(Net::Reactor &reactor, double startsPerSecond, int fullSpeedAtOnce)
    : m_reactor(reactor)
    , m_spacing(Utils::fromSeconds(1.0 / startsPerSecond))
    , m_fullSpeedAtOnce(fullSpeedAtOnce)
{ }

auto WeightStore::fetch(Utils::Duration duration, std::function<void()> done) -> void
{
    const auto now = m_reactor.now();
    const auto start = std::max(now, m_nextStart);
    m_nextStart = start + m_spacing;
    ++m_fetches;
    ++m_inFlight;
    m_mostAtOnce = std::max(m_mostAtOnce, m_inFlight);
    const double slowness = std::max(1.0, static_cast<double>(m_inFlight) / m_fullSpeedAtOnce);
    const auto taken = Utils::fromSeconds(Utils::toSeconds(duration) * slowness);
    m_reactor.callAfter(start - now + taken, [this, done = std::move(done)] {
        --m_inFlight;
        done();
    });
}

auto WeightStore::fetches() const -> int
{
    return m_fetches;
}

auto WeightStore::mostAtOnce() const -> int
{
    return m_mostAtOnce;
}

} // namespace StandIns
