#pragma once

#include <chrono>
#include <cstddef>

namespace Http1::Constants {

/// A connection on which more is unsent is ended if data is added, because its peer doesn't read. A
/// single message may be larger.
constexpr size_t MaxUnsentBytes = 4 << 20;
/// Unsent bytes of answers from which on no further request of that client is read, and no more of
/// a stream is taken from its server.
constexpr size_t MaxUnreadAnswerBytes = 128 << 10;
/// Bytes received ahead of the open request from which on the connection isn't read.
constexpr size_t MaxPipelinedBytes = 64 << 10;
/// Delay between an answer and the next request of a client that sent it ahead. Longer than waiting
/// requests take to be dispatched.
constexpr std::chrono::milliseconds PipelineDelay(4);
/// Receive buffer of accepted connections, of which the kernel uses up to twice as much. Bytes that
/// the process hasn't read count as its memory, and the kernel would allow 32 MiB.
constexpr int ReceiveBufferBytes = 64 << 10;
/// Size up to which the memory for a body is allocated in steps. Beyond it, growth by doubling
/// would need three times the body's size while it is copied.
constexpr size_t BodyReserveBytes = 64 << 10;
/// Delay after which connections are accepted again once the process has run out of descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay(50);
/// Retry-After of a request that is refused because the process lacks memory.
constexpr const char *ShedRetryAfter = "1.000";
/// Longest time that a body may take, whatever its request says.
constexpr std::chrono::hours MaxBodyTime(1);
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
