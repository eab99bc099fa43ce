#include "eventsplitter.h"

#include <charconv>

namespace Gateway {

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

auto idOf(std::string_view event) -> std::optional<std::int64_t>
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(std::string_view("id:").size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::int64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
            return id;
    }
    return {};
}

} // namespace

auto EventSplitter::feed(std::string_view data) -> std::vector<StreamEvent>
{
    std::vector<StreamEvent> events;
    m_buffer += data;
    std::string_view view = m_buffer;
    while (const size_t length = eventLength(view)) {
        events.push_back({std::string(view.substr(0, length)), idOf(view.substr(0, length))});
        view.remove_prefix(length);
    }
    m_buffer.erase(0, m_buffer.size() - view.size());
    return events;
}

} // namespace Gateway
