#include "requestprofile.h"

#include "routingconstants.h"

#include <utils/rendezvous.h>

namespace Routing {

auto RequestProfile::addPart(std::string_view id, int tokens) -> void
{
    if (prefixes.size() >= Constants::MaxPrefixParts)
        return;
    const std::uint64_t before = prefixes.empty() ? Utils::stableHash(model) : prefixes.back().key;
    const double tokensBefore = prefixes.empty() ? 0 : prefixes.back().tokens;
    const std::uint64_t key = Utils::stableHash(std::to_string(before) + ':' + std::string(id));
    prefixes.push_back({key, tokensBefore + tokens});
}

auto RunningRequest::noteEvents(int count, Utils::TimePoint now) -> bool
{
    const bool isFirst = !begunAt;
    if (isFirst)
        begunAt = now;
    lastEventAt = now;
    events += count;
    return isFirst;
}

} // namespace Routing
