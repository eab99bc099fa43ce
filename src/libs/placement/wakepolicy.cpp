#include "wakepolicy.h"

#include <utils/rendezvous.h>

#include <algorithm>
#include <tuple>

namespace Placement {

namespace {

/// Queued requests at a loaded holder beyond which another loaded holder is preferred.
constexpr int queuePerSpill = 4;

auto sortedNames(std::vector<WakeCandidate> candidates, const auto &rankOf)
    -> std::vector<std::string>
{
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [&rankOf](const auto &left, const auto &right) { return rankOf(left) < rankOf(right); });
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (auto &candidate : candidates)
        names.push_back(std::move(candidate.server));
    return names;
}

/// Yields the same order at every entry, so that the first requests for an unloaded model go to one
/// holder and cause a single load.
class NearestWakePolicy : public WakePolicy
{
public:
    auto rank(const std::string &model, std::vector<WakeCandidate> candidates) const
        -> std::vector<std::string> override
    {
        return sortedNames(std::move(candidates), [&model](const WakeCandidate &candidate) {
            const int spill = candidate.isLoaded ? candidate.queuedRequests / queuePerSpill : 0;
            return std::tuple(!candidate.isLoaded, spill, candidate.nearest, !candidate.isPrimary,
                              !candidate.hasFreeMemory,
                              Utils::stableHash(model + "\n" + candidate.server));
        });
    }
};

class LeastLoadedWakePolicy : public WakePolicy
{
public:
    auto rank(const std::string &, std::vector<WakeCandidate> candidates) const
        -> std::vector<std::string> override
    {
        return sortedNames(std::move(candidates), [](const WakeCandidate &candidate) {
            return std::tuple(candidate.queuedRequests, !candidate.isInCallersDomain);
        });
    }
};

} // namespace

auto makeWakePolicy(const std::string &name) -> std::unique_ptr<WakePolicy>
{
    if (name == "nearest")
        return std::make_unique<NearestWakePolicy>();
    if (name == "least-loaded")
        return std::make_unique<LeastLoadedWakePolicy>();
    return nullptr;
}

} // namespace Placement
