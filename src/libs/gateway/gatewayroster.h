#pragma once

#include <utils/timepoint.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/// The gateways there are, by name: those in the store's table, and those that were heard. The
/// holder of the placement duty drops the ones that have been silent for longer than they go on
/// using their part of the customers' quotas.
class GatewayRoster
{
public:
    /// What the store's table says; all of them count as heard at that moment.
    auto reset(const std::set<std::string> &names, Utils::TimePoint now) -> void;
    /// True if the gateway was not in the roster.
    auto noteSeen(const std::string &name, Utils::TimePoint now) -> bool;
    /// Drops and returns those that have been silent for too long.
    auto removeSilent(Utils::TimePoint now) -> std::vector<std::string>;
    auto count() const -> int;

private:
    std::map<std::string, Utils::TimePoint> m_lastSeenAt;
};

} // namespace Gateway
