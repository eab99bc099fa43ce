#pragma once

#include <chrono>
#include <cstddef>

namespace Admission::Constants {

/// Requests that may wait at one agent.
constexpr std::size_t MaxQueued = 2000;
/// Shortest and longest time that a refusal tells a caller to wait.
constexpr std::chrono::milliseconds MinRetryAfter(100);
constexpr std::chrono::milliseconds MaxRetryAfter(60000);
/// Tokens that a completion may generate when the caller does not say.
constexpr int DefaultMaxTokens = 256;
/// Bytes of a prompt that count as one token.
constexpr int BytesPerToken = 4;

} // namespace Admission::Constants
