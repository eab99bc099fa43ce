#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Http1 {

/// One complete event of an event stream, as received.
struct StreamEvent
{
    std::string text; ///< Includes the empty line that ends the event.
    std::optional<std::int64_t> id;
    bool isComment = false; ///< No fields; it only shows that the connection is alive.
    bool hasOnlyFields = false; ///< Each line is a comment or a field with a name and a value.
};

/// Splits a stream of server-sent events into complete events, so that a truncated event never
/// reaches a caller.
class EventSplitter
{
public:
    auto feed(std::string_view data) -> std::vector<StreamEvent>;
    /// Returns true if the buffer holds an incomplete event.
    auto hasPartialEvent() const -> bool { return !m_buffer.empty(); }
    /// Size of the incomplete event in the buffer.
    auto partialEventBytes() const -> size_t { return m_buffer.size(); }
    auto clear() -> void { m_buffer.clear(); }

private:
    std::string m_buffer;
};

} // namespace Http1
