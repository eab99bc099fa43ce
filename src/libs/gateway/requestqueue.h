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

/// Rank of a waiting request; the smallest goes first.
struct RequestRank
{
    int customerPriority = 0;
    int routePriority = 0;
    Utils::TimePoint objective; ///< When the first event should be there.

    auto operator<(const RequestRank &other) const -> bool
    {
        return std::tie(customerPriority, routePriority, objective)
            < std::tie(other.customerPriority, other.routePriority, other.objective);
    }
};

/// Requests that wait for a backend server, in the order in which they are tried.
class RequestQueue
{
public:
    explicit RequestQueue(Net::Reactor &reactor);

    auto add(const std::shared_ptr<RequestFlow> &flow, const RequestRank &rank) -> void;
    auto remove(const RequestFlow *flow) -> void;
    /// Drops all, as the gateway ends.
    auto clear() -> void;
    /// Something changed that may let requests go on; all are tried soon.
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
