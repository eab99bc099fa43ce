#pragma once

#include <chrono>

namespace Utils {

/// Time since 1970 by the system clock. Use it for records and logs, never for deadlines within a
/// process.
inline auto wallClock() -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace Utils
