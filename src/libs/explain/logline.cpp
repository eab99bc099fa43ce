#include "logline.h"

#include <utils/jsonfield.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstring>

namespace Explain {

using nlohmann::json;

namespace {

/// The beginning of `part` in `text`, or null. `memmem` accepts no null pointers.
auto find(std::string_view text, std::string_view part) -> const char *
{
    return text.empty()
        ? nullptr
        : static_cast<const char *>(memmem(text.data(), text.size(), part.data(), part.size()));
}

/// The text after the key; empty if the key is missing.
auto afterKey(std::string_view object, std::string_view key) -> std::string_view
{
    const char *found = find(object, key);
    return found ? object.substr(static_cast<size_t>(found - object.data()) + key.size())
                 : std::string_view();
}

} // namespace

auto LogLine::text(const char *name) const -> std::string
{
    return printable(Utils::fieldOr(fields, name, ""));
}

auto LogLine::number(const char *name, std::int64_t fallback) const -> std::int64_t
{
    return Utils::fieldOr(fields, name, fallback);
}

auto LogLine::requestId() const -> std::string
{
    return Utils::fieldOr(fields, "request", Utils::fieldOr(fields, "requestId", ""));
}

auto printable(std::string text) -> std::string
{
    const auto isControl = [](unsigned char letter) { return std::iscntrl(letter) != 0; };
    std::replace_if(text.begin(), text.end(), isControl, '?');
    return text;
}

auto jsonText(const json &document) -> std::string
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto extractJsonObject(std::string_view line) -> std::string_view
{
    const auto begin = line.find('{');
    const auto end = line.find_last_not_of(" \t\r\n");
    if (begin == std::string_view::npos || line[end] != '}')
        return {};
    return line.substr(begin, end - begin + 1);
}

auto parseLogLine(std::string_view object) -> std::optional<LogLine>
{
    LogLine line;
    line.fields = json::parse(object, nullptr, false);
    line.gateway = line.text("process");
    line.time = std::chrono::milliseconds(line.number("time"));
    const auto event = line.number("event");
    if (line.fields.is_discarded() || line.gateway.empty() || line.time.count() < 0 || event < 0)
        return std::nullopt;
    line.event = static_cast<Utils::Event>(event);
    return line;
}

auto rawNumber(std::string_view object, std::string_view key) -> std::optional<std::int64_t>
{
    const auto rest = afterKey(object, key);
    std::int64_t value = 0;
    const auto result = std::from_chars(rest.data(), rest.data() + rest.size(), value);
    return result.ec == std::errc() ? std::optional(value) : std::nullopt;
}

auto rawText(std::string_view object, std::string_view key) -> std::string_view
{
    const auto rest = afterKey(object, key);
    if (rest.empty() || rest.front() != '"')
        return {};
    const auto end = rest.find('"', 1);
    return end == std::string_view::npos ? std::string_view() : rest.substr(1, end - 1);
}

auto isServedLine(std::string_view object) -> bool
{
    return rawNumber(object, "\"event\":") == static_cast<int>(Utils::Event::RequestServed);
}

auto contains(std::string_view text, std::string_view part) -> bool
{
    return find(text, part) != nullptr;
}

} // namespace Explain
