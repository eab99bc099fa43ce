#pragma once

#include <rules/rule.h>
#include <rules/ruleerror.h>
#include <utils/result.h>

#include <optional>
#include <string>

namespace Rules {

/// Parses one line. An empty or comment-only line gives no rule.
auto parseRule(const std::string &text, int line) -> Utils::Result<std::optional<Rule>, RuleError>;

} // namespace Rules
