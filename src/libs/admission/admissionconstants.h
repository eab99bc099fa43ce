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

/// Time over which served shares are counted: long enough for a route with a request every few
/// seconds, short enough to follow a change of load.
constexpr std::chrono::seconds ShareWindow(20);
/// A service counts as overloaded for this time after a request last waited beyond its objective.
constexpr std::chrono::seconds OverloadMemory(2);
/// Sizes of recent requests that are kept for each route.
constexpr std::size_t ProfiledSizes = 200;
} // namespace Admission::Constants
