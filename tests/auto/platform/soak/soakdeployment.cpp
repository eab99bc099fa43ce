#include "soakdeployment.h"

#include <net/periodictimer.h>
#include <net/reactor.h>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <random>

#include <unistd.h>

namespace Soak {

using nlohmann::json;

namespace {

constexpr double EngineWeightsMb = 130000;
/// Two models fit into an engine. With five models on three engines, some loads need an eviction.
constexpr double ModelWeightsMb = 60000;
constexpr int ModelCount = 5;
constexpr double IslandTokensPerSecond = 300;
/// Streams last long enough to be cut by faults of gateways and engines.
constexpr std::chrono::milliseconds LongEventInterval(150);
/// Time limit of routes with resumable streams whose callers take them up again.
constexpr int LongTimeoutMs = 10000;
/// Maximum number of added routes in one configuration.
constexpr size_t MaxAddedRoutes = 2200;
constexpr std::chrono::milliseconds CongestionCheckInterval(50);
/// Bounds from the platform's documentation: a link whose packets wait longer than `CongestedWait`
/// counts as disturbed during a burst of requests and for `BurstRecoveryTime` after it.
constexpr std::chrono::milliseconds CongestedWait(500);
constexpr std::chrono::seconds BurstRecoveryTime(5);

auto modelName(int number) -> std::string
{
    return "m" + std::to_string(number);
}

auto versionName(int number) -> std::string
{
    return "v" + std::to_string(number);
}

auto describeRoute(const std::string &prefix, const std::string &kind, const std::string &service,
                   bool isResumable, int attempts) -> json
{
    return {{"name", "r" + prefix},    {"host", "h.example"},
            {"prefix", prefix},        {"routeType", kind},
            {"timeoutMs", 1500},       {"targetLatencyMs", 100},
            {"priority", 0},           {"service", service},
            {"maxAttempts", attempts}, {"resumable", isResumable},
            {"gapAimMs", 250}};
}

auto describeCustomer(const std::string &name, const std::vector<std::string> &keys,
                      double tokensPerSecond) -> json
{
    return {{"name", name},
            {"apiKeys", keys},
            {"priority", 0},
            {"unit", "token_stream"},
            {"plainTokens", 20},
            {"ratePerS", tokensPerSecond},
            {"burst", tokensPerSecond}};
}

auto weights() -> std::map<std::string, double>
{
    std::map<std::string, double> result;
    for (int i = 1; i <= ModelCount; ++i)
        result[modelName(i)] = ModelWeightsMb;
    return result;
}

auto wireAddress(const StandIns::StandInWire &wire) -> Http1::SocketAddress
{
    return *Http1::SocketAddress::parse("127.0.0.1:" + std::to_string(wire.port()));
}

} // namespace

SoakDeployment::SoakDeployment(Net::Reactor &reactor, int gateways)
    : m_reactor(reactor)
    , m_store(std::make_unique<Emulator::EmulatedStore>(reactor))
    , m_checker(std::make_unique<InvariantChecker>(gateways, EngineWeightsMb, weights()))
{
    m_checker->setQuota("island", IslandTokensPerSecond, IslandTokensPerSecond);
    m_checker->history().add("/extra/", reactor.now());
    m_checker->history().add("key-withdrawn", reactor.now());
}

SoakDeployment::~SoakDeployment() = default;

auto SoakDeployment::create(Net::Reactor &reactor, const std::string &program,
                            const std::string &folder, int gateways, bool hasVersions)
    -> Utils::Result<std::unique_ptr<SoakDeployment>, std::string>
{
    std::unique_ptr<SoakDeployment> deployment(new SoakDeployment(reactor, gateways));
    deployment->m_hasVersions = hasVersions;
    deployment->putConfiguration();
    if (const auto added = deployment->addModelEngines(hasVersions); !added)
        return tl::unexpected(added.error());
    constexpr int applicationServers = 3;
    for (int i = 0; i < applicationServers; ++i) {
        if (const auto added = deployment->addEngine("app", {}); !added)
            return tl::unexpected(added.error());
    }
    for (int i = 0; i < gateways; ++i) {
        auto narrow = ThrottledWire::create(reactor, deployment->m_store->address());
        if (!narrow)
            return tl::unexpected(narrow.error());
        auto wire =
            StandIns::StandInWire::create(reactor, "127.0.0.1:0", (*narrow)->address().toString());
        if (!wire)
            return tl::unexpected(wire.error());
        Gateway gateway;
        gateway.throttledWire = std::move(*narrow);
        gateway.storeWire = std::move(*wire);
        const GatewayEndpoints endpoints = {
            "g" + std::to_string(i),   deployment->freeAddress(), deployment->freeAddress(),
            deployment->freeAddress(), deployment->freeAddress(), wireAddress(*gateway.storeWire)};
        gateway.process = std::make_unique<GatewayProcess>(program, folder, endpoints);
        deployment->m_gateways.push_back(std::move(gateway));
    }
    return deployment;
}

auto SoakDeployment::freeAddress() -> Http1::SocketAddress
{
    // Gateways bind their ports only when they start, and again after each kill. Each soak uses a
    // loopback address of its own, so that parallel soaks don't take each other's ports.
    constexpr std::uint32_t loopbackNet = 127U << 24;
    constexpr std::uint32_t ownNetStart = 1U << 16;
    constexpr std::uint32_t processBits = 0x3fffff;
    const auto process = static_cast<std::uint32_t>(::getpid()) & processBits;
    // The kernel may return a port again as long as no gateway has bound it.
    std::uint16_t port = 0;
    do {
        Emulator::LoopbackServer probe(m_reactor, nullptr, nullptr);
        probe.open();
        port = probe.address().port();
    } while (!m_reservedPorts.insert(port).second);
    return Http1::SocketAddress::create(loopbackNet + ownNetStart + process, port);
}

auto SoakDeployment::addEngine(const std::string &service, const std::set<std::string> &models)
    -> Utils::Result<void, std::string>
{
    Engine engine;
    const std::string id = "e" + std::to_string(++m_engineCount);
    engine.server =
        std::make_unique<Emulator::EmulatedEngine>(m_reactor, *m_store, id, service, models);
    auto wire = StandIns::StandInWire::create(m_reactor, "127.0.0.1:0",
                                              engine.server->address().toString());
    if (!wire)
        return tl::unexpected(wire.error());
    engine.wire = std::move(*wire);
    engine.server->advertisedAddress = wireAddress(*engine.wire);
    engine.server->observer = {[this](const auto &server, const auto &arrival) {
                                   m_checker->noteArrival(server, arrival, m_reactor.now());
                               },
                               [this](const auto &server, const auto &order) {
                                   m_checker->noteOrder(server, order, m_reactor.now());
                               }};
    engine.server->announce();
    m_engines.push_back(std::move(engine));
    return {};
}

auto SoakDeployment::addModelEngines(bool hasVersions) -> Utils::Result<void, std::string>
{
    const int versions = hasVersions ? 2 : 1;
    for (int version = 1; version <= versions; ++version) {
        for (const std::set<std::string> &models :
             {std::set<std::string>{"m1", "m2"}, std::set<std::string>{"m3", "m4"},
              std::set<std::string>{"m5"}}) {
            if (auto added = addEngine("lm", models); !added)
                return added;
            Engine &engine = m_engines.back();
            engine.softwareVersion = version;
            engine.server->softwareVersion = versionName(version);
            if (hasVersions)
                engine.usualBehaviour.eventInterval = LongEventInterval;
            engine.server->behaviour = engine.usualBehaviour;
            engine.server->announce();
            ++m_modelEngines;
        }
    }
    return {};
}

auto SoakDeployment::enableCrashingPart() -> void
{
    for (size_t i = 0; i < m_modelEngines; ++i) {
        Engine &engine = m_engines[i];
        // A wire accepts connections also while its engine is down, which looks like a live one.
        engine.server->advertisedAddress.reset();
        engine.server->announce();
        engine.usualBehaviour.crashingPart = CrashingPart;
        engine.server->behaviour = engine.usualBehaviour;
        engine.server->observer.onCrash = [this](const Emulator::EmulatedEngine &) {
            m_checker->noteCrashOnPart(m_reactor.now());
        };
    }
}

auto SoakDeployment::upgradeEngine(size_t index) -> void
{
    Engine &engine = m_engines.at(index);
    engine.server->softwareVersion = versionName(++engine.softwareVersion);
}

auto SoakDeployment::replaceEngine(size_t index) -> void
{
    Engine &engine = m_engines.at(index);
    engine.server->withdraw();
    engine.server->restart("e" + std::to_string(++m_engineCount));
    engine.isUp = true;
}

auto SoakDeployment::startGateway(size_t index, bool isFirstStart)
    -> Utils::Result<void, std::string>
{
    Gateway &gateway = m_gateways.at(index);
    gateway.isExpectedToRun = true;
    m_checker->noteProcessStarted(index, m_reactor.now());
    return gateway.process->start(isFirstStart);
}

auto SoakDeployment::leaseHolder() const -> size_t
{
    const json row = json::parse(m_store->value("acaciahall", "placement"), nullptr, false);
    const std::string holder = row.is_object() ? row.value("holder", std::string()) : std::string();
    for (size_t i = 0; i < m_gateways.size(); ++i) {
        if (m_gateways[i].process->endpoints().name == holder)
            return i;
    }
    return 0;
}

auto SoakDeployment::checkProcesses() -> void
{
    for (size_t i = 0; i < m_gateways.size(); ++i) {
        Gateway &gateway = m_gateways[i];
        if (!gateway.isExpectedToRun || gateway.process->isRunning())
            continue;
        gateway.isExpectedToRun = false;
        m_checker->noteProcessEnded(i, gateway.process->exitStatus());
    }
}

auto SoakDeployment::putConfiguration() -> void
{
    json models = json::array();
    for (int i = 1; i <= ModelCount; ++i)
        models.push_back({{"name", modelName(i)},
                          {"weightsMb", ModelWeightsMb},
                          {"loadS", 0.1},
                          {"adapters", 3},
                          {"adapterMb", 10.0},
                          {"warmS", 0.05},
                          {"diskS", 0.05}});
    json routes = {describeRoute("/look/", "safe", "app", false, 2),
                   describeRoute("/file/", "unsafe", "app", false, 2),
                   describeRoute("/draft/", "streaming", "lm", false, 1),
                   describeRoute("/batch/", "streaming", "lm", true, 2)};
    if (m_hasVersions)
        routes.back()["timeoutMs"] = LongTimeoutMs;
    if (m_hasNewRoute)
        routes.push_back(describeRoute("/extra/", "safe", "app", false, 2));
    for (const std::string &prefix : m_addedRoutes)
        routes.push_back(describeRoute(prefix, "safe", "app", false, 2));
    std::vector<std::string> keys = {"key-county"};
    keys.insert(keys.end(), m_addedKeys.begin(), m_addedKeys.end());
    if (m_hasWithdrawnKey)
        keys.emplace_back("key-withdrawn");
    constexpr double unlimited = 1000000;
    const json configuration = {
        {"version", ++m_version},
        {"routes", routes},
        {"services",
         {{{"name", "app"}},
          {{"name", "lm"},
           {"engine",
            {{"slots", 8},
             {"weightsMb", EngineWeightsMb},
             {"adapterSlots", 2},
             {"loadsPerS", 10.0},
             {"models", models}}}}}},
        {"limits",
         {{"maxHeaderBytes", 4096},
          {"maxBodyBytes", 100000},
          {"headerTimeoutMs", 1000},
          {"idleTimeoutMs", 5000}}},
        {"tenants",
         {describeCustomer("county", keys, unlimited),
          describeCustomer("island", {"key-island"}, IslandTokensPerSecond)}}};
    m_store->put("op", "config", configuration.dump());
}

auto SoakDeployment::toggleNewRoute() -> void
{
    m_hasNewRoute = !m_hasNewRoute;
    putConfiguration();
    if (m_hasNewRoute)
        m_checker->history().add("/extra/", m_reactor.now());
    else
        m_checker->history().remove("/extra/", m_reactor.now());
}

auto SoakDeployment::withdrawKey() -> void
{
    if (!m_hasWithdrawnKey)
        return;
    m_hasWithdrawnKey = false;
    putConfiguration();
    m_checker->history().remove("key-withdrawn", m_reactor.now());
}

auto SoakDeployment::addRoutes(int count) -> void
{
    const size_t before = m_addedRoutes.size();
    for (int i = 0; i < count; ++i)
        m_addedRoutes.push_back("/g" + std::to_string(++m_addedNameCount) + '/');
    const std::vector<std::string> added(
        m_addedRoutes.begin() + static_cast<std::ptrdiff_t>(before), m_addedRoutes.end());
    dropOldRoutes(MaxAddedRoutes);
    for (const std::string &prefix : added)
        m_checker->history().add(prefix, m_reactor.now());
}

auto SoakDeployment::dropRoutes() -> void
{
    dropOldRoutes(m_addedRoutes.size() / 2);
}

auto SoakDeployment::dropOldRoutes(size_t kept) -> void
{
    std::vector<std::string> dropped;
    while (m_addedRoutes.size() > kept) {
        dropped.push_back(m_addedRoutes.front());
        m_addedRoutes.pop_front();
    }
    putConfiguration();
    for (const std::string &prefix : dropped)
        m_checker->history().remove(prefix, m_reactor.now());
}

auto SoakDeployment::addKey() -> void
{
    m_addedKeys.push_back("key-" + std::to_string(++m_addedNameCount));
    putConfiguration();
    m_checker->history().add(m_addedKeys.back(), m_reactor.now());
}

auto SoakDeployment::dropKey() -> void
{
    if (m_addedKeys.empty())
        return;
    const std::string key = m_addedKeys.back();
    m_addedKeys.pop_back();
    putConfiguration();
    m_checker->history().remove(key, m_reactor.now());
}

auto SoakDeployment::limitGatewayResources(std::uint64_t seed) -> void
{
    constexpr std::array<double, 4> links = {10, 6, 4, 0}; // Mbit/s
    constexpr std::array<int, 3> shares = {0, 20, 9}; // Milliseconds in each 100
    constexpr std::uint64_t seedOffset = 0x3ea4;
    std::mt19937_64 random(seed + seedOffset);
    for (size_t i = 0; i < m_gateways.size(); ++i) {
        Gateway &gateway = m_gateways[i];
        gateway.baseMbitPerSecond = links.at(random() % links.size());
        gateway.throttledWire->setMbitPerSecond(gateway.baseMbitPerSecond);
        const int share = shares.at(random() % shares.size());
        if (share > 0)
            gateway.quota = std::make_unique<ProcessorQuota>(m_reactor, *gateway.process,
                                                             std::chrono::milliseconds(share));
        std::printf("gateway %zu: %.0f Mbit/s from the store, %d ms of each 100 (0: no limit)\n", i,
                    gateway.baseMbitPerSecond, share);
    }
    m_congestionTimer = std::make_unique<Net::PeriodicTimer>(m_reactor, CongestionCheckInterval,
                                                             [this] { noteCongestedLinks(); });
}

auto SoakDeployment::setBurstActive(bool isActive) -> void
{
    m_isBurstActive = isActive;
    m_lastBurstAt = m_reactor.now();
}

auto SoakDeployment::noteCongestedLinks() -> void
{
    const Utils::TimePoint now = m_reactor.now();
    if (m_isBurstActive)
        m_lastBurstAt = now;
    for (size_t i = 0; i < m_gateways.size(); ++i) {
        if (now - m_lastBurstAt < BurstRecoveryTime
            && m_gateways[i].throttledWire->backlogTime() > CongestedWait)
            m_checker->noteDisturbed(i, now);
    }
}

} // namespace Soak
