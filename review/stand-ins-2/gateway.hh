// The gateway as a separate process, started with the deploy file's command and settings as the
// deploy file's template makes them for a small deployment.
#pragma once

#include "net.hh"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace standins {

class Gateway
{
public:
    /// `root` is the repository, `folder` an own temporary folder.
    Gateway(std::string root, std::string folder, const std::string &name, int storePort,
            const std::string &zone = "tw-north-a", bool isFirstStart = true)
        : m_root(std::move(root))
        , m_folder(std::move(folder))
        , m_name(name)
    {
        m_callers = freePort();
        m_readiness = freePort();
        m_peers = freePort();
        settings = {{"name", name},
                    {"failureDomain", zone},
                    {"callerAddress", at(m_callers)},
                    {"readinessAddress", at(m_readiness)},
                    {"peerAddress", at(m_peers)},
                    {"metricsAddress", at(freePort())},
                    {"stopTimeMs", 8000},
                    {"retryRatio", 0.2},
                    {"retrySlack", 52},
                    {"quotaWindowMs", 8000},
                    {"quotaTolerance", 0.1},
                    {"leaveNoticeMs", 2000},
                    {"configurationApplyTimeMs", 2000},
                    {"leaseTimeMs", 3000},
                    {"loadWindowMs", 5000},
                    {"processorShare", 0.19},
                    {"memoryMb", 260},
                    {"maxFds", 4100},
                    {"firstStart", isFirstStart},
                    {"storeAddress", at(storePort)}};
    }
    ~Gateway() { kill(); }

    static auto at(int port) -> std::string { return "127.0.0.1:" + std::to_string(port); }

    auto start() -> bool
    {
        const std::string file = m_folder + "/" + m_name + ".json";
        std::ofstream(file) << settings.dump(2);
        const std::string program = m_root + "/target/bin/acacia-gateway";
        const std::string log = m_folder + "/" + m_name + ".log";
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::setenv("ACACIAHALL_NODE_FILE", file.c_str(), 1);
            if (::chdir(m_root.c_str()) != 0)
                ::_exit(126);
            ::execl(program.c_str(), program.c_str(), "--settings-from", "ACACIAHALL_NODE_FILE",
                    static_cast<char *>(nullptr));
            ::_exit(127);
        }
        return m_process > 0;
    }

    auto isRunning() -> bool
    {
        if (m_process <= 0)
            return false;
        int status = 0;
        if (::waitpid(m_process, &status, WNOHANG) != m_process)
            return true;
        m_exit = status;
        m_process = -1;
        return false;
    }
    auto signal(int number) const -> void
    {
        if (m_process > 0)
            ::kill(m_process, number);
    }
    auto kill() -> void
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = -1;
    }

    auto isReady() const -> bool
    {
        const int fd = connectTo(m_readiness);
        if (fd < 0)
            return false;
        Connection connection(fd);
        Message answer;
        connection.send("GET /-/readiness HTTP/1.1\r\nHost: gateway\r\n\r\n");
        return connection.read(answer, nowMs() + 1000, true) && answer.status() == 200;
    }
    auto awaitReady(std::int64_t timeoutMs) -> bool
    {
        const auto until = nowMs() + timeoutMs;
        while (nowMs() < until && isRunning()) {
            if (isReady())
                return true;
            ::usleep(50000);
        }
        return false;
    }

    /// Memory in use, or the most that ever was, in kilobytes.
    auto memoryKb(const char *field) const -> long
    {
        std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
        std::string word;
        long kilobytes = 0;
        while (status >> word) {
            if (word == field) {
                status >> kilobytes;
                break;
            }
        }
        return kilobytes;
    }

    auto port() const -> int { return m_callers; }
    auto peerPort() const -> int { return m_peers; }
    auto process() const -> int { return m_process; }
    auto exitStatus() const -> int { return m_exit; }

    nlohmann::json settings;

private:
    std::string m_root;
    std::string m_folder;
    std::string m_name;
    int m_callers = 0;
    int m_readiness = 0;
    int m_peers = 0;
    int m_process = -1;
    int m_exit = 0;
};

} // namespace standins
