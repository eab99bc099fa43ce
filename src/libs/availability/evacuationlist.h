#pragma once

#include <set>
#include <string>

namespace Availability {

/// The failure domains whose servers get no requests, as the operators' rows name them. An
/// evacuation lasts until the removal of its row is known, whatever happens to the store meanwhile.
class EvacuationList
{
public:
    /// Returns true if the domain was not evacuated before.
    auto begin(const std::string &domain) -> bool;
    /// Returns true if the domain was evacuated before.
    auto end(const std::string &domain) -> bool;
    auto isEvacuated(const std::string &domain) const -> bool;
    auto domains() const -> const std::set<std::string> & { return m_domains; }

private:
    std::set<std::string> m_domains;
};

} // namespace Availability
