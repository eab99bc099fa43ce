#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Admission {

/// A request that waits at an agent.
struct QueuedRequest
{
    std::uint64_t id = 0;
    std::string customer;
    double weight = 1;
    double cost = 1; ///< Estimated tokens.
    std::string model;
    Utils::TimePoint arrivedAt;
    Utils::TimePoint deadline;
};

/// Chooses which waiting request runs next.
class QueueOrder
{
public:
    virtual ~QueueOrder() = default;
    /// Position in `ready` of the next request; `ready` is not empty and in order of arrival.
    virtual auto choose(const std::vector<const QueuedRequest *> &ready) -> size_t = 0;
    virtual auto noteArrival(const QueuedRequest &request,
                             const std::map<std::string, int> &waitingCustomers) -> void = 0;
    /// Records the actual cost in tokens of a chosen request.
    virtual auto noteServed(const QueuedRequest &request, double tokens) -> void = 0;
};

/// "fair" (by work served, weighted by contract) or "first-come" (the baseline); null otherwise.
auto makeQueueOrder(const std::string &name) -> std::unique_ptr<QueueOrder>;

} // namespace Admission
