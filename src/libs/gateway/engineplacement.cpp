#include "engineplacement.h"

#include "backendregistry.h"
#include "gatewaycontext.h"

#include <net/reactor.h>
#include <utils/eventlog.h>

#include <algorithm>
#include <tuple>

namespace Gateway {

using std::chrono::milliseconds;
using Utils::TimePoint;

namespace {

auto idOf(const std::string &controllerKey) -> std::string
{
    return controllerKey.substr(0, controllerKey.rfind('@'));
}

/// The engine's state with the start of the incarnation that it is of, also if its report tells
/// none.
auto stateOf(const std::string &controllerKey, const EngineController &controller) -> EngineReport
{
    EngineReport state = controller.state();
    const auto startedAtMs = std::stoll(controllerKey.substr(controllerKey.rfind('@') + 1));
    if (startedAtMs > 0)
        state.startedAtMs = startedAtMs;
    return state;
}

} // namespace

EnginePlacement::EnginePlacement(GatewayContext &context, milliseconds loadWindow, Events events)
    : m_context(context)
    , m_loadWindow(loadWindow)
    , m_events(std::move(events))
    , m_unansweredOrders(context.reactor.now())
{ }

EnginePlacement::~EnginePlacement()
{
    *m_alive = false;
}

auto EnginePlacement::now() const -> TimePoint
{
    return m_context.reactor.now();
}

auto EnginePlacement::run(const std::map<ModelKey, TotalDemand> &demand,
                          const WaitingAtVersion &atVersion) -> void
{
    syncControllers();
    const TimePoint at = now();
    for (auto &[key, controller] : m_controllers)
        controller->tick(at);
    if (!m_context.configuration)
        return;
    for (const auto &[name, service] : m_context.configuration->services) {
        if (service.engine) {
            placeModels(name, *service.engine, demand, atVersion);
            placeAdapters(name, demand, atVersion);
        }
    }
}

auto EnginePlacement::checkOrdersUnderWay() -> void
{
    for (auto &[key, controller] : m_controllers)
        controller->checkOrderUnderWay();
}

auto EnginePlacement::visit(
    const std::function<void(const std::string &, const EngineReport &)> &visitor) const -> void
{
    for (const auto &[key, controller] : m_controllers) {
        if (controller->isKnown())
            visitor(idOf(key), stateOf(key, *controller));
    }
}

/// The loads that engines have accepted, at their times according to the configuration.
auto EnginePlacement::expectedModels(TimePoint now) const -> std::vector<Admission::ExpectedModel>
{
    std::vector<Admission::ExpectedModel> expected;
    for (const auto &[key, controller] : m_controllers) {
        const BackendServer *server = m_context.board.find(idOf(key));
        const auto load = controller->acceptedLoad(now);
        if (server && load)
            expected.push_back({server->service, load->first, load->second});
    }
    std::sort(expected.begin(), expected.end(),
              [](const auto &a, const auto &b) { return a.remaining < b.remaining; });
    return expected;
}

auto EnginePlacement::engineChanged(const std::string &key, const std::string &id) -> void
{
    const auto found = m_controllers.find(key);
    if (found == m_controllers.end())
        return;
    m_context.board.applyReport(id, found->second->state());
    m_events.onEngineChanged(id, stateOf(key, *found->second));
}

/// Keeps one controller for each listed model engine that is not leaving.
auto EnginePlacement::syncControllers() -> void
{
    std::set<std::string> present;
    for (const BackendServer *server : m_context.board.servers()) {
        const Service *service = m_context.configuration
            ? m_context.configuration->findService(server->service)
            : nullptr;
        if (!service || !service->engine || !server->isUsable())
            continue;
        const std::string key = server->id + '@' + std::to_string(server->startedAtMs);
        present.insert(key);
        if (m_controllers.count(key) > 0)
            continue;
        EngineController::Events events;
        events.onChanged = [this, alive = m_alive, key, id = server->id] {
            if (*alive)
                engineChanged(key, id);
        };
        events.onStoreLoad = [this, alive = m_alive](milliseconds nominal, milliseconds took,
                                                     int concurrentLoads) {
            if (*alive)
                m_storeLoadLimiter.noteLoadFinished(nominal, took, concurrentLoads);
        };
        events.onOrderSent = [this, alive = m_alive, id = server->id,
                              startedAtMs = server->startedAtMs](const EngineOrder &order) {
            if (*alive && order.kind == EngineOrder::Kind::Load)
                m_unansweredOrders.noteSent(id, startedAtMs, loadOf(id, order), now());
        };
        events.onOrderAnswered = [this, alive = m_alive,
                                  id = server->id](const EngineOrder &order) {
            if (*alive && order.kind == EngineOrder::Kind::Load)
                m_unansweredOrders.noteAnswered(id, loadOf(id, order));
        };
        events.authority = m_events.authority;
        events.adapterRoom = [this, alive = m_alive, key](const std::string &model) {
            return *alive ? adapterRoom(key, model) : AdapterRoom::None;
        };
        m_controllers.emplace(
            key, std::make_unique<EngineController>(m_context, server->id, std::move(events)));
    }
    std::erase_if(m_controllers, [&](const auto &item) { return present.count(item.first) == 0; });
}

auto EnginePlacement::runningStoreLoads() const -> int
{
    return static_cast<int>(
        std::count_if(m_controllers.begin(), m_controllers.end(),
                      [](const auto &item) { return item.second->isLoadingFromStore(); }));
}

auto EnginePlacement::reserveFor(const BackendServer &server) const
    -> Placement::UnansweredOrders::Reserve
{
    return m_unansweredOrders.reserveFor(server.id, server.startedAtMs,
                                         m_context.board.restartedAt(server.id), now());
}

auto EnginePlacement::descriptionOf(const std::string &engine) const -> const EngineDescription *
{
    const BackendServer *server = m_context.board.find(engine);
    const Service *service = server && m_context.configuration
        ? m_context.configuration->findService(server->service)
        : nullptr;
    return service && service->engine ? &*service->engine : nullptr;
}

auto EnginePlacement::loadOf(const std::string &engine, const EngineOrder &order) const
    -> Placement::UnansweredOrders::Load
{
    const auto *description = descriptionOf(engine);
    const double memoryMb = !description ? 0
        : order.adapter.empty()          ? weightsOf(*description, order.model)
                                         : adapterMemoryOf(*description, order.model);
    return {order.expectedOrders.value_or(0), !order.adapter.empty(), memoryMb};
}

auto EnginePlacement::adapterRoom(const std::string &key, const std::string &model) const
    -> AdapterRoom
{
    const auto controller = m_controllers.find(key);
    const BackendServer *server = m_context.board.find(idOf(key));
    const auto *description = descriptionOf(idOf(key));
    if (controller == m_controllers.end() || !server || !description)
        return AdapterRoom::None;
    return adapterRoomOf(*description,
                         controller->second->toPlannedEngine(*server, reserveFor(*server)), model);
}

auto EnginePlacement::storeLoadsAllowed(const EngineDescription &description) -> int
{
    const TimePoint at = now();
    while (!m_storeLoadStarts.empty() && at - m_storeLoadStarts.front() > m_loadWindow)
        m_storeLoadStarts.pop_front();
    const int perWindow =
        static_cast<int>(description.storeLoadsPerSecond * Utils::toSeconds(m_loadWindow));
    return std::min(m_storeLoadLimiter.limit() - runningStoreLoads(),
                    perWindow - static_cast<int>(m_storeLoadStarts.size()));
}

auto EnginePlacement::placeModels(const std::string &service, const EngineDescription &description,
                                  const std::map<ModelKey, TotalDemand> &demand,
                                  const WaitingAtVersion &atVersion) -> void
{
    SwapPlanner::Input input;
    input.description = &description;
    input.now = now();
    std::map<std::string, EngineController *> byId;
    for (auto &[key, controller] : m_controllers) {
        const std::string id = idOf(key);
        const BackendServer *server = m_context.board.find(id);
        if (!server || server->service != service || !controller->isKnown())
            continue;
        input.engines.push_back(controller->toPlannedEngine(*server, reserveFor(*server)));
        byId[id] = controller.get();
    }
    for (const auto &[key, total] : demand) {
        if (key.service != service)
            continue;
        TotalDemand &sum = input.demand[key.model];
        sum.running += total.running;
        sum.perSecond += total.perSecond;
        // Requests that wait for an adapter of a held model don't need another copy of the model.
        if (key.adapter.empty() || !m_context.board.isHeld({service, key.model, {}, {}, {}}))
            sum.waiting += total.waiting;
    }
    for (const auto &[key, waiting] : atVersion) {
        if (key.service == service)
            input.waitingAtVersion[{key.model, key.softwareVersion}] += waiting;
    }
    input.storeLoadsAllowed = storeLoadsAllowed(description);
    for (const PlannedOrder &order : m_planners[service].plan(input))
        sendOrder(order, *byId.at(order.engine), description);
}

auto EnginePlacement::sendOrder(const PlannedOrder &order, EngineController &controller,
                                const EngineDescription &description) -> void
{
    const bool isLoad = order.kind == PlannedOrder::Kind::Load;
    Utils::logEvent(isLoad ? Utils::Event::LoadOrdered : Utils::Event::UnloadOrdered,
                    {{"server", order.engine},
                     {"model", order.model},
                     {"reason", order.reason},
                     {"fromStore", order.isFromStore}});
    if (!isLoad)
        return controller.unload(order.model, order.isIdle);
    const ModelDescription &model = description.models.at(order.model);
    const BackendServer *server = m_context.board.find(order.engine);
    const bool inMemory =
        std::count(server->copiesInMemory.begin(), server->copiesInMemory.end(), order.model) > 0;
    if (order.isFromStore)
        m_storeLoadStarts.push_back(now());
    const milliseconds expected = order.isFromStore ? model.storeLoadTime
        : inMemory                                  ? model.memoryLoadTime
                                                    : model.diskLoadTime;
    const int concurrentLoads = order.isFromStore ? runningStoreLoads() + 1 : 0;
    if (order.isFromStore)
        m_storeLoadLimiter.noteLoadStarted(concurrentLoads);
    controller.load(order.model, expected, concurrentLoads, now());
}

/// Orders the adapters with waiting requests.
auto EnginePlacement::placeAdapters(const std::string &service,
                                    const std::map<ModelKey, TotalDemand> &demand,
                                    const WaitingAtVersion &atVersion) -> void
{
    const auto isInUse = [&](const std::string &model, const std::string &adapter) {
        const auto found = demand.find({service, model, adapter});
        return found != demand.end() && found->second.running > 0;
    };
    for (auto &[key, controller] : m_controllers)
        controller->noteAdaptersInUse(isInUse, now());
    for (const auto &[key, total] : demand) {
        if (key.service == service && total.waiting > 0)
            placeAdapter({service, key.model, key.adapter, {}});
    }
    for (const auto &[key, waiting] : atVersion) {
        if (key.service == service)
            placeAdapter(key);
    }
}

/// Orders the adapter, unless it is held or ordered, from the engine that holds its model and has
/// the fewest adapters, preferring engines that accept the order now. Where a version is named,
/// only its engines count.
auto EnginePlacement::placeAdapter(const Placement::VersionDemand::Key &key) -> void
{
    if (key.adapter.empty())
        return;
    EngineController *best = nullptr;
    std::tuple<bool, AdapterRoom, int> bestRank;
    for (auto &[controllerKey, controller] : m_controllers) {
        const BackendServer *server = m_context.board.find(idOf(controllerKey));
        if (!server || server->service != key.service
            || (!key.softwareVersion.empty() && server->softwareVersion != key.softwareVersion))
            continue;
        const auto held = server->models.find(key.model);
        const bool isHeld = server->isUsable() && held != server->models.end()
            && held->second.count(key.adapter) > 0;
        if (isHeld || controller->isAdapterHeldOrRequested(key.model, key.adapter))
            return;
        if (!controller->isKnown() || controller->state().models.count(key.model) == 0)
            continue;
        const auto room = adapterRoom(controllerKey, key.model);
        const std::tuple rank(!controller->acceptsAdapterOrders(), room,
                              controller->adapterCount());
        if (room != AdapterRoom::None && (!best || rank < bestRank)) {
            best = controller.get();
            bestRank = rank;
        }
    }
    if (best)
        best->requestAdapter(key.model, key.adapter, now());
}

} // namespace Gateway
