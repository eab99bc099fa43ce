#include "sharepolicy.h"

#include <algorithm>

namespace Contracts {

namespace {

/// A giver reserves tokens for this many seconds of its own recent use.
constexpr double reservedUseSeconds = 1.0;

} // namespace

auto DemandSharePolicy::transferAmount(const TransferRequest &request, const SliceAmount &held,
                                       double recentUse) const -> SliceAmount
{
    const double reserved = std::min(held.level, recentUse * reservedUseSeconds);
    const double spareLevel = held.level - reserved;
    const double spareRate = std::max(0.0, held.rate - recentUse);
    const double totalUse = request.recentUse + recentUse;
    const double requesterShare = totalUse > 0 ? request.recentUse / totalUse : 0.5;
    SliceAmount part;
    part.level = std::min(request.tokens, spareLevel);
    part.rate = std::min(spareRate, held.rate * requesterShare);
    // Transfers capacity for the level, and in proportion to the rate, so that the receiver can
    // accumulate the tokens that this rate yields.
    const double capacityForRate = held.rate > 0 ? held.capacity * part.rate / held.rate : 0;
    part.capacity = std::max(part.level, std::min(capacityForRate, held.capacity - reserved));
    return part;
}

auto StaticSharePolicy::transferAmount(const TransferRequest &, const SliceAmount &, double) const
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
