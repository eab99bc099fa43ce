#include "answertail.h"

namespace Agent {

AnswerTail::AnswerTail(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{ }

auto AnswerTail::append(const std::string &bytes) -> void
{
    m_bytes += bytes;
    // Trim only at twice the limit, so that not every append to a long answer moves its bytes.
    if (m_bytes.size() <= 2 * m_maxBytes)
        return;
    const std::size_t excess = m_bytes.size() - m_maxBytes;
    m_bytes.erase(0, excess);
    m_start += excess;
}

auto AnswerTail::from(std::uint64_t offset) const -> std::optional<std::string>
{
    if (offset < m_start || offset > end())
        return std::nullopt;
    return m_bytes.substr(offset - m_start);
}

auto AnswerTail::end() const -> std::uint64_t
{
    return m_start + m_bytes.size();
}

} // namespace Agent
