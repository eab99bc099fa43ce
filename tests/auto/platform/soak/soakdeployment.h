#pragma once

#include "gatewayprocess.h"
#include "invariantchecker.h"
#include "processorquota.h"
#include "throttledwire.h"

#include <platform/emulator/emulatedengine.h>
#include <platform/emulator/emulatedstore.h>
#include <standins/standinwire.h>
#include <utils/result.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Net {
class PeriodicTimer;
class Reactor;
} // namespace Net

namespace Soak {

/// A deployment on loopback: an emulated store and engines in this process, and gateways as
/// separate processes. Wires that inject faults are between each gateway and the store and before
/// each engine.
class SoakDeployment
{
public:
    struct Gateway
    {
        std::unique_ptr<ThrottledWire> throttledWire; ///< Between the store and `storeWire`.
        std::unique_ptr<StandIns::StandInWire> storeWire;
        std::unique_ptr<GatewayProcess> process;
        std::unique_ptr<ProcessorQuota> quota;
        double baseMbitPerSecond = 0; ///< Of its store link without faults; 0 means no limit.
        bool isExpectedToRun = false;
    };
    struct Engine
    {
        std::unique_ptr<Emulator::EmulatedEngine> server;
        std::unique_ptr<StandIns::StandInWire> wire;
        bool isUp = true;
        Emulator::EmulatedEngine::Behaviour usualBehaviour; ///< Without a fault.
        int softwareVersion = 1;
    };

    /// `hasVersions`: twice as many model engines, half of them with another software version.
    static auto create(Net::Reactor &reactor, const std::string &program, const std::string &folder,
                       int gateways, bool hasVersions)
        -> Utils::Result<std::unique_ptr<SoakDeployment>, std::string>;

    ~SoakDeployment();

    auto reactor() -> Net::Reactor & { return m_reactor; }
    auto store() -> Emulator::EmulatedStore & { return *m_store; }
    auto gateways() -> std::vector<Gateway> & { return m_gateways; }
    auto engines() -> std::vector<Engine> & { return m_engines; }
    auto checker() -> InvariantChecker & { return *m_checker; }

    auto startGateway(size_t index, bool isFirstStart) -> Utils::Result<void, std::string>;
    /// Writes the next version of the configuration.
    auto putConfiguration() -> void;
    auto toggleNewRoute() -> void;
    auto withdrawKey() -> void;
    /// Adds `count` routes in one version, which drops the oldest beyond `MaxAddedRoutes`.
    auto addRoutes(int count) -> void;
    /// Drops the older half of the added routes.
    auto dropRoutes() -> void;
    auto addKey() -> void;
    /// Removes the key that was added last.
    auto dropKey() -> void;
    /// Limits the gateways' links and processors for the whole soak, as drawn from the seed.
    auto limitGatewayResources(std::uint64_t seed) -> void;
    /// During a burst, callers send requests almost without a pause.
    auto setBurstActive(bool isActive) -> void;
    auto isBurstActive() const -> bool { return m_isBurstActive; }
    /// Restarts the engine under another name, as a new engine at the same address.
    auto replaceEngine(size_t index) -> void;
    /// The next start of the engine is with the next version of its software.
    auto upgradeEngine(size_t index) -> void;
    /// Engines of a service with models; they come first in `engines`.
    auto modelEngines() const -> size_t { return m_modelEngines; }
    /// Model engines crash on `CrashingPart` from now on. They are reached without their wires.
    auto enableCrashingPart() -> void;
    /// Index of the gateway that the store's row names as holder of the placement lease; 0 if none.
    auto leaseHolder() const -> size_t;
    /// Reports gateways that exited unexpectedly.
    auto checkProcesses() -> void;

private:
    SoakDeployment(Net::Reactor &reactor, int gateways);

    auto addEngine(const std::string &service, const std::set<std::string> &models)
        -> Utils::Result<void, std::string>;
    auto addModelEngines(bool hasVersions) -> Utils::Result<void, std::string>;
    auto freeAddress() -> Http1::SocketAddress;
    auto dropOldRoutes(size_t kept) -> void;
    auto noteCongestedLinks() -> void;

    Net::Reactor &m_reactor;
    std::unique_ptr<Emulator::EmulatedStore> m_store;
    std::unique_ptr<InvariantChecker> m_checker;
    std::vector<Gateway> m_gateways;
    std::vector<Engine> m_engines;
    int m_version = 0;
    std::set<std::uint16_t> m_reservedPorts; ///< Ports of gateways.
    int m_engineCount = 0;
    size_t m_modelEngines = 0;
    bool m_hasVersions = false;
    bool m_hasNewRoute = true;
    bool m_hasWithdrawnKey = true;
    std::deque<std::string> m_addedRoutes;
    std::vector<std::string> m_addedKeys;
    int m_addedNameCount = 0;
    bool m_isBurstActive = false;
    Utils::TimePoint m_lastBurstAt;
    std::unique_ptr<Net::PeriodicTimer> m_congestionTimer;
};

} // namespace Soak
