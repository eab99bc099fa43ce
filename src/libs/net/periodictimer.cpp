#include "periodictimer.h"

namespace Net {

PeriodicTimer::PeriodicTimer(Scheduler &scheduler, Utils::Duration period,
                             std::function<void()> callback)
    : m_scheduler(scheduler)
    , m_period(period)
    , m_callback(std::move(callback))
{
    schedule();
}

PeriodicTimer::~PeriodicTimer()
{
    m_scheduler.cancel(m_timer);
}

auto PeriodicTimer::schedule() -> void
{
    m_timer = m_scheduler.callAfter(m_period, [this] {
        schedule();
        m_callback();
    });
}

} // namespace Net
