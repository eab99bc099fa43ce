#include "selectionweights.h"

#include "routingconstants.h"

#include <algorithm>
#include <cmath>

namespace Routing {

auto relativeTime(const ServerState &server, double medianBeginning, double medianPerEvent,
                  Utils::TimePoint now) -> double
{
    // Both speeds say how fast the server is; the slower one bounds what its requests see.
    const double beginning = server.beginning.relativeTo(medianBeginning, now);
    const double perEvent = server.perEvent.relativeTo(medianPerEvent, now);
    const bool hasBoth = server.beginning.isKnown(now) && server.perEvent.isKnown(now);
    const double lasting = hasBoth ? std::max(beginning, perEvent) : beginning * perEvent;
    return server.slowdown.value(now) * lasting;
}

auto SelectionWeights::score(const ServerState &server, double load, bool isRemote) const -> double
{
    double result = load;
    const double relative = relativeTime(server, medianBeginning, medianPerEvent, now);
    // The request itself takes longer on a slow server as well, also if nothing else runs there.
    if (relative != 1)
        result = (load + idleLoad) * relative - idleLoad;
    if (perCachedToken > 0) {
        const double gain = holders.tokensAt(server.handle) * perCachedToken * relative;
        result -= std::min(gain, Constants::MaxCacheGain);
    }
    if (isRemote) {
        const double distance = server.connectTime ? server.connectTime->count() * perConnectMs : 0;
        result += std::min(remoteWeight + distance, maxRemoteWeight) + holdBack;
    }
    return result;
}

auto SelectionWeights::fits(const ServerState &server, double capacityTokens) const -> bool
{
    return server.tokens.fits(requestTokens, meanTokens, capacityTokens, now);
}

} // namespace Routing
