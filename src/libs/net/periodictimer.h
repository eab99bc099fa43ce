#pragma once

#include <net/scheduler.h>

#include <functional>

namespace Net {

/// Calls a callback once every period until it is destroyed.
class PeriodicTimer
{
public:
    PeriodicTimer(Scheduler &scheduler, Utils::Duration period, std::function<void()> callback);
    ~PeriodicTimer();
    PeriodicTimer(const PeriodicTimer &) = delete;
    auto operator=(const PeriodicTimer &) -> PeriodicTimer & = delete;

private:
    auto schedule() -> void;

    Scheduler &m_scheduler;
    Utils::Duration m_period;
    std::function<void()> m_callback;
    Scheduler::TimerId m_timer = 0;
};

} // namespace Net
