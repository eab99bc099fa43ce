#pragma once

#include <utils/eventlog.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Explain {

/// One line of a gateway's log.
struct LogLine
{
    std::chrono::milliseconds time{0}; ///< Since 1970, by the gateway's clock.
    std::string gateway;
    Utils::Event event = Utils::Event::AssertionFailed;
    nlohmann::json fields;

    /// For people: without control characters.
    auto text(const char *name) const -> std::string;
    auto number(const char *name, std::int64_t fallback = -1) const -> std::int64_t;
    /// The id of the request that the line is about, as it is; empty for other lines.
    auto requestId() const -> std::string;
};

/// The text with a question mark for each control character: callers choose ids and models.
auto printable(std::string text) -> std::string;
/// One line of JSON; what is no UTF-8 is replaced.
auto jsonText(const nlohmann::json &document) -> std::string;

/// The JSON object of a line, without what stands before it; empty if there is none.
auto extractJsonObject(std::string_view line) -> std::string_view;

/// Parses an object; nothing if it is no JSON, or no event of a named gateway.
auto parseLogLine(std::string_view object) -> std::optional<LogLine>;

/// Reads a whole number of the object without parsing it. `key` is with quotes and colon.
auto rawNumber(std::string_view object, std::string_view key) -> std::optional<std::int64_t>;
/// Reads a text without escapes of the object without parsing it.
auto rawText(std::string_view object, std::string_view key) -> std::string_view;
/// Whether the object says that the request was served. Most lines do, so they are not parsed.
auto isServedLine(std::string_view object) -> bool;
auto contains(std::string_view text, std::string_view part) -> bool;

} // namespace Explain
