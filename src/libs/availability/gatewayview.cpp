#include "gatewayview.h"

#include "availabilityconstants.h"

#include <utils/rendezvous.h>

#include <algorithm>

namespace Availability {

using Utils::TimePoint;

auto GatewayView::update(const std::string &own, const std::vector<std::string> &others,
                         int existing, TimePoint now) -> bool
{
    bool isChanged = m_own != own || m_count != existing;
    m_own = own;
    m_count = existing;
    for (const std::string &name : others) {
        if (name != own)
            isChanged = m_lastListedAt.insert_or_assign(name, now).second || isChanged;
    }
    const auto forgotten = std::erase_if(m_lastListedAt, [now](const auto &item) {
        return now - item.second > Constants::KnownGatewayRetention;
    });
    return isChanged || forgotten > 0;
}

auto GatewayView::count() const -> int
{
    return std::max(m_count, static_cast<int>(m_lastListedAt.size()) + 1);
}

auto GatewayView::rankOf(const std::string &key) const -> int
{
    std::vector<std::string> names = {m_own};
    for (const auto &[name, listedAt] : m_lastListedAt)
        names.push_back(name);
    const auto ranked = Utils::rankByRendezvous(key, std::move(names));
    return static_cast<int>(std::find(ranked.begin(), ranked.end(), m_own) - ranked.begin());
}

} // namespace Availability
