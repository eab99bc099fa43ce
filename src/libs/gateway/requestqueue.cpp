#include "requestqueue.h"

#include "gatewayconstants.h"
#include "requestflow.h"

#include <net/reactor.h>

#include <vector>

namespace Gateway {

RequestQueue::RequestQueue(Net::Reactor &reactor)
    : m_reactor(reactor)
{ }

auto RequestQueue::add(const std::shared_ptr<RequestFlow> &flow, const RequestRank &rank) -> void
{
    const Key key(rank, m_nextSequence++);
    m_flows.emplace(key, flow);
    m_keys[flow.get()] = key;
}

auto RequestQueue::remove(const RequestFlow *flow) -> void
{
    const auto found = m_keys.find(flow);
    if (found == m_keys.end())
        return;
    m_flows.erase(found->second);
    m_keys.erase(found);
}

auto RequestQueue::clear() -> void
{
    // Requests remove themselves when they end.
    const auto flows = std::move(m_flows);
    m_flows.clear();
    m_keys.clear();
}

auto RequestQueue::wake() -> void
{
    if (m_isDispatchScheduled || m_flows.empty())
        return;
    m_isDispatchScheduled = true;
    m_reactor.callAfter(Constants::DispatchDelay, [this] {
        m_isDispatchScheduled = false;
        dispatchAll();
    });
}

auto RequestQueue::dispatchAll() -> void
{
    std::vector<std::shared_ptr<RequestFlow>> order;
    order.reserve(m_flows.size());
    for (const auto &[key, flow] : m_flows)
        order.push_back(flow);
    for (const auto &flow : order)
        flow->tryDispatch();
}

} // namespace Gateway
