#pragma once

#include <chrono>
#include <cstddef>

namespace Admission::Constants {

/// Limit on requests that wait at one agent.
constexpr std::size_t MaxQueued = 2000;
/// Shortest and longest Retry-After of a refusal.
constexpr std::chrono::milliseconds MinRetryAfter(100);
constexpr std::chrono::milliseconds MaxRetryAfter(60000);
/// Limit on generated tokens if the caller sets none.
constexpr int DefaultMaxTokens = 256;
/// Bytes of a prompt that count as one token.
constexpr int BytesPerToken = 4;

} // namespace Admission::Constants
