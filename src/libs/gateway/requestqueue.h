#pragma once

#include <admission/admissioncontroller.h>
#include <admission/refusallog.h>

#include <cstdint>
#include <map>
#include <memory>

namespace Net {
class Reactor;
}

namespace Gateway {

class RequestFlow;

/// Requests that wait for a backend server; sends or refuses them as the admission controller says.
class RequestQueue
{
public:
    explicit RequestQueue(Net::Reactor &reactor);

    auto admission() -> Admission::AdmissionController & { return m_admission; }
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
    Admission::AdmissionController m_admission{Admission::makeShareScheduler(),
                                               Admission::makeSlotWaitEstimator()};
    Admission::RefusalLog m_refusalLog;
    std::map<std::uint64_t, std::shared_ptr<RequestFlow>> m_flows;
    std::uint64_t m_lastId = 0;
    bool m_isDispatchScheduled = false;
    /// Expires with the queue; a scheduled dispatch may outlive it.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Gateway
