#pragma once

#include <rules/rule.h>
#include <rules/ruleerror.h>
#include <utils/result.h>

#include <string>
#include <vector>

namespace Rules {

/// Parses a rules file. If every line is valid, also checks that rules and customers' keys are
/// unique and that referenced customers and models exist. Reports all errors, not only the first.
auto parseRulesFile(const std::string &text)
    -> Utils::Result<std::vector<Rule>, std::vector<RuleError>>;

} // namespace Rules
