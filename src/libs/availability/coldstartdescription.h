#pragma once

#include <chrono>

namespace Availability {

/// How the servers of a service behave after their start.
struct ColdStartDescription
{
    std::chrono::milliseconds time{0}; ///< For which a server is cold.
    double perSecond = 0; ///< Requests that a cold server tolerates.

    /// False if servers of the service are never cold.
    auto isEnabled() const -> bool { return time > std::chrono::milliseconds(0) && perSecond > 0; }
};

} // namespace Availability
