#include "evacuationlist.h"

namespace Availability {

auto EvacuationList::begin(const std::string &domain) -> bool
{
    return m_domains.insert(domain).second;
}

auto EvacuationList::end(const std::string &domain) -> bool
{
    return m_domains.erase(domain) > 0;
}

auto EvacuationList::isEvacuated(const std::string &domain) const -> bool
{
    return m_domains.count(domain) > 0;
}

} // namespace Availability
