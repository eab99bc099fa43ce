#pragma once

#include <string>
#include <vector>

namespace Rules {

/// One word of a line and the column where it starts, counted from 1.
struct Word
{
    std::string text;
    int column = 0;
};

/// A line split into words, and the comment after '#'.
struct LexedLine
{
    std::vector<Word> words;
    std::string comment;
    int endColumn = 1;
};

auto lexLine(const std::string &text) -> LexedLine;

} // namespace Rules
