#pragma once

#include <chrono>
#include <cstddef>

namespace Resources::Constants {

/// Used where the settings name no limits.
constexpr int DefaultMemoryMb = 256;
constexpr int DefaultMaxFds = 4096;

/// Memory of a process without clients: code, configuration, log and messages of other gateways.
constexpr size_t OwnBytes = 24 << 20;
/// Part of the other memory for clients. The rest covers the kernel's buffers and memory that the
/// allocator holds without using it.
constexpr double ClientShare = 0.625;
/// Part of the clients' memory for requests that are not complete yet. It must exceed the largest
/// body, or that one would never be served.
constexpr double ReceivingShare = 0.5;
/// Part of the clients' memory for answers that are not sent yet.
constexpr double AnswerShare = 0.375;

/// Descriptors that the machine reserves for files, and those for the store, listeners and log.
constexpr int FileDescriptors = 200;
constexpr int OwnDescriptors = 64;
/// Part of the other descriptors for clients; the rest is for connections to servers.
constexpr double ClientDescriptorShare = 0.75;
constexpr int MinClientConnections = 16;

/// Memory of a connection without a request: its objects, timers and callbacks.
constexpr size_t ConnectionBytes = 6 << 10;
/// A connection that uses no more than this may always grow: its answer is not what fills memory.
constexpr size_t SmallConnectionBytes = 64 << 10;
/// A reader that has taken nothing for this time may be cut off if memory is short.
constexpr std::chrono::milliseconds StalledReaderTime(500);

} // namespace Resources::Constants
