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

    /// A field's text for display, without control characters.
    auto text(const char *name) const -> std::string;
    auto number(const char *name, std::int64_t fallback = -1) const -> std::int64_t;
    /// The unmodified id of the request that the line belongs to; empty for other lines.
    auto requestId() const -> std::string;
};

/// Replaces each control character with a question mark: callers choose ids and models.
auto printable(std::string text) -> std::string;
/// Formats as one line of JSON; replaces invalid UTF-8.
auto jsonText(const nlohmann::json &document) -> std::string;

/// The JSON object in a line, without any prefix; empty if there is none.
auto extractJsonObject(std::string_view line) -> std::string_view;

/// Parses an object; returns nothing if it is not JSON or not an event of a named gateway.
auto parseLogLine(std::string_view object) -> std::optional<LogLine>;

/// Finds an integer field without parsing the object. `key` includes the quotes and the colon.
auto rawNumber(std::string_view object, std::string_view key) -> std::optional<std::int64_t>;
/// Finds a string field without parsing the object; escapes are not decoded.
auto rawText(std::string_view object, std::string_view key) -> std::string_view;
/// Whether the object reports a served request. Most lines do, so this avoids parsing them.
auto isServedLine(std::string_view object) -> bool;
auto contains(std::string_view text, std::string_view part) -> bool;

} // namespace Explain
