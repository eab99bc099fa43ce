#include "requestqueue.h"

#include "gatewayconstants.h"
#include "requestflow.h"

#include <net/reactor.h>

#include <set>
#include <string>

namespace Gateway {

RequestQueue::RequestQueue(Net::Reactor &reactor)
    : m_reactor(reactor)
{ }

auto RequestQueue::add(const std::shared_ptr<RequestFlow> &flow,
                       const Admission::WaitingRequest &request) -> void
{
    m_flows[request.id] = flow;
    m_admission.add(request, m_reactor.now());
    // The request may not have been tried, as others wait for the same slots.
    wake();
}

auto RequestQueue::remove(std::uint64_t id) -> void
{
    m_flows.erase(id);
    m_admission.remove(id, m_reactor.now());
}

auto RequestQueue::clear() -> void
{
    // Requests remove themselves when they end.
    const auto flows = std::move(m_flows);
    m_flows.clear();
}

auto RequestQueue::wake() -> void
{
    if (m_isDispatchScheduled || m_flows.empty())
        return;
    m_isDispatchScheduled = true;
    m_reactor.callAfter(Constants::DispatchDelay, [this, alive = std::weak_ptr(m_alive)] {
        if (alive.expired())
            return;
        m_isDispatchScheduled = false;
        dispatchAll();
    });
}

auto RequestQueue::dispatchAll() -> void
{
    std::set<std::string> fullPools;
    for (const std::uint64_t id : m_admission.order(m_reactor.now())) {
        const auto found = m_flows.find(id);
        if (found == m_flows.end())
            continue;
        const auto flow = found->second;
        const std::string pool = m_admission.scheduler().find(id)->pool();
        const bool mayUseAnyServer = flow->mayUseAnyServer();
        if (mayUseAnyServer && fullPools.count(pool) > 0)
            continue;
        flow->tryDispatch();
        if (mayUseAnyServer && m_flows.count(id) > 0)
            fullPools.insert(pool);
    }
    const auto now = m_reactor.now();
    for (const auto &refusal : m_admission.findHopeless(now)) {
        const auto found = m_flows.find(refusal.id);
        const auto flow = found == m_flows.end() ? nullptr : found->second;
        if (flow && flow->mayRefuseEarly()) {
            m_refusalLog.note(flow->attemptId(), refusal, now);
            flow->refuseEarly(refusal.ground);
        }
    }
}

} // namespace Gateway
