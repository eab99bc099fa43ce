#pragma once

#include <chrono>

namespace Utils {

/// A point in time of this process's monotonic clock. Code that decides receives it as a parameter
/// and never reads a clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Length of `duration` in seconds.
constexpr auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

/// The duration of `seconds`, rounded down to the clock's resolution.
inline auto fromSeconds(double seconds) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Utils
