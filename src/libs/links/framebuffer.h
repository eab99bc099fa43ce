#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Links {

/// Prepends the length of a payload as four bytes in big-endian order.
auto encodeFrame(std::string_view payload) -> std::string;

/// Splits a byte stream of frames from `encodeFrame` into payloads.
class FrameBuffer
{
public:
    auto append(std::string_view bytes) -> void;
    /// The next complete payload, if there is one.
    auto next() -> std::optional<std::string>;
    /// True after a frame length over the limit; the rest of the stream cannot be read.
    auto isBroken() const -> bool;

private:
    std::string m_bytes;
    size_t m_read = 0;
    bool m_broken = false;
};

} // namespace Links
