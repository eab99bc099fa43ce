#pragma once

#include <net/scheduler.h>

#include <algorithm>
#include <map>

/// A scheduler whose clock advances only when a test calls `advance`.
class VirtualScheduler : public Net::Scheduler
{
public:
    auto callAfter(Utils::Duration delay, std::function<void()> callback) -> TimerId override
    {
        const TimerId id = m_nextTimer++;
        const auto due = m_now + std::max(delay, Utils::Duration::zero());
        m_timers.emplace(std::pair(due, id), std::move(callback));
        m_dueTimes.emplace(id, due);
        return id;
    }

    auto cancel(TimerId timer) -> void override
    {
        const auto found = m_dueTimes.find(timer);
        if (found == m_dueTimes.end())
            return;
        m_timers.erase({found->second, timer});
        m_dueTimes.erase(found);
    }

    auto now() const -> Utils::TimePoint override { return m_now; }

    /// Advances the clock by `duration` and runs the callbacks that fall due.
    auto advance(Utils::Duration duration) -> void
    {
        const auto end = m_now + duration;
        while (!m_timers.empty() && m_timers.begin()->first.first <= end) {
            const auto [due, id] = m_timers.begin()->first;
            const auto callback = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            m_dueTimes.erase(id);
            m_now = due;
            callback();
        }
        m_now = end;
    }

private:
    Utils::TimePoint m_now = Utils::TimePoint() + std::chrono::hours(1);
    std::map<std::pair<Utils::TimePoint, TimerId>, std::function<void()>> m_timers;
    std::map<TimerId, Utils::TimePoint> m_dueTimes;
    TimerId m_nextTimer = 1;
};
