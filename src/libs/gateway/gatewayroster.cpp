#include "gatewayroster.h"

#include "gatewayconstants.h"

namespace Gateway {

using Utils::TimePoint;

auto GatewayRoster::reset(const std::set<std::string> &names, TimePoint now) -> void
{
    m_heardAt.clear();
    for (const std::string &name : names)
        m_heardAt[name] = now;
}

auto GatewayRoster::noteHeard(const std::string &name, TimePoint now) -> bool
{
    return m_heardAt.insert_or_assign(name, now).second;
}

auto GatewayRoster::takeSilent(TimePoint now) -> std::vector<std::string>
{
    std::vector<std::string> silent;
    for (const auto &[name, heardAt] : m_heardAt) {
        if (now - heardAt > Constants::GatewaySilenceTimeout)
            silent.push_back(name);
    }
    for (const std::string &name : silent)
        m_heardAt.erase(name);
    return silent;
}

auto GatewayRoster::count() const -> int
{
    return static_cast<int>(m_heardAt.size());
}

} // namespace Gateway
