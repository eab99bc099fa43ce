#pragma once

namespace Http1 {

enum class ReadError;

constexpr int StatusRequestTimeout = 408;
constexpr int StatusUnavailable = 503;

/// Status with which a request that can't be read is answered.
auto statusOf(ReadError error) -> int;
auto isSizeError(ReadError error) -> bool;

} // namespace Http1
