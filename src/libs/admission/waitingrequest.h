#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <string>

namespace Admission {

/// A request as the scheduler sees it.
struct WaitingRequest
{
    std::uint64_t id = 0;
    std::string service;
    std::string model; ///< Empty where the service has no models.
    std::string adapter;
    std::string route;
    std::string customer;
    int customerPriority = 0; ///< 0 is the most urgent.
    int routePriority = 0;
    double size = 0; ///< In tokens or bytes; only compared within a route.
    Utils::TimePoint arrivedAt;
    Utils::TimePoint objective; ///< When the first event or the answer is due.
    Utils::TimePoint waitEnd; ///< A request that is not sent by then is refused.

    /// Requests of one pool can use the same slots.
    auto pool() const -> std::string { return service + '\n' + model + '\n' + adapter; }
    /// Requests of one class of a pool are ordered by their objectives.
    auto urgencyClass() const -> std::string
    {
        return pool() + '\n' + std::to_string(customerPriority) + '/'
            + std::to_string(routePriority);
    }
};

} // namespace Admission
