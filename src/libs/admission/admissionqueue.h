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

/// An agent's waiting requests. Nothing waits without a deadline, and what can't be served before
/// its deadline is refused on arrival.
class AdmissionQueue
{
public:
    /// `slots` are the requests that run at once.
    AdmissionQueue(std::unique_ptr<QueueOrder> order, int slots, Utils::Duration typicalService);

    /// Takes the request in, or says at once why not. `startDelay` is the wait before it could run
    /// even in an empty queue, such as a load's.
    auto enqueue(const QueuedRequest &request, Utils::Duration startDelay, Utils::TimePoint now)
        -> std::optional<Refusal>;
    /// The next request to run among those that `isReady` accepts, while a slot is free.
    auto next(const std::function<bool(const QueuedRequest &)> &isReady)
        -> std::optional<QueuedRequest>;
    /// A request that `next` gave has ended after `taken`, having cost `tokens`.
    auto finish(const QueuedRequest &request, double tokens, Utils::Duration taken) -> void;
    /// Removes a waiting request; false when it doesn't wait.
    auto remove(std::uint64_t id) -> bool;
    /// Removes and gives the requests whose deadline has come.
    auto takeExpired(Utils::TimePoint now) -> std::vector<QueuedRequest>;
    /// Removes and gives all waiting requests.
    auto takeAll() -> std::vector<QueuedRequest>;

    /// Expected wait of a request that arrives now.
    auto expectedWait() const -> Utils::Duration;
    auto waiting() const -> size_t;
    auto running() const -> int;
    auto nextDeadline() const -> std::optional<Utils::TimePoint>;
    /// True when a request for the model waits.
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
