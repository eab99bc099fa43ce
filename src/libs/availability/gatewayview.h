#pragma once

#include <utils/timepoint.h>

#include <map>
#include <string>
#include <vector>

namespace Availability {

/// The gateways that this gateway knows. One that is no longer listed is kept for a while, because
/// a gateway that can't be reached still sends to servers.
class GatewayView
{
public:
    /// Applies the list of the other gateways. `count` is the number of gateways that exist as far
    /// as is known, and may be larger. Returns true if that changed the view.
    auto update(const std::string &own, const std::vector<std::string> &others, int count,
                Utils::TimePoint now) -> bool;
    /// False until a list has been applied.
    auto isKnown() const -> bool { return !m_own.empty(); }
    auto count() const -> int;
    /// Number of other gateways before this one in the rendezvous order of `key`.
    auto rankOf(const std::string &key) const -> int;

private:
    std::string m_own;
    std::map<std::string, Utils::TimePoint> m_lastListedAt; ///< Of the others.
    int m_count = 0;
};

} // namespace Availability
