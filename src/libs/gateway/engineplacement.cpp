#include "engineplacement.h"

#include "backendregistry.h"
#include "gatewaycontext.h"

#include <net/reactor.h>
#include <utils/eventlog.h>

#include <algorithm>

namespace Gateway {

using std::chrono::milliseconds;
using Utils::TimePoint;

namespace {

auto idOf(const std::string &controllerKey) -> std::string
{
    return controllerKey.substr(0, controllerKey.rfind('@'));
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

auto EnginePlacement::run(const std::map<ModelKey, TotalDemand> &demand) -> void
{
    syncControllers();
    const TimePoint at = now();
    for (auto &[key, controller] : m_controllers)
        controller->tick(at);
    if (!m_context.configuration)
        return;
    for (const auto &[name, service] : m_context.configuration->services) {
        if (service.engine) {
            placeModels(name, *service.engine, demand);
            placeAdapters(name, *service.engine, demand);
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
            visitor(idOf(key), controller->state());
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
    m_events.onEngineChanged(id, found->second->state());
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
            if (*alive)
                m_unansweredOrders.noteSent(id, startedAtMs, order, weightsOf(id, order.model),
                                            now());
        };
        events.onOrderAnswered = [this, alive = m_alive,
                                  id = server->id](const EngineOrder &order) {
            if (*alive)
                m_unansweredOrders.noteAnswered(id, order);
        };
        events.authority = m_events.authority;
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

auto EnginePlacement::reserveFor(const BackendServer &server) const -> UnansweredOrders::Reserve
{
    return m_unansweredOrders.reserveFor(server.id, server.startedAtMs,
                                         m_context.board.restartedAt(server.id), now());
}

/// Weights of a model in MB; 0 if the engine's service doesn't describe it, as it is then not
/// loaded.
auto EnginePlacement::weightsOf(const std::string &engine, const std::string &model) const -> double
{
    const BackendServer *server = m_context.board.find(engine);
    const Service *service = server && m_context.configuration
        ? m_context.configuration->findService(server->service)
        : nullptr;
    if (!service || !service->engine)
        return 0;
    const auto found = service->engine->models.find(model);
    return found == service->engine->models.end() ? 0 : found->second.weightsMb;
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
                                  const std::map<ModelKey, TotalDemand> &demand) -> void
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
        return controller.unload(order.model, now());
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

auto EnginePlacement::isAdapterRequested(const ModelKey &key) const -> bool
{
    return std::any_of(m_controllers.begin(), m_controllers.end(), [&key](const auto &item) {
        return item.second->isAdapterHeldOrRequested(key.model, key.adapter);
    });
}

/// Orders each adapter with waiting requests from the engine that holds its model and has the
/// fewest adapters, preferring engines that accept the order now.
auto EnginePlacement::placeAdapters(const std::string &service,
                                    const EngineDescription &description,
                                    const std::map<ModelKey, TotalDemand> &demand) -> void
{
    const auto isInUse = [&](const std::string &model, const std::string &adapter) {
        const auto found = demand.find({service, model, adapter});
        return found != demand.end() && found->second.running > 0;
    };
    for (auto &[key, controller] : m_controllers)
        controller->noteAdaptersInUse(isInUse, now());
    for (const auto &[key, total] : demand) {
        if (key.service != service || key.adapter.empty() || total.waiting == 0
            || m_context.board.isHeld({service, key.model, key.adapter, {}, {}})
            || isAdapterRequested(key))
            continue;
        EngineController *best = nullptr;
        const BackendServer *bestServer = nullptr;
        const auto rank = [](const EngineController &controller) {
            return std::pair(!controller.acceptsAdapterOrders(), controller.adapterCount());
        };
        for (auto &[controllerKey, controller] : m_controllers) {
            const BackendServer *server = m_context.board.find(idOf(controllerKey));
            if (!server || server->service != service || !controller->isKnown()
                || controller->state().models.count(key.model) == 0)
                continue;
            if (!best || rank(*controller) < rank(*best)) {
                best = controller.get();
                bestServer = server;
            }
        }
        if (!best)
            continue;
        const auto reserve = reserveFor(*bestServer);
        if (!reserve.blocksAllLoads)
            best->requestAdapter(key.model, key.adapter,
                                 description.adapterSlots - reserve.adapters, now());
    }
}

} // namespace Gateway
