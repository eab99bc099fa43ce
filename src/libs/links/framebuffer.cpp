#include "framebuffer.h"

#include "linksconstants.h"

namespace Links {

namespace {

constexpr size_t prefixBytes = 4;

auto readLength(const char *bytes) -> size_t
{
    size_t length = 0;
    for (size_t i = 0; i < prefixBytes; ++i)
        length = (length << 8) | static_cast<unsigned char>(bytes[i]);
    return length;
}

} // namespace

auto encodeFrame(std::string_view payload) -> std::string
{
    std::string frame;
    frame.reserve(prefixBytes + payload.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        frame.push_back(static_cast<char>((payload.size() >> shift) & 0xff));
    frame.append(payload);
    return frame;
}

auto FrameBuffer::append(std::string_view bytes) -> void
{
    m_bytes.append(bytes);
}

auto FrameBuffer::next() -> std::optional<std::string>
{
    if (m_broken || m_bytes.size() - m_read < prefixBytes)
        return std::nullopt;
    const size_t length = readLength(m_bytes.data() + m_read);
    if (length > Constants::MaxMessageBytes) {
        m_broken = true;
        return std::nullopt;
    }
    if (m_bytes.size() - m_read < prefixBytes + length)
        return std::nullopt;
    std::string payload = m_bytes.substr(m_read + prefixBytes, length);
    m_read += prefixBytes + length;
    if (m_read == m_bytes.size()) {
        m_bytes.clear();
        m_read = 0;
    }
    return payload;
}

auto FrameBuffer::isBroken() const -> bool
{
    return m_broken;
}

} // namespace Links
