#include "fleet.hh"

#include "http.hh"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

namespace Review {

namespace {

/// After this the platform starts an ended process again.
constexpr milliseconds RestartDelay(500);

} // namespace

Fleet::Fleet(Record &record, const std::string &command, const std::string &folder,
             const std::string &storeAddress)
    : m_record(record)
    , m_command(command)
    , m_folder(folder)
    , m_storeAddress(storeAddress)
{ }

Fleet::~Fleet()
{
    stop();
}

auto Fleet::stop() -> void
{
    if (m_isStopping.exchange(true))
        return;
    for (const auto &gateway : m_gateways) {
        if (const pid_t pid = gateway->pid)
            ::kill(pid, SIGKILL);
    }
    for (const auto &gateway : m_gateways)
        gateway->keeper.join();
}

auto Fleet::add(const std::string &name, const std::string &ip, const std::string &zone,
                const std::string &storeAddress) -> void
{
    auto gateway = std::make_unique<Gateway>();
    gateway->name = name;
    gateway->ip = ip;
    gateway->zone = zone;
    gateway->storeAddress = storeAddress.empty() ? m_storeAddress : storeAddress;
    gateway->callerPort = freePort(ip);
    gateway->readinessPort = freePort(ip);
    gateway->peerPort = freePort(ip);
    gateway->metricsPort = freePort(ip);
    writeSettings(*gateway, true);
    start(*gateway);
    Gateway *raw = gateway.get();
    m_gateways.push_back(std::move(gateway));
    raw->keeper = std::thread([this, raw] { keep(*raw); });
}

/// What the platform makes of platform/settings.json.in, with the bounds of the small deployments.
auto Fleet::writeSettings(const Gateway &gateway, bool isFirstStart) -> void
{
    const auto address = [&](int port) {
        return '"' + gateway.ip + ':' + std::to_string(port) + '"';
    };
    std::ofstream file(m_folder + '/' + gateway.name + ".json", std::ios::trunc);
    file << "{\n"
         << R"(  "name": ")" << gateway.name << "\",\n"
         << R"(  "failureDomain": ")" << gateway.zone << "\",\n"
         << R"(  "callerAddress": )" << address(gateway.callerPort) << ",\n"
         << R"(  "readinessAddress": )" << address(gateway.readinessPort) << ",\n"
         << R"(  "peerAddress": )" << address(gateway.peerPort) << ",\n"
         << R"(  "metricsAddress": )" << address(gateway.metricsPort) << ",\n"
         << R"(  "stopTimeMs": 8000, "retryRatio": 0.2, "retrySlack": 52,)" << '\n'
         << R"(  "quotaWindowMs": 8000, "quotaTolerance": 0.1, "leaveNoticeMs": 2000,)" << '\n'
         << R"(  "configurationApplyTimeMs": 2000, "leaseTimeMs": 3000, "loadWindowMs": 5000,)"
         << '\n'
         << R"(  "processorShare": 0.19, "firstStart": )" << (isFirstStart ? "true" : "false")
         << ",\n"
         << R"(  "storeAddress": ")" << gateway.storeAddress << "\"\n}\n";
}

auto Fleet::start(Gateway &gateway) -> void
{
    std::vector<std::string> words;
    std::istringstream text(m_command);
    for (std::string word; text >> word;)
        words.push_back(word);
    const std::string log = m_folder + '/' + gateway.name + ".log";
    const std::string settings = "ACACIAHALL_NODE_FILE=" + m_folder + '/' + gateway.name + ".json";
    const std::string path = std::string("PATH=") + std::getenv("PATH");
    std::vector<char *> arguments;
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::vector<const char *> environment = {settings.c_str(), path.c_str(), nullptr};
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(127);
        const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        ::execve(arguments[0], arguments.data(), const_cast<char *const *>(environment.data()));
        ::_exit(127);
    }
    gateway.pid = pid;
    m_record.note("gateway " + gateway.name + " starts");
}

/// Runs in a thread of its own. The death signal of a process is tied to the thread that started
/// it, so all starts but the first are made here as well.
auto Fleet::keep(Gateway &gateway) -> void
{
    while (true) {
        int status = 0;
        ::waitpid(gateway.pid, &status, 0);
        if (m_isStopping)
            return;
        const std::string how = WIFSIGNALED(status)
            ? std::string("signal ") + ::strsignal(WTERMSIG(status))
            : "status " + std::to_string(WEXITSTATUS(status));
        m_record.note("gateway " + gateway.name + " ended by itself: " + how);
        {
            const std::lock_guard lock(m_mutex);
            m_ownEnds.push_back({gateway.name, m_record.sinceStart(), how});
        }
        std::this_thread::sleep_for(RestartDelay);
        writeSettings(gateway, false);
        start(gateway);
        if (m_isStopping)
            ::kill(gateway.pid, SIGKILL);
    }
}

auto Fleet::isReady(size_t index) -> bool
{
    const Gateway &gateway = *m_gateways[index];
    const int fd = Connection::open(gateway.ip, gateway.readinessPort);
    if (fd < 0)
        return false;
    Connection connection(fd);
    connection.setDeadline(Clock::now() + milliseconds(500));
    Message answer;
    return connection.send("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        && connection.readMessage(answer) && answer.secondWord() == "200";
}

auto Fleet::waitUntilReady(int seconds) -> bool
{
    const auto until = Clock::now() + std::chrono::seconds(seconds);
    while (Clock::now() < until) {
        bool areAllReady = true;
        for (size_t i = 0; i < m_gateways.size(); ++i)
            areAllReady = isReady(i) && areAllReady;
        if (areAllReady)
            return true;
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

auto Fleet::ownEnds() -> std::vector<OwnEnd>
{
    const std::lock_guard lock(m_mutex);
    return m_ownEnds;
}

} // namespace Review
