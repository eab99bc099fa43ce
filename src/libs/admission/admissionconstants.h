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
/// Slots that a queue's requests got, as far as its rate is estimated from them: at most this many,
/// for at most this time, and no fewer than `MinGrants`.
constexpr std::size_t MaxGrants = 128;
constexpr std::size_t MinGrants = 8;
constexpr std::chrono::seconds GrantLifetime(5);
/// Queues whose rates are kept until the unused ones are removed.
constexpr std::size_t MaxHistories = 4096;
/// Interval between two searches for requests that can't be served in time; each one takes time for
/// every waiting request.
constexpr std::chrono::milliseconds ReviewInterval(20);
/// Early refusals that are logged in each second; anybody can cause many.
constexpr int MaxLoggedRefusalsPerSecond = 20;
/// Age from which a forecast of the placement lease's holder is not used.
constexpr std::chrono::seconds ForecastLifetime(2);
/// Limit on the models of one forecast, which has to fit into a datagram.
constexpr std::size_t MaxForecastModels = 32;

} // namespace Admission::Constants
