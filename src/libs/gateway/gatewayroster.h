#pragma once

#include <utils/timepoint.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/// The known gateways by name: those in the store's table and those that sent messages. The holder
/// of the placement lease removes gateways that have been silent for longer than they continue to
/// use their share of the customers' quotas.
class GatewayRoster
{
public:
    /// Replaces the roster by the names in the store's table; all count as seen at `now`.
    auto reset(const std::set<std::string> &names, Utils::TimePoint now) -> void;
    /// Returns true if the gateway was not in the roster.
    auto noteSeen(const std::string &name, Utils::TimePoint now) -> bool;
    /// Removes and returns the gateways that have been silent for too long.
    auto removeSilent(Utils::TimePoint now) -> std::vector<std::string>;
    auto count() const -> int;
    auto names() const -> std::set<std::string>;

private:
    std::map<std::string, Utils::TimePoint> m_lastSeenAt;
};

} // namespace Gateway
