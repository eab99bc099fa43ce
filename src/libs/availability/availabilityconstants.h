#pragma once

#include <chrono>

namespace Availability::Constants {

/// Largest number of gateways that send to one cold server. Each may send one request at any time,
/// so more of them leave less for their rates; fewer of them leave more gateways without the
/// server.
constexpr int MaxSendingGateways = 4;
/// Number of disjoint groups of gateways that may choose their own senders for the same server,
/// because no group knows the others. Each group uses this fraction of the limit.
constexpr int MaxDisjointViews = 2;
/// Requests of each sender's share that its burst and its rate need at least.
constexpr double MinShareRequests = 2;
/// A gateway that is no longer listed keeps its place among the known ones for this time. One that
/// can't be reached still sends to servers, and the place of one that is gone costs only its share.
constexpr std::chrono::minutes KnownGatewayRetention(10);
/// Time after the choice of a cold server in which the request must be written; connecting takes a
/// few milliseconds. It bounds how far requests that were chosen one after another may arrive
/// together.
constexpr std::chrono::milliseconds ColdSendLifetime(50);
/// A cold server's load counts as if it had this many more requests, and each took this many times
/// as long.
constexpr double ColdExtraRequests = 1;
constexpr double ColdSlowness = 2;
/// The end of an evacuation is remembered for this time; no server is cold for longer.
constexpr std::chrono::hours EndedEvacuationRetention(1);

} // namespace Availability::Constants
