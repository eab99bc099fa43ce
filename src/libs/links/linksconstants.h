#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Links::Constants {

/// Time between heartbeats on a connection that has open calls and hears nothing.
constexpr std::chrono::milliseconds HeartbeatInterval(400);
/// Time between heartbeats on a connection that hears from its peer, so that the peer hears too.
constexpr std::chrono::milliseconds KeepAliveInterval(3000);
/// A connection without calls is closed after this.
constexpr std::chrono::milliseconds IdleTimeout(10000);
/// Silence after which the accepting side closes a connection.
constexpr std::chrono::milliseconds AcceptedSilenceTimeout(15000);
/// Silence after which a second connection is tried beside the first.
constexpr std::chrono::milliseconds SilenceTimeout(1200);
/// Silence after which a connection is given up even when no second one works.
constexpr std::chrono::milliseconds DeadTimeout(4000);
/// Wait before the next attempt to connect, and the most that doubling makes of it.
constexpr std::chrono::milliseconds ReconnectDelay(50);
constexpr std::chrono::milliseconds MaxReconnectDelay(1000);
/// Time allowed for a connection to be established.
constexpr std::chrono::milliseconds ConnectTimeout(1000);
/// Flow-control windows, in bytes.
constexpr std::int32_t StreamWindowBytes = 1 << 20;
constexpr std::int32_t ConnectionWindowBytes = 1 << 24;
/// Largest message one side accepts, in bytes.
constexpr std::size_t MaxMessageBytes = 32U << 20;
constexpr std::uint32_t MaxStreams = 4096;

} // namespace Links::Constants
