#pragma once

namespace Availability {

struct ColdStartDescription;
struct ColdStartTolerance;

/// The gateways that send to one cold server, and what each of them may send.
struct ColdStartShare
{
    int gateways = 0; ///< 0 if the limit leaves no room for a request.
    double perSecond = 0; ///< Of each of them, beside a burst of one request.

    /// Divides the limit among `gatewayCount` known gateways. A group of gateways with the same
    /// knowledge uses half of the limit, bursts included, so that two groups that don't know each
    /// other stay within it.
    static auto create(const ColdStartDescription &service, const ColdStartTolerance &tolerance,
                       int gatewayCount) -> ColdStartShare;
};

} // namespace Availability
