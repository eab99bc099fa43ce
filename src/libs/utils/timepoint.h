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

/// Bound of times from calculations and from other processes: sums and multiples of it can be
/// represented.
constexpr std::chrono::milliseconds MaxDuration = std::chrono::hours(24) * 365;

/// The duration of `seconds`, rounded down to the clock's resolution, and `MaxDuration` at most.
inline auto fromSeconds(double seconds) -> Duration
{
    constexpr double longest = toSeconds(MaxDuration);
    if (!(seconds < longest))
        return MaxDuration;
    if (seconds < -longest)
        return -MaxDuration;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Utils
