#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Links::Constants {

/// Heartbeat interval of a connection with open calls that receives nothing.
constexpr std::chrono::milliseconds HeartbeatInterval(400);
/// Heartbeat interval of a connection that receives data, so that the peer receives some as well.
constexpr std::chrono::milliseconds KeepAliveInterval(3000);
/// Time after which a connection without calls is closed.
constexpr std::chrono::milliseconds IdleTimeout(10000);
/// Time without received data after which the accepting side closes a connection.
constexpr std::chrono::milliseconds AcceptedSilenceTimeout(15000);
/// Time without received data after which a second connection is tried.
constexpr std::chrono::milliseconds SilenceTimeout(1200);
/// Time without received data after which a connection is closed even if no second one works.
constexpr std::chrono::milliseconds DeadTimeout(4000);
/// Initial delay before a reconnect, and the maximum that it doubles up to.
constexpr std::chrono::milliseconds ReconnectDelay(50);
constexpr std::chrono::milliseconds MaxReconnectDelay(1000);
/// Time limit for establishing a connection.
constexpr std::chrono::milliseconds ConnectTimeout(1000);
/// Flow-control windows, in bytes.
constexpr std::int32_t StreamWindowBytes = 1 << 20;
constexpr std::int32_t ConnectionWindowBytes = 1 << 24;
/// Maximum size of a message, in bytes.
constexpr std::size_t MaxMessageBytes = 32U << 20;
constexpr std::uint32_t MaxStreams = 4096;

} // namespace Links::Constants
