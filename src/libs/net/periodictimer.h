#pragma once

#include <net/reactor.h>

#include <functional>

namespace Net {

/// Calls back once every period for as long as it lives.
class PeriodicTimer
{
public:
    PeriodicTimer(Reactor &reactor, Utils::Duration period, std::function<void()> callback);
    ~PeriodicTimer();
    PeriodicTimer(const PeriodicTimer &) = delete;
    auto operator=(const PeriodicTimer &) -> PeriodicTimer & = delete;

private:
    auto schedule() -> void;

    Reactor &m_reactor;
    Utils::Duration m_period;
    std::function<void()> m_callback;
    Reactor::TimerId m_timer = 0;
};

} // namespace Net
