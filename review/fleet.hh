// The gateways of a small deployment: real processes, restarted after they end, as the platform
// does.
#pragma once

#include "record.hh"

#include <sys/types.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Review {

class Fleet
{
public:
    /// How a gateway's process ended without a signal of the test.
    struct OwnEnd
    {
        std::string gateway;
        long long atMs = 0;
        std::string how;
    };

    /// `command` is that of the deploy file, `folder` a temporary one for settings and logs.
    Fleet(Record &record, const std::string &command, const std::string &folder,
          const std::string &storeAddress);
    ~Fleet();

    /// Adds a machine with an address of its own and starts its gateway; `storeAddress` is its way
    /// to the store if it has one of its own.
    auto add(const std::string &name, const std::string &ip, const std::string &zone,
             const std::string &storeAddress = {}) -> void;
    /// Ends all gateways.
    auto stop() -> void;
    auto waitUntilReady(int seconds) -> bool;
    auto isReady(size_t index) -> bool;
    auto size() const -> size_t { return m_gateways.size(); }
    auto ip(size_t index) const -> const std::string & { return m_gateways[index]->ip; }
    auto port(size_t index) const -> int { return m_gateways[index]->callerPort; }
    auto name(size_t index) const -> const std::string & { return m_gateways[index]->name; }
    auto ownEnds() -> std::vector<OwnEnd>;

private:
    struct Gateway
    {
        std::string name;
        std::string ip;
        std::string zone;
        std::string storeAddress;
        int callerPort = 0;
        int readinessPort = 0;
        int peerPort = 0;
        int metricsPort = 0;
        std::atomic<pid_t> pid = 0;
        std::thread keeper;
    };

    auto writeSettings(const Gateway &gateway, bool isFirstStart) -> void;
    auto start(Gateway &gateway) -> void;
    auto keep(Gateway &gateway) -> void;

    Record &m_record;
    std::string m_command;
    std::string m_folder;
    std::string m_storeAddress;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::atomic<bool> m_isStopping = false;
    std::mutex m_mutex;
    std::vector<OwnEnd> m_ownEnds;
};

} // namespace Review
