#include "gatewayprocess.h"

#include <nlohmann/json.hpp>

#include <ace/Process.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <unistd.h>

namespace Soak {

namespace {

/// A child process that is killed when the soak ends, even if the soak crashes.
class ChildProcess : public ACE_Process
{
public:
    auto child(pid_t) -> void override { ::prctl(PR_SET_PDEATHSIG, SIGKILL); }
};

constexpr int defaultStopTimeMs = 3800;

} // namespace

struct GatewayProcess::Private
{
    std::string program;
    std::string folder;
    GatewayEndpoints endpoints;
    std::optional<ResourceSettings> resources;
    std::unique_ptr<ChildProcess> process;
    int exitStatus = 0;
    bool isStopped = false; ///< By `signal(SIGSTOP)`, as opposed to `pause`.
    bool isPaused = false;

    auto settingsFile() const -> std::string { return folder + '/' + endpoints.name + ".json"; }
    auto logFile() const -> std::string { return folder + '/' + endpoints.name + ".log"; }
};

GatewayProcess::GatewayProcess(std::string program, std::string folder, GatewayEndpoints endpoints)
    : d(std::make_unique<Private>())
{
    d->program = std::move(program);
    d->folder = std::move(folder);
    d->endpoints = std::move(endpoints);
}

GatewayProcess::~GatewayProcess()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    d->process->wait();
}

auto GatewayProcess::endpoints() const -> const GatewayEndpoints &
{
    return d->endpoints;
}

auto GatewayProcess::logFile() const -> std::string
{
    return d->logFile();
}

auto GatewayProcess::writeSettings(bool isFirstStart, int stopTimeMs) -> void
{
    nlohmann::json settings = {{"name", d->endpoints.name},
                               {"failureDomain", "a"},
                               {"callerAddress", d->endpoints.callers.toString()},
                               {"readinessAddress", d->endpoints.readiness.toString()},
                               {"peerAddress", d->endpoints.peers.toString()},
                               {"metricsAddress", d->endpoints.metrics.toString()},
                               {"storeAddress", d->endpoints.store.toString()},
                               {"stopTimeMs", stopTimeMs},
                               {"retryRatio", 0.2},
                               {"retrySlack", 50},
                               {"processorShare", 0.2},
                               {"firstStart", isFirstStart}};
    if (d->resources) {
        settings["memoryMb"] = d->resources->memoryMb;
        settings["maxFds"] = d->resources->maxFds;
    }
    const std::string newFile = d->settingsFile() + ".new";
    std::ofstream(newFile) << settings.dump(2);
    std::filesystem::rename(newFile, d->settingsFile());
}

auto GatewayProcess::start(bool isFirstStart) -> Utils::Result<void, std::string>
{
    writeSettings(isFirstStart, defaultStopTimeMs);
    const int log = ::open(d->logFile().c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log < 0)
        return tl::unexpected("cannot write " + d->logFile());
    ACE_Process_Options options;
    options.handle_inheritance(0);
    options.command_line("%s --settings %s", d->program.c_str(), d->settingsFile().c_str());
    options.set_handles(ACE_STDIN, log, log);
    d->process = std::make_unique<ChildProcess>();
    d->isStopped = false;
    d->isPaused = false;
    const bool isStarted = d->process->spawn(options) != ACE_INVALID_PID;
    options.release_handles();
    ::close(log);
    if (!isStarted) {
        d->process.reset();
        return tl::unexpected("cannot start " + d->program);
    }
    return {};
}

auto GatewayProcess::pause() -> void
{
    if (!d->isPaused && isRunning())
        d->process->kill(SIGSTOP);
    d->isPaused = true;
}

auto GatewayProcess::resume() -> void
{
    if (d->isPaused && !d->isStopped && isRunning())
        d->process->kill(SIGCONT);
    d->isPaused = false;
}

auto GatewayProcess::processorTime() const -> std::chrono::nanoseconds
{
    if (!d->process)
        return {};
    // The gateway has one thread, so the main thread's time is that of the process.
    std::ifstream file("/proc/" + std::to_string(d->process->getpid()) + "/schedstat");
    std::int64_t used = 0;
    file >> used;
    return std::chrono::nanoseconds(used);
}

auto GatewayProcess::setResources(const ResourceSettings &resources) -> void
{
    d->resources = resources;
}

auto GatewayProcess::processId() const -> int
{
    return d->process ? d->process->getpid() : 0;
}

auto GatewayProcess::signal(int number) -> void
{
    if (number == SIGSTOP || number == SIGCONT)
        d->isStopped = number == SIGSTOP;
    if (isRunning())
        d->process->kill(number);
}

auto GatewayProcess::isRunning() -> bool
{
    if (!d->process)
        return false;
    ACE_exitcode status = 0;
    const pid_t ended = d->process->wait(ACE_Time_Value::zero, &status);
    if (ended == 0)
        return true;
    constexpr int signalBase = 128;
    d->exitStatus = WIFSIGNALED(status) ? signalBase + WTERMSIG(status) : WEXITSTATUS(status);
    d->process.reset();
    return false;
}

auto GatewayProcess::exitStatus() const -> int
{
    return d->exitStatus;
}

} // namespace Soak
