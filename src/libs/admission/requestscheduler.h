#pragma once

#include "waitingrequest.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Admission {

/// Orders the waiting requests of one gateway. Opens no socket and reads no clock.
class RequestScheduler
{
public:
    virtual ~RequestScheduler() = default;

    /// Counts a request that has arrived, whether or not it has to wait.
    virtual auto noteArrived(const WaitingRequest &request, Utils::TimePoint now) -> void = 0;
    /// Counts a request that got a slot; called once for each request.
    virtual auto noteSent(const WaitingRequest &request, Utils::TimePoint now) -> void = 0;
    /// Records the time from sending until the part of the answer that the objective is set for.
    virtual auto noteAnswered(const WaitingRequest &request, Utils::Duration taken) -> void = 0;

    virtual auto add(const WaitingRequest &request) -> void = 0;
    /// Counts the request as lost if it has not been sent.
    virtual auto remove(std::uint64_t id, Utils::TimePoint now) -> void = 0;
    /// Null if the request does not wait.
    virtual auto find(std::uint64_t id) const -> const WaitingRequest * = 0;
    /// True if a waiting request may need the slot that a new request would take.
    virtual auto hasClaimBefore(const WaitingRequest &request, Utils::TimePoint now) const
        -> bool = 0;
    /// All waiting requests in the order in which free slots are offered to them.
    virtual auto order(Utils::TimePoint now) -> std::vector<std::uint64_t> = 0;
    /// Number of waiting requests of each route that has had some.
    virtual auto waitingByRoute() const -> std::map<std::string, int> = 0;
    /// Arrival of the request that has waited longest; unset if none waits.
    virtual auto oldestArrival() const -> std::optional<Utils::TimePoint> = 0;
};

/// A scheduler that reserves a share of the slots for each route, customer, model and adapter while
/// their service is overloaded, and orders by urgency otherwise.
auto makeShareScheduler() -> std::unique_ptr<RequestScheduler>;

} // namespace Admission
