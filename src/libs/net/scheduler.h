#pragma once

#include <utils/timepoint.h>

#include <functional>

namespace Net {

/// Runs callbacks at later times. Tests replace the event loop's clock by a simulated one.
class Scheduler
{
public:
    using TimerId = long;

    virtual ~Scheduler() = default;
    /// Calls `callback` once after `delay`.
    virtual auto callAfter(Utils::Duration delay, std::function<void()> callback) -> TimerId = 0;
    /// Cancels a timer; does nothing if it has already fired.
    virtual auto cancel(TimerId timer) -> void = 0;
    virtual auto now() const -> Utils::TimePoint = 0;
};

} // namespace Net
