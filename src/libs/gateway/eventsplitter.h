#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/// One whole event of an event stream, as it was received.
struct StreamEvent
{
    std::string text; ///< With the empty line that ends it.
    std::optional<std::int64_t> id;
};

/// Cuts a stream of server-sent events into whole events, so that an event that its server broke
/// off never reaches a caller.
class EventSplitter
{
public:
    auto feed(std::string_view data) -> std::vector<StreamEvent>;
    /// True if an event has not ended.
    auto hasPartialEvent() const -> bool { return !m_buffer.empty(); }
    /// Bytes of the event that has not ended.
    auto partialEventBytes() const -> size_t { return m_buffer.size(); }
    auto clear() -> void { m_buffer.clear(); }

private:
    std::string m_buffer;
};

} // namespace Gateway
