#pragma once

#include <admission/queueorder.h>
#include <admission/refusal.h>
#include <admission/servicetime.h>
#include <utils/timepoint.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Admission {

/// Queue of an agent's waiting requests. Each has a deadline; a request that cannot be served
/// before its deadline is refused on arrival.
class AdmissionQueue
{
public:
    /// `slots` is the number of requests that run concurrently.
    AdmissionQueue(std::unique_ptr<QueueOrder> order, int slots, Utils::Duration typicalService);

    /// Enqueues the request, or returns why it is refused. `startDelay` is the wait before it could
    /// run even in an empty queue, such as the time to load a model.
    auto enqueue(const QueuedRequest &request, Utils::Duration startDelay, Utils::TimePoint now)
        -> std::optional<Refusal>;
    /// The next request to run among those that `isReady` accepts, while a slot is free.
    auto next(const std::function<bool(const QueuedRequest &)> &isReady)
        -> std::optional<QueuedRequest>;
    /// Records that a request from `next` has ended after `taken` and has cost `tokens`.
    auto finish(const QueuedRequest &request, double tokens, Utils::Duration taken) -> void;
    /// Removes a waiting request; returns false if it is not waiting.
    auto remove(std::uint64_t id) -> bool;
    /// Removes and returns the requests whose deadline has passed.
    auto takeExpired(Utils::TimePoint now) -> std::vector<QueuedRequest>;
    /// Removes and returns all waiting requests.
    auto takeAll() -> std::vector<QueuedRequest>;

    /// Expected wait of a request that arrives now.
    auto expectedWait() const -> Utils::Duration;
    auto waiting() const -> size_t;
    auto running() const -> int;
    auto nextDeadline() const -> std::optional<Utils::TimePoint>;
    /// Returns whether a request for the model waits.
    auto hasWaitingFor(const std::string &model) const -> bool;

private:
    auto decrementWaiting(const QueuedRequest &request) -> void;

    std::unique_ptr<QueueOrder> m_order;
    int m_slots;
    int m_running = 0;
    ServiceTime m_serviceTime;
    std::vector<QueuedRequest> m_waiting;
    std::map<std::string, int> m_waitingByCustomer;
};

} // namespace Admission
