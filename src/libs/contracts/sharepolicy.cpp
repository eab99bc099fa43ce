#include "sharepolicy.h"

#include <algorithm>

namespace Contracts {

namespace {

/// Seconds of its own recent use that a giver keeps back.
constexpr double keptUseSeconds = 1.0;

} // namespace

auto DemandSharePolicy::partFor(const TransferRequest &ask, const SliceAmount &held,
                                double recentUse) const -> SliceAmount
{
    const double kept = std::min(held.level, recentUse * keptUseSeconds);
    const double spareLevel = held.level - kept;
    const double spareRate = std::max(0.0, held.rate - recentUse);
    const double totalUse = ask.recentUse + recentUse;
    const double askerPart = totalUse > 0 ? ask.recentUse / totalUse : 0.5;
    SliceAmount part;
    part.level = std::min(ask.tokens, spareLevel);
    part.rate = std::min(spareRate, held.rate * askerPart);
    // Capacity goes along with the level, and with the rate so that the receiver can gather it.
    const double withRate = held.rate > 0 ? held.capacity * part.rate / held.rate : 0;
    part.capacity = std::max(part.level, std::min(withRate, held.capacity - kept));
    return part;
}

auto StaticSharePolicy::partFor(const TransferRequest &, const SliceAmount &, double) const
    -> SliceAmount
{
    return {};
}

auto makeSharePolicy(const std::string &name) -> std::unique_ptr<SharePolicy>
{
    if (name == "demand")
        return std::make_unique<DemandSharePolicy>();
    if (name == "static")
        return std::make_unique<StaticSharePolicy>();
    return nullptr;
}

} // namespace Contracts
