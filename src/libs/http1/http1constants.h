#pragma once

#include <chrono>
#include <cstddef>

namespace Http1::Constants {

/// A connection with more unsent bytes is ended, because its peer doesn't read. An answer has a few
/// kilobytes, so a slow reader stays far below.
constexpr size_t MaxUnsentBytes = 4 << 20;
/// Size of one read from a socket; nearly every request and event fits into it.
constexpr size_t ReadBlockBytes = 16 << 10;
/// Number of consecutive reads from one socket. Without this limit, a peer that keeps sending would
/// starve all other connections and the timers.
constexpr int MaxConsecutiveReads = 8;
/// Number of interim answers and answers to earlier calls that are skipped before a call's own
/// answer, and the total size of their bodies. A call whose peer sends more of them has failed.
constexpr int MaxSkippedAnswers = 8;
constexpr size_t MaxSkippedBytes = 1 << 20;
/// Time without progress in sending the last answer after which the connection is closed, and time
/// that the peer then has to receive its end.
constexpr std::chrono::milliseconds LingerTimeout(1000);
/// A connection ends if data or keep-alive probes stay unacknowledged for this time. It must be
/// shorter than the time within which a machine must follow the platform again after a link fault.
constexpr std::chrono::milliseconds PeerTimeout(2000);
/// Idle time before the first keep-alive probe, and interval between probes.
constexpr std::chrono::seconds KeepAliveInterval(1);
constexpr int KeepAliveProbes = 2;
constexpr int ListenBacklog = 1024;

} // namespace Http1::Constants
