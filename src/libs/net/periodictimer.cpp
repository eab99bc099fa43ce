#include "periodictimer.h"

namespace Net {

PeriodicTimer::PeriodicTimer(Reactor &reactor, Utils::Duration period,
                             std::function<void()> callback)
    : m_reactor(reactor)
    , m_period(period)
    , m_callback(std::move(callback))
{
    schedule();
}

PeriodicTimer::~PeriodicTimer()
{
    m_reactor.cancel(m_timer);
}

auto PeriodicTimer::schedule() -> void
{
    m_timer = m_reactor.callAfter(m_period, [this] {
        schedule();
        m_callback();
    });
}

} // namespace Net
