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
struct WaitingRank
{
    int customerPriority = 0;
    int routePriority = 0;
    Utils::TimePoint objective; ///< When the first event should be there.

    auto operator<(const WaitingRank &other) const -> bool
    {
        return std::tie(customerPriority, routePriority, objective)
            < std::tie(other.customerPriority, other.routePriority, other.objective);
    }
};

/// Requests that wait for a backend server, in the order in which they are tried.
class WaitingRoom
{
public:
    explicit WaitingRoom(Net::Reactor &reactor);

    auto add(const std::shared_ptr<RequestFlow> &flow, const WaitingRank &rank) -> void;
    auto remove(const RequestFlow *flow) -> void;
    /// Drops all, as the gateway ends.
    auto clear() -> void;
    /// Something changed that may let requests go on; all are tried soon.
    auto wake() -> void;
    auto size() const -> size_t { return m_flows.size(); }

private:
    using Key = std::pair<WaitingRank, std::uint64_t>;

    auto tryAll() -> void;

    Net::Reactor &m_reactor;
    std::map<Key, std::shared_ptr<RequestFlow>> m_flows;
    std::map<const RequestFlow *, Key> m_keys;
    std::uint64_t m_next = 0;
    bool m_scheduled = false;
};

} // namespace Gateway
