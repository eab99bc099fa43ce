#pragma once

#include <rules/rule.h>
#include <rules/ruleerror.h>
#include <utils/result.h>

#include <string>
#include <vector>

namespace Rules {

/// Parses a whole rules file and checks its lines against each other; all faults are reported at
/// once.
auto parseRulesFile(const std::string &text)
    -> Utils::Result<std::vector<Rule>, std::vector<RuleError>>;

} // namespace Rules
