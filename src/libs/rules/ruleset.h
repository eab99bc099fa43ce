#pragma once

#include <rules/rule.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Rules {

/// A rule of one kind with its source line.
template <typename Body>
struct Sourced
{
    Body body;
    RuleSource source;
};

/// All rules in force at one revision, indexed for look-ups.
class RuleSet
{
public:
    RuleSet() = default;
    explicit RuleSet(const std::vector<Rule> &rules);

    auto customer(const std::string &name) const -> const Sourced<CustomerRule> *;
    auto customers() const -> const std::map<std::string, Sourced<CustomerRule>> &;
    /// The customer that owns the key with this hash, or null.
    auto customerOfKey(const std::string &keyHash) const -> const Sourced<CustomerRule> *;
    auto model(const std::string &name) const -> const Sourced<ModelRule> *;
    auto models() const -> const std::map<std::string, Sourced<ModelRule>> &;
    auto adapter(const std::string &name) const -> const Sourced<AdapterRule> *;
    /// The route for a request, or null. A path that ends in "*" matches every path with that
    /// prefix; the longest match wins.
    auto route(const std::string &method, const std::string &path) const
        -> const Sourced<RouteRule> *;
    auto openRoute(const std::string &method, const std::string &path) const
        -> const Sourced<OpenRule> *;
    auto drain(const std::string &backendServer) const -> const Sourced<DrainRule> *;

private:
    auto insert(const Rule &rule) -> void;

    std::map<std::string, Sourced<CustomerRule>> m_customers;
    std::map<std::string, std::string> m_customerByKey;
    std::map<std::string, Sourced<ModelRule>> m_models;
    std::map<std::string, Sourced<AdapterRule>> m_adapters;
    std::vector<Sourced<RouteRule>> m_routes;
    std::vector<Sourced<OpenRule>> m_openRoutes;
    std::map<std::string, Sourced<DrainRule>> m_drains;
};

} // namespace Rules
