#pragma once

#include "gatewayprocess.h"
#include "promisebook.h"

#include <platform/emulator/emulatedengine.h>
#include <platform/emulator/emulatedstore.h>
#include <standins/standinwire.h>
#include <utils/result.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Net {
class Reactor;
}

namespace Soak {

/// A deployment on loopback: an emulated store and engines in this process, gateways as processes,
/// and a wire that can misbehave before the store of each gateway and before each engine.
class SoakWorld
{
public:
    struct Gateway
    {
        std::unique_ptr<StandIns::StandInWire> storeWire;
        std::unique_ptr<GatewayProcess> process;
        bool isExpectedToRun = false;
    };
    struct Engine
    {
        std::unique_ptr<Emulator::EmulatedEngine> server;
        std::unique_ptr<StandIns::StandInWire> wire;
        bool isUp = true;
    };

    static auto create(Net::Reactor &reactor, const std::string &program, const std::string &folder,
                       int gateways) -> Utils::Result<std::unique_ptr<SoakWorld>, std::string>;

    auto reactor() -> Net::Reactor & { return m_reactor; }
    auto store() -> Emulator::EmulatedStore & { return *m_store; }
    auto gateways() -> std::vector<Gateway> & { return m_gateways; }
    auto engines() -> std::vector<Engine> & { return m_engines; }
    auto promises() -> PromiseBook & { return *m_promises; }

    auto startGateway(size_t index, bool isFirstStart) -> Utils::Result<void, std::string>;
    /// Writes the next version of the configuration.
    auto putConfiguration() -> void;
    auto toggleNewRoute() -> void;
    auto withdrawKey() -> void;
    /// The engine goes on under another name, as a new one at the same address.
    auto replaceEngine(size_t index) -> void;
    /// Notes gateways that ended without having been told to.
    auto checkProcesses() -> void;

private:
    SoakWorld(Net::Reactor &reactor, int gateways);

    auto addEngine(const std::string &service, const std::set<std::string> &models)
        -> Utils::Result<void, std::string>;
    auto freeAddress() -> Http1::SocketAddress;

    Net::Reactor &m_reactor;
    std::unique_ptr<Emulator::EmulatedStore> m_store;
    std::unique_ptr<PromiseBook> m_promises;
    std::vector<Gateway> m_gateways;
    std::vector<Engine> m_engines;
    int m_version = 0;
    std::set<std::uint16_t> m_givenPorts; ///< Of gateways.
    int m_engineNames = 0;
    bool m_hasNewRoute = true;
    bool m_hasWithdrawnKey = true;
};

} // namespace Soak
