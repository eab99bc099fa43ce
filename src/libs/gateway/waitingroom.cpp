#include "waitingroom.h"

#include "gatewayconstants.h"
#include "requestflow.h"

#include <net/reactor.h>

#include <vector>

namespace Gateway {

WaitingRoom::WaitingRoom(Net::Reactor &reactor)
    : m_reactor(reactor)
{ }

auto WaitingRoom::add(const std::shared_ptr<RequestFlow> &flow, const WaitingRank &rank) -> void
{
    const Key key(rank, m_next++);
    m_flows.emplace(key, flow);
    m_keys[flow.get()] = key;
}

auto WaitingRoom::remove(const RequestFlow *flow) -> void
{
    const auto found = m_keys.find(flow);
    if (found == m_keys.end())
        return;
    m_flows.erase(found->second);
    m_keys.erase(found);
}

auto WaitingRoom::clear() -> void
{
    // Requests remove themselves when they end.
    const auto flows = std::move(m_flows);
    m_flows.clear();
    m_keys.clear();
}

auto WaitingRoom::wake() -> void
{
    if (m_scheduled || m_flows.empty())
        return;
    m_scheduled = true;
    m_reactor.callAfter(Constants::DispatchPause, [this] {
        m_scheduled = false;
        tryAll();
    });
}

auto WaitingRoom::tryAll() -> void
{
    std::vector<std::shared_ptr<RequestFlow>> order;
    order.reserve(m_flows.size());
    for (const auto &[key, flow] : m_flows)
        order.push_back(flow);
    for (const auto &flow : order)
        flow->tryWaiting();
}

} // namespace Gateway
