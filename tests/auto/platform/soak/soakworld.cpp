#include "soakworld.h"

#include <net/reactor.h>

#include <nlohmann/json.hpp>

#include <unistd.h>

namespace Soak {

using nlohmann::json;

namespace {

constexpr double EngineWeightsMb = 130000;
/// Two fit into an engine, so that five models on three engines are swapped now and then.
constexpr double ModelWeightsMb = 60000;
constexpr int ModelCount = 5;
constexpr double IslandTokensPerSecond = 300;

auto modelName(int number) -> std::string
{
    return "m" + std::to_string(number);
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

SoakWorld::SoakWorld(Net::Reactor &reactor, int gateways)
    : m_reactor(reactor)
    , m_store(std::make_unique<Emulator::EmulatedStore>(reactor))
    , m_promises(std::make_unique<PromiseBook>(gateways, EngineWeightsMb, weights()))
{
    m_promises->limit("island", IslandTokensPerSecond, IslandTokensPerSecond);
}

auto SoakWorld::create(Net::Reactor &reactor, const std::string &program, const std::string &folder,
                       int gateways) -> Utils::Result<std::unique_ptr<SoakWorld>, std::string>
{
    std::unique_ptr<SoakWorld> world(new SoakWorld(reactor, gateways));
    world->putConfiguration();
    for (const std::set<std::string> &models :
         {std::set<std::string>{"m1", "m2"}, std::set<std::string>{"m3", "m4"},
          std::set<std::string>{"m5"}}) {
        if (const auto added = world->addEngine("lm", models); !added)
            return tl::unexpected(added.error());
    }
    constexpr int applicationServers = 3;
    for (int i = 0; i < applicationServers; ++i) {
        if (const auto added = world->addEngine("app", {}); !added)
            return tl::unexpected(added.error());
    }
    for (int i = 0; i < gateways; ++i) {
        auto wire = StandIns::StandInWire::create(reactor, "127.0.0.1:0",
                                                  world->m_store->address().toString());
        if (!wire)
            return tl::unexpected(wire.error());
        Gateway gateway;
        gateway.storeWire = std::move(*wire);
        const GatewayPlace place = {"g" + std::to_string(i), world->freeAddress(),
                                    world->freeAddress(),    world->freeAddress(),
                                    world->freeAddress(),    wireAddress(*gateway.storeWire)};
        gateway.process = std::make_unique<GatewayProcess>(program, folder, place);
        world->m_gateways.push_back(std::move(gateway));
    }
    return world;
}

auto SoakWorld::freeAddress() -> Http1::SocketAddress
{
    // Gateways take their port only when they start, and again after each kill. Soaks that run side
    // by side have a loopback address each, so that none takes the port of another one's gateway.
    constexpr std::uint32_t loopbackNet = 127U << 24;
    constexpr std::uint32_t ownNetStart = 1U << 16;
    constexpr std::uint32_t processBits = 0x3fffff;
    const auto process = static_cast<std::uint32_t>(::getpid()) & processBits;
    // The system may offer a port again that no gateway uses yet.
    std::uint16_t port = 0;
    do {
        Emulator::Sessions probe(m_reactor, nullptr, nullptr);
        probe.open();
        port = probe.address().port();
    } while (!m_givenPorts.insert(port).second);
    return Http1::SocketAddress::create(loopbackNet + ownNetStart + process, port);
}

auto SoakWorld::addEngine(const std::string &service, const std::set<std::string> &models)
    -> Utils::Result<void, std::string>
{
    Engine engine;
    const std::string id = "e" + std::to_string(++m_engineNames);
    engine.server =
        std::make_unique<Emulator::EmulatedEngine>(m_reactor, *m_store, id, service, models);
    auto wire = StandIns::StandInWire::create(m_reactor, "127.0.0.1:0",
                                              engine.server->address().toString());
    if (!wire)
        return tl::unexpected(wire.error());
    engine.wire = std::move(*wire);
    engine.server->advertisedAddress = wireAddress(*engine.wire);
    engine.server->observer = {[this](const auto &server, const auto &arrival) {
                                   m_promises->noteArrival(server, arrival, m_reactor.now());
                               },
                               [this](const auto &server, const auto &order) {
                                   m_promises->noteOrder(server, order, m_reactor.now());
                               }};
    engine.server->announce();
    m_engines.push_back(std::move(engine));
    return {};
}

auto SoakWorld::replaceEngine(size_t index) -> void
{
    Engine &engine = m_engines.at(index);
    engine.server->withdraw();
    engine.server->restart("e" + std::to_string(++m_engineNames));
    engine.isUp = true;
}

auto SoakWorld::startGateway(size_t index, bool isFirstStart) -> Utils::Result<void, std::string>
{
    Gateway &gateway = m_gateways.at(index);
    gateway.isExpectedToRun = true;
    return gateway.process->start(isFirstStart);
}

auto SoakWorld::checkProcesses() -> void
{
    for (size_t i = 0; i < m_gateways.size(); ++i) {
        Gateway &gateway = m_gateways[i];
        if (!gateway.isExpectedToRun || gateway.process->isRunning())
            continue;
        gateway.isExpectedToRun = false;
        m_promises->noteProcessEnded(i, gateway.process->exitStatus());
    }
}

auto SoakWorld::putConfiguration() -> void
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
    if (m_hasNewRoute)
        routes.push_back(describeRoute("/extra/", "safe", "app", false, 2));
    std::vector<std::string> keys = {"key-county"};
    if (m_hasWithdrawnKey)
        keys.emplace_back("key-withdrawn");
    constexpr double plenty = 1000000;
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
         {describeCustomer("county", keys, plenty),
          describeCustomer("island", {"key-island"}, IslandTokensPerSecond)}}};
    m_store->put("op", "config", configuration.dump());
}

auto SoakWorld::toggleNewRoute() -> void
{
    m_hasNewRoute = !m_hasNewRoute;
    putConfiguration();
    m_promises->noteNewRoute(m_hasNewRoute, m_reactor.now());
}

auto SoakWorld::withdrawKey() -> void
{
    if (!m_hasWithdrawnKey)
        return;
    m_hasWithdrawnKey = false;
    putConfiguration();
    m_promises->noteKeyWithdrawn("key-withdrawn", m_reactor.now());
}

} // namespace Soak
