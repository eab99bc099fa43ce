#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <map>
#include <memory>
#include <tuple>

namespace Net {
class Reactor;
}

namespace Gateway {

class RequestFlow;

/// Rank of a waiting request; the smallest is dispatched first.
struct RequestRank
{
    int customerPriority = 0;
    int routePriority = 0;
    Utils::TimePoint objective; ///< When the first event is due.

    auto operator<(const RequestRank &other) const -> bool
    {
        return std::tie(customerPriority, routePriority, objective)
            < std::tie(other.customerPriority, other.routePriority, other.objective);
    }
};

/// Requests that wait for a backend server, in the order in which they are dispatched.
class RequestQueue
{
public:
    explicit RequestQueue(Net::Reactor &reactor);

    auto add(const std::shared_ptr<RequestFlow> &flow, const RequestRank &rank) -> void;
    auto remove(const RequestFlow *flow) -> void;
    /// Drops all requests when the gateway is destroyed.
    auto clear() -> void;
    /// Schedules an attempt to dispatch all requests, after a change that may allow some of them to
    /// be sent.
    auto wake() -> void;
    auto size() const -> size_t { return m_flows.size(); }

private:
    using Key = std::pair<RequestRank, std::uint64_t>;

    auto dispatchAll() -> void;

    Net::Reactor &m_reactor;
    std::map<Key, std::shared_ptr<RequestFlow>> m_flows;
    std::map<const RequestFlow *, Key> m_keys;
    std::uint64_t m_nextSequence = 0;
    bool m_isDispatchScheduled = false;
};

} // namespace Gateway
