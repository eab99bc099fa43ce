#include "ruleset.h"

namespace Rules {

namespace {

struct RuleKeyVisitor
{
    auto operator()(const CustomerRule &rule) const -> std::string
    {
        return "customer/" + rule.name;
    }
    auto operator()(const KeyRule &rule) const -> std::string { return "key/" + rule.keyHash; }
    auto operator()(const ModelRule &rule) const -> std::string { return "model/" + rule.name; }
    auto operator()(const AdapterRule &rule) const -> std::string { return "adapter/" + rule.name; }
    auto operator()(const RouteRule &rule) const -> std::string
    {
        return "route/" + rule.method + rule.path;
    }
    auto operator()(const OpenRule &rule) const -> std::string
    {
        return "open/" + rule.method + rule.path;
    }
    auto operator()(const DrainRule &rule) const -> std::string
    {
        return "drain/" + rule.backendServer;
    }
};

auto matches(const std::string &pattern, const std::string &path) -> bool
{
    if (!pattern.empty() && pattern.back() == '*')
        return path.compare(0, pattern.size() - 1, pattern, 0, pattern.size() - 1) == 0;
    return pattern == path;
}

template <typename Body>
auto find(const std::map<std::string, Sourced<Body>> &rules, const std::string &name)
    -> const Sourced<Body> *
{
    const auto found = rules.find(name);
    return found == rules.end() ? nullptr : &found->second;
}

template <typename Body>
auto findRoute(const std::vector<Sourced<Body>> &routes, const std::string &method,
               const std::string &path) -> const Sourced<Body> *
{
    const Sourced<Body> *best = nullptr;
    for (const auto &route : routes) {
        const bool isMatch = route.body.method == method && matches(route.body.path, path);
        if (isMatch && (!best || route.body.path.size() > best->body.path.size()))
            best = &route;
    }
    return best;
}

} // namespace

auto Rule::key() const -> std::string
{
    return std::visit(RuleKeyVisitor(), body);
}

RuleSet::RuleSet(const std::vector<Rule> &rules)
{
    for (const auto &rule : rules)
        insert(rule);
}

auto RuleSet::insert(const Rule &rule) -> void
{
    if (const auto *customerRule = std::get_if<CustomerRule>(&rule.body)) {
        m_customers[customerRule->name] = {*customerRule, rule.source};
        for (const auto &hash : customerRule->keyHashes)
            m_customerByKey[hash] = customerRule->name;
    } else if (const auto *key = std::get_if<KeyRule>(&rule.body)) {
        m_customerByKey[key->keyHash] = key->customer;
    } else if (const auto *modelRule = std::get_if<ModelRule>(&rule.body)) {
        m_models[modelRule->name] = {*modelRule, rule.source};
    } else if (const auto *adapterRule = std::get_if<AdapterRule>(&rule.body)) {
        m_adapters[adapterRule->name] = {*adapterRule, rule.source};
    } else if (const auto *routeRule = std::get_if<RouteRule>(&rule.body)) {
        m_routes.push_back({*routeRule, rule.source});
    } else if (const auto *open = std::get_if<OpenRule>(&rule.body)) {
        m_openRoutes.push_back({*open, rule.source});
    } else if (const auto *drainRule = std::get_if<DrainRule>(&rule.body)) {
        m_drains[drainRule->backendServer] = {*drainRule, rule.source};
    }
}

auto RuleSet::customer(const std::string &name) const -> const Sourced<CustomerRule> *
{
    return find(m_customers, name);
}

auto RuleSet::customers() const -> const std::map<std::string, Sourced<CustomerRule>> &
{
    return m_customers;
}

auto RuleSet::customerOfKey(const std::string &keyHash) const -> const Sourced<CustomerRule> *
{
    const auto found = m_customerByKey.find(keyHash);
    return found == m_customerByKey.end() ? nullptr : customer(found->second);
}

auto RuleSet::model(const std::string &name) const -> const Sourced<ModelRule> *
{
    return find(m_models, name);
}

auto RuleSet::models() const -> const std::map<std::string, Sourced<ModelRule>> &
{
    return m_models;
}

auto RuleSet::adapter(const std::string &name) const -> const Sourced<AdapterRule> *
{
    return find(m_adapters, name);
}

auto RuleSet::route(const std::string &method, const std::string &path) const
    -> const Sourced<RouteRule> *
{
    return findRoute(m_routes, method, path);
}

auto RuleSet::openRoute(const std::string &method, const std::string &path) const
    -> const Sourced<OpenRule> *
{
    return findRoute(m_openRoutes, method, path);
}

auto RuleSet::drain(const std::string &backendServer) const -> const Sourced<DrainRule> *
{
    return find(m_drains, backendServer);
}

} // namespace Rules
