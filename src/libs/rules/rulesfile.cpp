#include "rulesfile.h"

#include "ruleparser.h"

#include <utils/nearmatch.h>

#include <map>
#include <sstream>

namespace Rules {

namespace {

/// Checks that rules and customers' keys are unique and that referenced customers and models are
/// defined.
class ConsistencyChecker
{
public:
    explicit ConsistencyChecker(const std::vector<Rule> &rules)
        : m_rules(rules)
    {
        for (const auto &rule : rules) {
            if (const auto *customer = std::get_if<CustomerRule>(&rule.body))
                m_customers.push_back(customer->name);
            if (const auto *model = std::get_if<ModelRule>(&rule.body))
                m_models.push_back(model->name);
        }
    }

    auto run() -> std::vector<RuleError>
    {
        for (const auto &rule : m_rules) {
            m_line = rule.source.line;
            checkUnique("the rule", rule.key(), m_keys);
            std::visit([this](const auto &body) { check(body); }, rule.body);
        }
        return m_errors;
    }

private:
    auto check(const CustomerRule &rule) -> void
    {
        for (const auto &hash : rule.keyHashes)
            checkUnique("the key", hash, m_hashes);
    }

    auto check(const KeyRule &rule) -> void
    {
        checkUnique("the key", rule.keyHash, m_hashes);
        checkDefined("customer", rule.customer, m_customers);
    }

    auto check(const AdapterRule &rule) -> void { checkDefined("model", rule.model, m_models); }

    template <typename Other>
    auto check(const Other &) -> void
    { }

    auto checkUnique(const std::string &what, const std::string &name,
                     std::map<std::string, int> &seen) -> void
    {
        const auto [found, isNew] = seen.emplace(name, m_line);
        if (isNew)
            return;
        m_errors.push_back({m_line,
                            1,
                            what + " to appear only once",
                            "a duplicate; first defined on line " + std::to_string(found->second),
                            {}});
    }

    auto checkDefined(const std::string &what, const std::string &name,
                      const std::vector<std::string> &names) -> void
    {
        for (const auto &known : names) {
            if (known == name)
                return;
        }
        m_errors.push_back({m_line, 1, "a " + what + " that this file defines", "\"" + name + "\"",
                            Utils::nearMatch(name, names)});
    }

    const std::vector<Rule> &m_rules;
    std::vector<std::string> m_customers;
    std::vector<std::string> m_models;
    std::map<std::string, int> m_keys;
    std::map<std::string, int> m_hashes;
    std::vector<RuleError> m_errors;
    int m_line = 0;
};

} // namespace

auto RuleError::toString(const std::string &fileName) const -> std::string
{
    std::string text = fileName + ":" + std::to_string(line) + ":" + std::to_string(column)
        + ": expected " + expected + ", found " + found;
    if (!nearMatch.empty())
        text += "; did you mean \"" + nearMatch + "\"?";
    return text;
}

auto parseRulesFile(const std::string &text)
    -> Utils::Result<std::vector<Rule>, std::vector<RuleError>>
{
    std::vector<Rule> rules;
    std::vector<RuleError> errors;
    std::istringstream lines(text);
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        auto rule = parseRule(line, number);
        if (!rule)
            errors.push_back(rule.error());
        else if (*rule)
            rules.push_back(std::move(**rule));
    }
    if (errors.empty())
        errors = ConsistencyChecker(rules).run();
    if (!errors.empty())
        return tl::unexpected(errors);
    return rules;
}

} // namespace Rules
