#include "headscan.h"

#include <charconv>
#include <system_error>

namespace Http1 {

namespace {

auto isFieldLineValid(std::string_view line) -> bool
{
    if (line.front() == ' ' || line.front() == '\t')
        return false;
    const auto colon = line.find(':');
    return colon != std::string_view::npos && colon > 0
        && line.substr(0, colon).find_first_of(" \t") == std::string_view::npos;
}

} // namespace

auto scanHead(std::string_view data, size_t &length) -> HeadScan
{
    size_t lineStart = 0;
    bool isFirstLine = true;
    while (true) {
        const auto end = data.find_first_of(std::string_view("\r\n\0", 3), lineStart);
        if (end == std::string_view::npos || (data[end] == '\r' && end + 1 == data.size()))
            return HeadScan::Incomplete;
        if (data[end] != '\r' || data[end + 1] != '\n')
            return HeadScan::Malformed;
        const std::string_view line = data.substr(lineStart, end - lineStart);
        lineStart = end + 2;
        if (line.empty()) {
            length = lineStart;
            return isFirstLine ? HeadScan::Malformed : HeadScan::Complete;
        }
        if (!isFirstLine && !isFieldLineValid(line))
            return HeadScan::Malformed;
        isFirstLine = false;
    }
}

auto hasValidStatus(std::string_view head) -> bool
{
    constexpr size_t statusDigits = 3;
    constexpr int lowestStatus = 100;
    constexpr int switchingProtocols = 101;
    constexpr int highestStatus = 599;
    std::string_view line = head.substr(0, head.find('\r'));
    const auto space = line.find(' ');
    if (space == std::string_view::npos)
        return false;
    line.remove_prefix(space + 1);
    const std::string_view text = line.substr(0, line.find(' '));
    int status = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), status);
    return text.size() == statusDigits && parsed.ec == std::errc()
        && parsed.ptr == text.data() + text.size() && status >= lowestStatus
        && status <= highestStatus && status != switchingProtocols;
}

} // namespace Http1
