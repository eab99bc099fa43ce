#include "eventsplitter.h"

#include <algorithm>
#include <charconv>

namespace Http1 {

namespace {

/// Length of the first event including the empty line after it; 0 if the event is incomplete.
auto eventLength(std::string_view data) -> size_t
{
    size_t lineStart = 0;
    while (true) {
        const auto end = data.find('\n', lineStart);
        if (end == std::string_view::npos)
            return 0;
        std::string_view line = data.substr(lineStart, end - lineStart);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.empty())
            return end + 1;
        lineStart = end + 1;
    }
}

auto parseId(std::string_view value) -> std::optional<std::int64_t>
{
    while (value.starts_with(' '))
        value.remove_prefix(1);
    std::int64_t id = 0;
    if (std::from_chars(value.data(), value.data() + value.size(), id).ec != std::errc())
        return {};
    return id;
}

/// Field names of events consist of lowercase letters and hyphens; an answer's head begins with
/// neither.
auto isFieldName(std::string_view name) -> bool
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || c == '-';
    });
}

auto parseEvent(std::string_view text) -> StreamEvent
{
    StreamEvent event{std::string(text), {}, true, true};
    while (!text.empty()) {
        const auto end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.empty() || line.starts_with(':'))
            continue;
        event.isComment = false;
        const auto colon = line.find(':');
        const std::string_view name = line.substr(0, colon);
        if (colon == std::string_view::npos || !isFieldName(name))
            event.hasOnlyFields = false;
        else if (name == "id" && !event.id)
            event.id = parseId(line.substr(colon + 1));
    }
    return event;
}

} // namespace

auto EventSplitter::feed(std::string_view data) -> std::vector<StreamEvent>
{
    std::vector<StreamEvent> events;
    m_buffer += data;
    std::string_view view = m_buffer;
    while (const size_t length = eventLength(view)) {
        events.push_back(parseEvent(view.substr(0, length)));
        view.remove_prefix(length);
    }
    m_buffer.erase(0, m_buffer.size() - view.size());
    return events;
}

} // namespace Http1
