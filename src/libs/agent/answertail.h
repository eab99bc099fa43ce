#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Agent {

/// The latest part of an answer's body, kept so that a lost connection can be resumed.
class AnswerTail
{
public:
    explicit AnswerTail(std::size_t maxBytes);

    auto append(const std::string &bytes) -> void;
    /// Everything from `offset` on; nothing if that part is no longer kept.
    auto from(std::uint64_t offset) const -> std::optional<std::string>;
    /// Length of the whole body so far.
    auto end() const -> std::uint64_t;

private:
    std::size_t m_maxBytes;
    std::uint64_t m_start = 0;
    std::string m_bytes;
};

} // namespace Agent
