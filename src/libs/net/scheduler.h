#pragma once

#include <utils/timepoint.h>

#include <functional>

namespace Net {

/// Runs callbacks at later times. Tests put a clock of their own in place of the event loop's.
class Scheduler
{
public:
    using TimerId = long;

    virtual ~Scheduler() = default;
    /// Calls `callback` once after `delay`.
    virtual auto callAfter(Utils::Duration delay, std::function<void()> callback) -> TimerId = 0;
    /// Harmless for a timer that has fired already.
    virtual auto cancel(TimerId timer) -> void = 0;
    virtual auto now() const -> Utils::TimePoint = 0;
};

} // namespace Net
