#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Links {

/// Puts the four-byte big-endian length before a payload.
auto encodeFrame(std::string_view payload) -> std::string;

/// Cuts a byte stream back into the payloads that `encodeFrame` made.
class FrameBuffer
{
public:
    auto append(std::string_view bytes) -> void;
    /// The next whole payload, if there is one.
    auto next() -> std::optional<std::string>;
    /// True once a length over the limit was announced; the stream can't be read further.
    auto isBroken() const -> bool;

private:
    std::string m_bytes;
    size_t m_read = 0;
    bool m_broken = false;
};

} // namespace Links
