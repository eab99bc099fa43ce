#pragma once

#include <http1/socketaddress.h>
#include <utils/result.h>

#include <chrono>
#include <memory>
#include <string>

namespace Soak {

/// Where a gateway process listens and what it reaches.
struct GatewayEndpoints
{
    std::string name;
    Http1::SocketAddress callers;
    Http1::SocketAddress readiness;
    Http1::SocketAddress peers;
    Http1::SocketAddress metrics;
    Http1::SocketAddress store; ///< Over a wire of its own.
};

/// A gateway as a process of its own, moved by signals.
class GatewayProcess
{
public:
    /// `program` is the gateway's binary; settings and log are kept in `folder`.
    GatewayProcess(std::string program, std::string folder, GatewayEndpoints endpoints);
    ~GatewayProcess();

    auto start(bool isFirstStart) -> Utils::Result<void, std::string>;
    auto signal(int number) -> void;
    /// Stands still until `resume`, which leaves a process alone that a signal has stopped.
    auto pause() -> void;
    auto resume() -> void;
    /// What the process that runs has used; nothing if none does.
    auto processorTime() const -> std::chrono::nanoseconds;
    /// True until the process has ended; its end is taken note of here.
    auto isRunning() -> bool;
    /// What the last process that ended by itself left: its exit code, or 128 and the signal.
    auto exitStatus() const -> int;
    auto writeSettings(bool isFirstStart, int stopTimeMs) -> void;
    auto endpoints() const -> const GatewayEndpoints &;
    auto logFile() const -> std::string;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Soak
