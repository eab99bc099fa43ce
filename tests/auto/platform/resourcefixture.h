#pragma once

#include "clientcrowd.h"
#include "gatewayfixture.h"
#include "soak/gatewayprocess.h"

#include <filesystem>
#include <fstream>
#include <iostream>

#include <dirent.h>

/// The gateway as a process with few resources, and a crowd of misbehaving clients. Checked are the
/// process's life, its memory and descriptors, and one ordinary request; no times and no shares.
class ResourceLimits : public Gateways
{
protected:
    /// A machine of half the least memory and a fifth of the fewest descriptors.
    static constexpr Soak::ResourceSettings resources = {64, 600};
    static constexpr int descriptorsForFiles = 200;
    static constexpr size_t maxBodyBytes = 4 << 20;
    static constexpr size_t maxHeaderBytes = 32 << 10;

    auto SetUp() -> void override
    {
        Gateways::SetUp();
        const auto route = [](const std::string &prefix, const std::string &kind,
                              const std::string &service) {
            return json{{"name", "r" + prefix}, {"host", "h.example"}, {"prefix", prefix},
                        {"routeType", kind},    {"timeoutMs", 60000},  {"targetLatencyMs", 20000},
                        {"priority", 0},        {"service", service},  {"maxAttempts", 1},
                        {"resumable", false},   {"gapAimMs", 20000}};
        };
        // The crowd stays as long as the test: the limits on time are not what is checked.
        putConfiguration(2,
                         {{"routes",
                           {route("/file/", "unsafe", "app"), route("/big/", "unsafe", "big"),
                            route("/flow/", "streaming", "big")}},
                          {"services", {{{"name", "app"}}, {{"name", "big"}}}},
                          {"limits",
                           {{"maxHeaderBytes", maxHeaderBytes},
                            {"maxBodyBytes", maxBodyBytes},
                            {"headerTimeoutMs", 60000},
                            {"idleTimeoutMs", 60000}}}});
        addEngine("i-app", "app");
    }

    auto TearDown() -> void override
    {
        process.reset();
        std::filesystem::remove_all(folder);
    }

    auto startProcess() -> void
    {
        const auto free = [] { return *Http1::SocketAddress::parse("127.0.0.1:" + freePort()); };
        address = free();
        readiness = free();
        peers = free();
        metrics = free();
        folder = testing::TempDir() + "resources." + std::to_string(::getpid());
        std::filesystem::create_directories(folder);
        process = std::make_unique<Soak::GatewayProcess>(
            GATEWAY_PROGRAM, folder,
            Soak::GatewayEndpoints{"g1", address, readiness, peers, metrics, store->address()});
        process->setResources(resources);
        ASSERT_TRUE(process->start(true));
        ASSERT_TRUE(runUntil([this] { return !process->isRunning() || readinessStatus() == 200; }));
        ASSERT_TRUE(process->isRunning()) << "exit status " << process->exitStatus();
        ASSERT_EQ(sendRequest(ordinaryRequest("before"))->status, 200);
    }

    static auto ordinaryRequest(const std::string &id) -> std::string
    {
        return requestHead("/file/x", id, "Content-Length: 4\r\n\r\nbody");
    }

    static auto requestHead(const std::string &target, const std::string &id,
                            const std::string &rest) -> std::string
    {
        return "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
            + "\r\nAuthorization: Bearer key1\r\nDeadline-Ms: 50000\r\n" + rest;
    }

    /// Lets the crowd go on until no byte has moved for a while.
    auto play(ClientCrowd &crowd) -> void
    {
        constexpr int quietSteps = 300;
        constexpr int maxSteps = 12000;
        int quiet = 0;
        for (int i = 0; i < maxSteps && quiet < quietSteps && process->isRunning(); ++i) {
            quiet = crowd.step() > 0 ? 0 : quiet + 1;
            runUntil([] { return false; }, 1ms);
            maxDescriptors = std::max(maxDescriptors, descriptors());
        }
    }

    auto descriptors() const -> int
    {
        DIR *list = ::opendir(("/proc/" + std::to_string(process->processId()) + "/fd").c_str());
        if (!list)
            return 0;
        int count = -2; // The folder itself and the one above.
        while (::readdir(list))
            ++count;
        ::closedir(list);
        return count;
    }

    /// The most memory that the process ever had in use.
    auto peakMemoryMb() const -> int
    {
        std::ifstream status("/proc/" + std::to_string(process->processId()) + "/status");
        std::string word;
        while (status >> word) {
            if (word != "VmHWM:")
                continue;
            constexpr int kilobytesPerMb = 1024;
            int kilobytes = 0;
            status >> kilobytes;
            return kilobytes / kilobytesPerMb;
        }
        return 0;
    }

    /// Checks the bounds, and that one ordinary request is answered while the crowd stays.
    auto checkProcess() -> void
    {
        ASSERT_TRUE(process->isRunning()) << "exit status " << process->exitStatus();
        // Far longer than any machine needs.
        constexpr std::chrono::seconds longWait(40);
        auto answer = std::make_unique<CallerAnswer>();
        sendOnNewConnection(*answer, address, ordinaryRequest("after"));
        runUntil([&] { return answer->end.has_value() || !process->isRunning(); }, longWait);
        ASSERT_TRUE(process->isRunning()) << "exit status " << process->exitStatus();
        std::cout << "peak memory " << peakMemoryMb() << " MB, most descriptors " << maxDescriptors
                  << ", status " << answer->status << '\n';
        EXPECT_LE(peakMemoryMb(), resources.memoryMb);
        EXPECT_LE(maxDescriptors, resources.maxFds - descriptorsForFiles);
        EXPECT_EQ(answer->status, 200);
    }

    /// Addresses of the gateway that take connections.
    enum class Port { Callers, Readiness, Metrics };

    auto checkCrowd(Port port, int clients, ClientCrowd::Behaviour behaviour) -> void
    {
        ASSERT_NO_FATAL_FAILURE(startProcess());
        ClientCrowd crowd(port == Port::Callers         ? address
                              : port == Port::Readiness ? readiness
                                                        : metrics,
                          clients, std::move(behaviour));
        play(crowd);
        checkProcess();
    }

    std::string folder;
    std::unique_ptr<Soak::GatewayProcess> process;
    int maxDescriptors = 0;
};
