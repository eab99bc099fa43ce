#pragma once

#include <rules/rule.h>
#include <rules/ruleerror.h>
#include <utils/result.h>

#include <optional>
#include <string>

namespace Rules {

/// Parses one line. Returns no rule for a line that is empty or contains only a comment.
auto parseRule(const std::string &text, int line) -> Utils::Result<std::optional<Rule>, RuleError>;

} // namespace Rules
