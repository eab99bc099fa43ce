#pragma once

#include <chrono>
#include <cstddef>

namespace Http1::Constants {

/// Unsent bytes on one connection over which the peer counts as not reading; an answer is a few
/// kilobytes, so a slow reader stays far below.
constexpr size_t MaxUnsentBytes = 4 << 20;
/// Bytes taken from a socket at once; one read covers nearly every request and event.
constexpr size_t ReadBlockBytes = 16 << 10;
/// Blocks taken from one socket in a row; a peer that sends without end would else stop all others
/// and the timers.
constexpr int MaxConsecutiveReads = 8;
/// Answers to earlier calls and interim ones that are passed over before a call's own, and the
/// bytes of their bodies; a peer that sends more is not answering.
constexpr int MaxSkippedAnswers = 8;
constexpr size_t MaxSkippedBytes = 1 << 20;
/// Time for the peer to take the last answer before its connection is dropped.
constexpr std::chrono::milliseconds LingerTimeout(1000);
/// Unacknowledged data or keep-alive probes for this long end a connection; shorter than the time
/// within which a machine must follow the platform again after its links were harmed.
constexpr std::chrono::milliseconds PeerTimeout(2000);
/// Idle time before keep-alive probes start, and the pause between them.
constexpr std::chrono::seconds KeepAliveInterval(1);
constexpr int KeepAliveProbes = 2;
constexpr int ListenBacklog = 1024;

} // namespace Http1::Constants
