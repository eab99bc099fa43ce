#pragma once

#include <string>

namespace Rules {

/// A syntax or consistency error in one line of a rules file; line and column count from 1.
struct RuleError
{
    int line = 0;
    int column = 0;
    std::string expected;
    std::string found;
    std::string nearMatch;

    /// "FILE:LINE:COLUMN: expected …, found …".
    auto toString(const std::string &fileName) const -> std::string;
};

} // namespace Rules
