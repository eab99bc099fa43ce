#pragma once

namespace Availability {

/// By how much all gateways together may exceed a cold server's rate in any second.
struct ColdStartTolerance
{
    double factor = 1;
    double extraRequests = 0;
};

} // namespace Availability
