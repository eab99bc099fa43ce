// A crowd of clients against a gateway whose memory the platform watches.
#pragma once

#include "bench.hh"

#include <sys/resource.h>

namespace standins {

constexpr int MemoryMb = 260; ///< Of a front machine.

/// Ends the gateway as soon as it uses more memory than its machine has, as the platform does.
class MemoryWatch
{
public:
    MemoryWatch(Gateway &gateway, Record &record)
        : m_thread([this, &gateway, &record] {
            while (m_isOn) {
                const long used = gateway.memoryKb("VmRSS:");
                m_mostKb = std::max<long>(m_mostKb, used);
                if (used > MemoryMb * 1024L) {
                    record.add("the gateway uses " + std::to_string(used) + " kB of "
                               + std::to_string(MemoryMb * 1024L)
                               + " kB: the platform kills the process");
                    gateway.signal(SIGKILL);
                    m_hasKilled = true;
                    return;
                }
                ::usleep(10000);
            }
        })
    { }
    ~MemoryWatch()
    {
        m_isOn = false;
        m_thread.join();
    }
    auto hasKilled() const -> bool { return m_hasKilled; }
    auto mostKb() const -> long { return m_mostKb; }

private:
    std::atomic<bool> m_isOn{true};
    std::atomic<bool> m_hasKilled{false};
    std::atomic<long> m_mostKb{0};
    std::thread m_thread;
};

/// Connections that each send some bytes and stay open.
class WaitingCrowd
{
public:
    WaitingCrowd(int port, int count, std::function<std::string(int)> bytesOf)
    {
        constexpr int threadCount = 4;
        for (int thread = 0; thread < threadCount; ++thread) {
            m_threads.emplace_back([this, port, count, thread, bytesOf] {
                for (int i = thread; i < count && m_isOn; i += threadCount) {
                    const int fd = connectTo(port);
                    if (fd < 0)
                        continue;
                    {
                        const std::lock_guard<std::mutex> lock(m_mutex);
                        m_open.push_back(fd);
                    }
                    if (sendAll(fd, bytesOf(i)))
                        ++m_sent;
                }
            });
        }
    }
    ~WaitingCrowd()
    {
        m_isOn = false;
        for (auto &thread : m_threads)
            thread.join();
        for (const int fd : m_open)
            ::close(fd);
    }
    auto sent() const -> int { return m_sent; }

private:
    std::atomic<bool> m_isOn{true};
    std::atomic<int> m_sent{0};
    std::mutex m_mutex;
    std::vector<int> m_open;
    std::vector<std::thread> m_threads;
};

/// Plays the crowd beside ordinary clients. The rule is broken if the process ends.
[[noreturn]] inline auto playCrowd(Bench &bench, int clients,
                                   const std::function<std::string(int)> &bytesOf,
                                   int playMs = 10000) -> void
{
    const rlimit descriptors = {8192, 8192};
    if (::setrlimit(RLIMIT_NOFILE, &descriptors) != 0)
        bench.end(CouldNotRun, "8,192 descriptors are needed");
    bench.store.put("op", "config", makeConfiguration(1).dump());
    Engine app(bench.store, bench.record, "i-app", "returns-app", 6);
    Engine drafts(bench.store, bench.record, "i-lm", "narrative-lm", 64, {"m0", "m1"});
    app.behaviour = [](Engine &engine, Connection &connection, const Message &request) {
        engine.noteRun(request);
        ::usleep(request.target() == "/submit/x" ? 400000 : 5000);
        engine.answer(connection, request, "whole");
    };
    Gateway gateway(bench.root, bench.folder, "front-1", bench.store.port());
    gateway.settings["memoryMb"] = MemoryMb;
    startGateway(bench, gateway);
    if (lookUp(gateway, bench.record, "before") != 200)
        bench.end(CouldNotRun, "an ordinary request isn't served in calm");

    auto watch = std::make_unique<MemoryWatch>(gateway, bench.record);
    auto crowd = bench.hasTrouble
        ? std::make_unique<WaitingCrowd>(gateway.port(), clients, bytesOf)
        : nullptr;
    const auto from = nowMs();
    int asked = 0;
    int served = 0;
    int submitted = 0;
    int answered = 0;
    while (nowMs() - from < playMs && gateway.isRunning()) {
        ++asked;
        served += lookUp(gateway, bench.record, "during-" + std::to_string(asked)) == 200 ? 1 : 0;
        // A submission that may run once only.
        const std::string id = "submit-" + std::to_string(++submitted);
        Connection connection(connectTo(gateway.port()));
        Message answer;
        connection.send(requestHead("POST", "/submit/x", id, 1500, "Content-Length: 2\r\n\r\nhi"));
        const bool isWhole = connection.read(answer, nowMs() + 1500, true);
        answered += isWhole ? 1 : 0;
        bench.record.add("ordinary submission " + id + ": "
                         + (isWhole ? std::to_string(answer.status())
                                    : std::string("the connection ends without an answer")));
        bench.record.add("requests of the crowd sent " + std::to_string(crowd ? crowd->sent() : 0)
                         + ", memory " + std::to_string(gateway.memoryKb("VmRSS:")) + " kB");
    }
    const bool isRunning = gateway.isRunning();
    const bool hasKilled = watch->hasKilled();
    const long mostKb = watch->mostKb();
    watch.reset();
    gateway.kill();
    crowd.reset();
    bench.end(isRunning && !hasKilled ? RuleHeld : RuleBroken,
              "most memory " + std::to_string(mostKb) + " kB of "
                  + std::to_string(MemoryMb * 1024L) + " kB; process "
                  + (hasKilled     ? "killed for its memory"
                         : isRunning ? "runs"
                                     : "has ended")
                  + "; ordinary lookups served " + std::to_string(served) + " of "
                  + std::to_string(asked) + ", submissions answered " + std::to_string(answered)
                  + " of " + std::to_string(submitted));
}

} // namespace standins
