#include "gatewayroster.h"

#include "gatewayconstants.h"

namespace Gateway {

using Utils::TimePoint;

auto GatewayRoster::reset(const std::set<std::string> &names, TimePoint now) -> void
{
    m_lastSeenAt.clear();
    for (const std::string &name : names)
        m_lastSeenAt[name] = now;
}

auto GatewayRoster::noteSeen(const std::string &name, TimePoint now) -> bool
{
    return m_lastSeenAt.insert_or_assign(name, now).second;
}

auto GatewayRoster::removeSilent(TimePoint now) -> std::vector<std::string>
{
    std::vector<std::string> silent;
    for (const auto &[name, lastSeenAt] : m_lastSeenAt) {
        if (now - lastSeenAt > Constants::GatewaySilenceTimeout)
            silent.push_back(name);
    }
    for (const std::string &name : silent)
        m_lastSeenAt.erase(name);
    return silent;
}

auto GatewayRoster::names() const -> std::set<std::string>
{
    std::set<std::string> result;
    for (const auto &[name, lastSeenAt] : m_lastSeenAt)
        result.insert(name);
    return result;
}

auto GatewayRoster::count() const -> int
{
    return static_cast<int>(m_lastSeenAt.size());
}

} // namespace Gateway
