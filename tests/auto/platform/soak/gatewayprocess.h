#pragma once

#include <http1/socketaddress.h>
#include <utils/result.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace Soak {

/// Name of a gateway process, the addresses on which it listens, and the store that it connects to.
struct GatewayEndpoints
{
    std::string name;
    Http1::SocketAddress callers;
    Http1::SocketAddress readiness;
    Http1::SocketAddress peers;
    Http1::SocketAddress metrics;
    Http1::SocketAddress store; ///< Of the gateway's own wire to the store.
};

/// Resources of the machine that the settings name.
struct ResourceSettings
{
    int memoryMb = 0;
    int maxFds = 0;
};

/// A gateway that runs as a separate process and is controlled by signals.
class GatewayProcess
{
public:
    /// `program` is the gateway's binary; settings and log are kept in `folder`.
    GatewayProcess(std::string program, std::string folder, GatewayEndpoints endpoints);
    ~GatewayProcess();

    auto start(bool isFirstStart) -> Utils::Result<void, std::string>;
    auto signal(int number) -> void;
    /// Suspends the process until `resume`, which doesn't resume a process stopped by `signal`.
    auto pause() -> void;
    auto resume() -> void;
    /// Processor time that the running process has used; 0 if none is running.
    auto processorTime() const -> std::chrono::nanoseconds;
    /// Settings of the next start; none are written without them.
    auto setResources(const ResourceSettings &resources) -> void;
    /// 0 if none is running.
    auto processId() const -> int;
    /// True until the process has ended. Reaps an ended process and records its exit status.
    auto isRunning() -> bool;
    /// Exit code of the last process that ended, or 128 plus the number of the signal that ended
    /// it.
    auto exitStatus() const -> int;
    auto writeSettings(bool isFirstStart, int stopTimeMs) -> void;
    auto endpoints() const -> const GatewayEndpoints &;
    auto logFile() const -> std::string;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Soak
