#include "streamevents.h"

#include <charconv>

namespace Soak {

namespace {

constexpr std::string_view IdPrefix = "id: ";
constexpr std::string_view DataPrefix = "\ndata: token of ";
constexpr std::string_view VersionPrefix = " by ";
constexpr std::string_view EventEnd = "\n\n";

auto parseEvent(std::string_view text) -> std::optional<StreamEvent>
{
    const auto data = text.find(DataPrefix);
    const auto version = text.find(VersionPrefix, data);
    if (!text.starts_with(IdPrefix) || version == std::string_view::npos)
        return {};
    StreamEvent event;
    const auto *const idEnd = text.data() + data;
    const auto parsed = std::from_chars(text.data() + IdPrefix.size(), idEnd, event.id);
    if (parsed.ec != std::errc() || parsed.ptr != idEnd)
        return {};
    const auto attempt = data + DataPrefix.size();
    event.attempt = text.substr(attempt, version - attempt);
    event.version = text.substr(version + VersionPrefix.size());
    return event;
}

} // namespace

auto StreamEvent::toText() const -> std::string
{
    return std::string(IdPrefix) + std::to_string(id) + std::string(DataPrefix) + attempt
        + std::string(VersionPrefix) + version + std::string(EventEnd);
}

auto parseEvents(std::string_view text) -> std::optional<std::vector<StreamEvent>>
{
    std::vector<StreamEvent> events;
    for (auto end = text.find(EventEnd); end != std::string_view::npos; end = text.find(EventEnd)) {
        auto event = parseEvent(text.substr(0, end));
        if (!event)
            return {};
        events.push_back(std::move(*event));
        text.remove_prefix(end + EventEnd.size());
    }
    return events;
}

} // namespace Soak
