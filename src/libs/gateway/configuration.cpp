#include "configuration.h"

#include <algorithm>

namespace Gateway {

auto Route::mayRepeat() const -> bool
{
    return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
}

auto Configuration::index() -> void
{
    m_routesByHost.clear();
    m_customerByKey.clear();
    for (size_t i = 0; i < routes.size(); ++i)
        m_routesByHost[routes[i].host].push_back(i);
    for (auto &[host, list] : m_routesByHost) {
        std::stable_sort(list.begin(), list.end(), [this](size_t a, size_t b) {
            return routes[a].prefix.size() > routes[b].prefix.size();
        });
    }
    for (size_t i = 0; i < customers.size(); ++i) {
        for (const std::string &key : customers[i].keys)
            m_customerByKey.emplace(key, i);
    }
}

auto Configuration::findRoute(std::string_view host, std::string_view path) const -> const Route *
{
    const auto found = m_routesByHost.find(std::string(host));
    if (found == m_routesByHost.end())
        return nullptr;
    for (const size_t i : found->second) {
        if (path.starts_with(routes[i].prefix))
            return &routes[i];
    }
    return nullptr;
}

auto Configuration::findCustomer(std::string_view key) const -> const Customer *
{
    const auto found = m_customerByKey.find(std::string(key));
    return found == m_customerByKey.end() ? nullptr : &customers[found->second];
}

auto Configuration::findService(const std::string &name) const -> const Service *
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

} // namespace Gateway
