#include "linelexer.h"

namespace Rules {

namespace {

auto isBlank(char c) -> bool
{
    return c == ' ' || c == '\t' || c == '\r';
}

auto trimmed(const std::string &text) -> std::string
{
    const auto first = text.find_first_not_of(" \t\r");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

} // namespace

auto lexLine(const std::string &text) -> LexedLine
{
    LexedLine line;
    const auto hash = text.find('#');
    const std::string code = text.substr(0, hash);
    if (hash != std::string::npos)
        line.comment = trimmed(text.substr(hash + 1));
    size_t at = 0;
    while (at < code.size()) {
        if (isBlank(code[at])) {
            ++at;
            continue;
        }
        const size_t start = at;
        while (at < code.size() && !isBlank(code[at]))
            ++at;
        line.words.push_back({code.substr(start, at - start), static_cast<int>(start) + 1});
        line.endColumn = static_cast<int>(at) + 1;
    }
    return line;
}

} // namespace Rules
