#pragma once

#include "promptcacheindex.h"
#include "serverstate.h"

#include <utils/timepoint.h>

namespace Routing {

/// What the selection of a server for one request weighs, computed once for all servers. A score is
/// the expected delay in units of the delay that one more request at a server causes: an idle
/// server of usual speed scores 0, and each request that it holds adds 1.
struct SelectionWeights
{
    /// Score of a server; the lowest is the best.
    auto score(const ServerState &server, double load, bool isRemote) const -> double;
    /// True if the server has memory for the request.
    auto fits(const ServerState &server, double capacityTokens) const -> bool;

    Utils::TimePoint now;
    double idleLoad = 1;
    double medianBeginning = 1;
    double medianPerEvent = 1;
    double remoteWeight = 0; ///< Without the distance.
    double perConnectMs = 0; ///< Score of a millisecond of distance.
    double maxRemoteWeight = 0;
    double holdBack = 0; ///< Added while the request should stay in its failure domain.
    double perCachedToken = 0;
    PromptCacheIndex::Holders holders;
    double requestTokens = 0;
    double meanTokens = 0; ///< Of the service's requests.
};

/// Time that a server takes relative to the usual server of its service at its usual speed.
auto relativeTime(const ServerState &server, double medianBeginning, double medianPerEvent,
                  Utils::TimePoint now) -> double;

} // namespace Routing
