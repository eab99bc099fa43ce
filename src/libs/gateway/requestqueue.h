#pragma once

#include <admission/requestscheduler.h>

#include <cstdint>
#include <map>
#include <memory>

namespace Net {
class Reactor;
}

namespace Gateway {

class RequestFlow;

/// Requests that wait for a backend server; offers free slots to them in the scheduler's order.
class RequestQueue
{
public:
    explicit RequestQueue(Net::Reactor &reactor);

    auto scheduler() -> Admission::RequestScheduler & { return *m_scheduler; }
    auto makeId() -> std::uint64_t { return ++m_lastId; }
    auto add(const std::shared_ptr<RequestFlow> &flow, const Admission::WaitingRequest &request)
        -> void;
    auto remove(std::uint64_t id) -> void;
    /// Drops all requests when the gateway is destroyed.
    auto clear() -> void;
    /// Schedules an attempt to dispatch all requests, after a change that may allow some of them to
    /// be sent.
    auto wake() -> void;

private:
    auto dispatchAll() -> void;

    Net::Reactor &m_reactor;
    std::unique_ptr<Admission::RequestScheduler> m_scheduler = Admission::makeShareScheduler();
    std::map<std::uint64_t, std::shared_ptr<RequestFlow>> m_flows;
    std::uint64_t m_lastId = 0;
    bool m_isDispatchScheduled = false;
};

} // namespace Gateway
