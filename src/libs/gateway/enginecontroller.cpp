#include "enginecontroller.h"

#include "backendattempt.h"
#include "backendregistry.h"
#include "gatewayconstants.h"
#include "gatewaycontext.h"

#include <net/reactor.h>
#include <utils/eventlog.h>

#include <algorithm>

namespace Gateway {

using Utils::TimePoint;

namespace {

/// Timeout of orders and report requests; an engine answers within milliseconds.
constexpr std::chrono::milliseconds CallTimeout(800);
/// Delay with which reports show the engine's state, and therefore the end of an order.
constexpr std::chrono::milliseconds ReportLag(110);
/// Time that an engine takes to drop a model without running requests. If it takes longer, the
/// engine refuses the next order, and a report shows when it accepts one.
constexpr std::chrono::milliseconds IdleUnloadTime(90);
/// Added to the nominal duration of a load from a copy before the model is taken for loaded. A
/// request that arrives earlier is refused as not run.
constexpr std::chrono::milliseconds CopyLoadMargin(15);
/// Time after which a report checks an order that was assumed to be done; reports are up to some
/// hundred milliseconds old.
constexpr std::chrono::milliseconds VerificationDelay(400);
/// Interval between report requests while an order that should have finished is pending.
constexpr std::chrono::milliseconds ReportInterval(100);
/// Interval between report requests to an engine that doesn't answer.
constexpr std::chrono::milliseconds ReportRetryInterval(500);
/// Interval between report requests while adapters are unloaded after their last request.
constexpr std::chrono::milliseconds UnloadingCheckInterval(500);
/// Time from an accepted order until its adapter can be used; loading one takes about 10 ms.
constexpr std::chrono::milliseconds AdapterReadyDelay(20);
/// An adapter used within this time is not replaced by another one.
constexpr std::chrono::milliseconds MinAdapterResidency(400);
/// An adapter that has waited longer than this for a slot replaces another one, even one in use.
constexpr std::chrono::milliseconds MaxAdapterWait(1000);
/// Maximum length of the adapter queue of one engine.
constexpr size_t MaxQueuedAdapters = 16;

auto adapterName(const std::string &model, const std::string &adapter) -> std::string
{
    return model + '/' + adapter;
}

} // namespace

EngineController::EngineController(GatewayContext &context, std::string id, Events events)
    : m_context(context)
    , m_id(std::move(id))
    , m_events(std::move(events))
{ }

EngineController::~EngineController()
{
    m_context.reactor.cancel(m_callTimer);
    m_context.reactor.cancel(m_wakeTimer);
    m_context.reactor.cancel(m_assumptionTimer);
    if (m_orderUnderWay)
        logOrderEnd(m_orderUnderWay->order, 0, "abandoned");
}

auto EngineController::isBusy() const -> bool
{
    return m_call || !acceptsAdapterOrders();
}

auto EngineController::acceptsAdapterOrders() const -> bool
{
    return m_isKnown && !m_isUncertain && !m_pendingLoad && !m_state.isBusy
        && m_unloadingAdapters.empty();
}

auto EngineController::noteAdaptersInUse(
    const std::function<bool(const std::string &model, const std::string &adapter)> &isInUse,
    TimePoint now) -> void
{
    for (const auto &[model, adapters] : m_state.models) {
        for (const std::string &adapter : adapters) {
            if (isInUse(model, adapter))
                m_adapterUsed[adapterName(model, adapter)] = now;
        }
    }
}

auto EngineController::isLoadingFromStore() const -> bool
{
    // The orders of a previous holder are unknown; assume a load from the store, because a load
    // from a copy would soon be finished.
    const bool isUnknownOrder =
        m_isKnown && m_state.isBusy && !m_pendingLoad && m_unloadingModel.empty();
    return isUnknownOrder || (m_pendingLoad && m_pendingLoad->storeLoads > 0);
}

auto EngineController::adapterCount() const -> int
{
    size_t count = m_state.loadingAdapters.size() + m_unloadingAdapters.size();
    for (const auto &[model, adapters] : m_state.models)
        count += adapters.size();
    return static_cast<int>(count);
}

auto EngineController::toPlannedEngine(const BackendServer &server,
                                       const Placement::UnansweredOrders::Reserve &reserve) const
    -> PlannedEngine
{
    PlannedEngine engine;
    engine.id = m_id;
    engine.softwareVersion = server.softwareVersion;
    engine.reserve = reserve;
    for (const auto &[model, adapters] : m_state.models)
        engine.models.insert(model);
    const auto addAdapter = [&engine](const std::string &name) {
        engine.adapterModels.push_back(name.substr(0, name.find('/')));
    };
    for (const auto &[model, adapters] : m_state.models)
        engine.adapterModels.insert(engine.adapterModels.end(), adapters.size(), model);
    std::for_each(m_state.loadingAdapters.begin(), m_state.loadingAdapters.end(), addAdapter);
    std::for_each(m_unloadingAdapters.begin(), m_unloadingAdapters.end(), addAdapter);
    engine.readySince = m_readySince;
    if (m_pendingLoad) {
        engine.loadingModel = m_pendingLoad->model;
        engine.models.insert(m_pendingLoad->model);
    }
    engine.isBusy = isBusy();
    engine.copiesInMemory.insert(server.copiesInMemory.begin(), server.copiesInMemory.end());
    engine.copiesOnDisk.insert(server.copiesOnDisk.begin(), server.copiesOnDisk.end());
    return engine;
}

auto EngineController::tick(TimePoint now) -> void
{
    if (m_call)
        return;
    const bool loadIsDue = m_pendingLoad && now >= m_pendingLoad->dueAt;
    const bool unloadingCheckIsDue = !m_unloadingAdapters.empty() && now >= m_nextUnloadingCheck;
    const bool verificationIsDue = m_verifyAt && now >= *m_verifyAt;
    const bool reportIsDue = !m_isKnown || m_isUncertain || loadIsDue || unloadingCheckIsDue
        || verificationIsDue || (!m_pendingLoad && m_state.isBusy);
    if (!reportIsDue)
        processAdapterQueue(now);
    else if (now >= m_nextReport)
        requestReport();
}

auto EngineController::releaseAttempt(std::unique_ptr<BackendAttempt> attempt) -> void
{
    m_context.reactor.cancel(m_callTimer);
    if (attempt)
        attempt->abandon();
    m_context.reactor.callAfter(Utils::Duration::zero(),
                                [kept = std::shared_ptr<BackendAttempt>(std::move(attempt))] {});
}

auto EngineController::sendOrder(EngineOrder order, std::function<void(OrderResult)> done) -> bool
{
    const BackendServer *server = m_context.board.find(m_id);
    const auto authority = m_events.authority();
    if (!server || !authority)
        return false;
    order.holder = authority->holder;
    order.fence = authority->fence;
    order.expectedOrders = m_state.ordersAccepted;
    m_callStatus = 0;
    m_orderUnderWay = {order, *authority, m_context.reactor.now() + CallTimeout, std::move(done)};
    BackendAttempt::Events events;
    events.onHead = [this](const BackendAnswer &answer) { m_callStatus = answer.status; };
    events.onBody = [](std::string_view) {};
    events.onEnd = [this](AttemptEnd outcome) {
        const bool isAnswered = outcome == AttemptEnd::Complete;
        endOrder(isAnswered, isAnswered ? "answered" : "connection-ended");
    };
    // While the connection was established, the lease may have been lost, or acquired again under a
    // newer token.
    events.maySend = [this] { return hasAuthority(); };
    watchOrder(authority->validFor);
    m_events.onOrderSent(order);
    m_call = BackendAttempt::startExclusive(
        m_context, *server, m_context.wire.formatOrder(m_id, order),
        [this] {
            const auto current = m_events.authority();
            return std::min(CallTimeout, current ? current->validFor : CallTimeout.zero());
        },
        std::move(events));
    return true;
}

auto EngineController::hasAuthority() const -> bool
{
    const auto current = m_events.authority();
    return current && m_orderUnderWay && current->isSameTenure(m_orderUnderWay->authority);
}

/// The lease is renewed while the order is under way, so its end has to be looked up again.
auto EngineController::watchOrder(std::chrono::milliseconds validFor) -> void
{
    const auto left = m_orderUnderWay->until - m_context.reactor.now();
    m_context.reactor.cancel(m_callTimer);
    m_callTimer = m_context.reactor.callAfter(std::min<Utils::Duration>(validFor, left),
                                              [this] { checkOrderUnderWay(); });
}

auto EngineController::checkOrderUnderWay() -> void
{
    if (!m_orderUnderWay)
        return;
    if (!hasAuthority())
        return endOrder(false, "authority-ended");
    if (m_context.reactor.now() >= m_orderUnderWay->until)
        return endOrder(false, "timed-out");
    watchOrder(m_events.authority()->validFor);
}

auto EngineController::endOrder(bool isAnswered, const std::string &ending) -> void
{
    const OrderUnderWay ended = std::move(*m_orderUnderWay);
    m_orderUnderWay.reset();
    const int status = m_callStatus;
    releaseAttempt(std::move(m_call));
    const OrderResult result =
        isAnswered ? m_context.wire.parseOrderAnswer(status) : OrderResult::Unknown;
    logOrderEnd(ended.order, status, ending);
    if (result != OrderResult::Unknown)
        m_events.onOrderAnswered(ended.order);
    handleOrderResult(ended.order, result);
    ended.done(result);
}

auto EngineController::logOrderEnd(const EngineOrder &order, int status,
                                   const std::string &ending) const -> void
{
    Utils::logEvent(Utils::Event::OrderAnswered,
                    {{"server", m_id},
                     {"order", order.kind == EngineOrder::Kind::Load ? "load" : "unload"},
                     {"model", order.model},
                     {"adapter", order.adapter},
                     {"status", status},
                     {"ending", ending},
                     {"expected", *order.expectedOrders},
                     {"holder", order.holder},
                     {"fence", order.fence}});
}

/// Updates the count of accepted orders, or marks the state as uncertain if the answer is missing.
auto EngineController::handleOrderResult(const EngineOrder &order, OrderResult result) -> void
{
    m_nextReport = m_context.reactor.now();
    switch (result) {
    case OrderResult::Accepted:
        ++m_state.ordersAccepted;
        // The engine accepts an order only after it has finished the one before.
        m_verifyAt.reset();
        return;
    case OrderResult::AlreadyDone:
        // The engine answers the unload of an unused adapter this way and counts it as an order.
        if (order.kind != EngineOrder::Kind::Unload)
            return;
        m_isUncertain = true;
        m_nextReport += ReportLag;
        return;
    case OrderResult::Conflict:
        // A report requested now would still show the previous count.
        m_isUncertain = true;
        m_nextReport += ReportLag;
        return;
    case OrderResult::Unknown:
        m_isUncertain = true;
        return;
    case OrderResult::WrongServer:
    case OrderResult::Outdated:
    case OrderResult::Rejected:
        m_isKnown = false;
        m_nextReport = m_context.reactor.now() + ReportRetryInterval;
        return;
    }
}

auto EngineController::load(const std::string &model, std::chrono::milliseconds expected,
                            int storeLoads, TimePoint now) -> void
{
    m_pendingLoad = PendingLoad{model, storeLoads, now + expected + ReportLag, expected, now};
    EngineOrder order;
    order.kind = EngineOrder::Kind::Load;
    order.model = model;
    const bool isSent = sendOrder(order, [this](OrderResult result) {
        if (result != OrderResult::Accepted && result != OrderResult::Unknown)
            m_pendingLoad.reset();
        else if (result == OrderResult::Accepted && m_pendingLoad && m_pendingLoad->isFromCopy())
            assumeDoneAfter(m_pendingLoad->nominal + CopyLoadMargin);
        m_events.onChanged();
    });
    if (isSent)
        wakeAt(m_pendingLoad->dueAt);
    else
        m_pendingLoad.reset();
}

auto EngineController::acceptedLoad(TimePoint now) const
    -> std::optional<std::pair<std::string, std::chrono::milliseconds>>
{
    if (!m_pendingLoad || m_orderUnderWay || m_isUncertain)
        return {};
    const auto left = m_pendingLoad->startedAt + m_pendingLoad->nominal - now;
    return std::pair(
        m_pendingLoad->model,
        std::chrono::ceil<std::chrono::milliseconds>(std::max(left, Utils::Duration::zero())));
}

/// Schedules a tick at that time, independent of the planning rounds.
auto EngineController::wakeAt(TimePoint at) -> void
{
    m_context.reactor.cancel(m_wakeTimer);
    m_wakeTimer = m_context.reactor.callAfter(at - m_context.reactor.now(),
                                              [this] { tick(m_context.reactor.now()); });
}

auto EngineController::assumeDoneAfter(std::chrono::milliseconds delay) -> void
{
    m_context.reactor.cancel(m_assumptionTimer);
    m_assumptionTimer = m_context.reactor.callAfter(
        delay, [this, orders = m_state.ordersAccepted, wasKnown = m_isKnown] {
            if (wasKnown && m_isKnown && !m_isUncertain && orders == m_state.ordersAccepted)
                assumeOrderDone();
        });
}

/// Takes the accepted order for done before a report shows it, so that waiting requests and the
/// next order don't wait for that report.
auto EngineController::assumeOrderDone() -> void
{
    const auto now = m_context.reactor.now();
    if (m_pendingLoad) {
        m_state.models.try_emplace(m_pendingLoad->model);
        noteLoaded(now);
    } else if (m_unloadingModel.empty()) {
        return;
    }
    m_unloadingModel.clear();
    m_state.isBusy = false;
    m_verifyAt = now + VerificationDelay;
    m_nextReport = *m_verifyAt;
    wakeAt(m_nextReport);
    m_events.onChanged();
}

auto EngineController::noteLoaded(TimePoint now) -> void
{
    m_readySince[m_pendingLoad->model] = now;
    const auto took =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - m_pendingLoad->startedAt);
    Utils::logEvent(Utils::Event::LoadConfirmed,
                    {{"server", m_id}, {"model", m_pendingLoad->model}, {"tookMs", took.count()}});
    if (m_pendingLoad->storeLoads > 0)
        m_events.onStoreLoad(m_pendingLoad->nominal, took, m_pendingLoad->storeLoads);
    m_pendingLoad.reset();
}

auto EngineController::unload(const std::string &model, bool isIdle) -> void
{
    const auto adapters = m_state.models[model];
    EngineOrder order;
    order.kind = EngineOrder::Kind::Unload;
    order.model = model;
    const bool isSent = sendOrder(order, [this, model, adapters, isIdle](OrderResult result) {
        if (result == OrderResult::Accepted) {
            m_unloadingModel = model;
            m_state.isBusy = true; // Until a report shows that the running requests have ended.
            if (isIdle)
                assumeDoneAfter(IdleUnloadTime);
            m_nextReport = m_context.reactor.now() + ReportLag;
            wakeAt(m_nextReport);
        } else if (result != OrderResult::AlreadyDone) {
            m_state.models[model] = adapters;
        }
        m_readySince.erase(model);
        m_events.onChanged();
    });
    if (!isSent)
        return;
    // Route requests elsewhere before the engine starts to refuse them.
    m_state.models.erase(model);
    m_events.onChanged();
}

auto EngineController::requestAdapter(const std::string &model, const std::string &adapter,
                                      TimePoint now) -> void
{
    if (!isAdapterQueued(model, adapter) && m_adapterQueue.size() < MaxQueuedAdapters)
        m_adapterQueue.push_back({model, adapter, now});
    tick(now);
}

auto EngineController::processAdapterQueue(TimePoint now) -> void
{
    if (m_call || !acceptsAdapterOrders() || m_adapterQueue.empty())
        return;
    const auto [model, adapter, since] = m_adapterQueue.front();
    const auto held = m_state.models.find(model);
    if (held == m_state.models.end() || held->second.count(adapter) > 0) {
        m_adapterQueue.pop_front();
        return;
    }
    const AdapterRoom room = m_events.adapterRoom(model);
    if (room == AdapterRoom::None) {
        m_adapterQueue.pop_front(); // Another engine may have room by now.
        return;
    }
    EngineOrder order;
    order.model = model;
    if (room == AdapterRoom::AfterUnload) {
        std::string oldestModel;
        std::string oldestAdapter;
        // An adapter that has waited long replaces one in use, which is unloaded after its last
        // request.
        TimePoint oldest =
            now - since > MaxAdapterWait ? TimePoint::max() : now - MinAdapterResidency;
        for (const auto &[other, adapters] : m_state.models) {
            for (const std::string &name : adapters) {
                const TimePoint used = m_adapterUsed[adapterName(other, name)];
                if (used < oldest) {
                    oldest = used;
                    oldestModel = other;
                    oldestAdapter = name;
                }
            }
        }
        if (oldestModel.empty())
            return;
        return unloadAdapter(oldestModel, oldestAdapter);
    }
    order.kind = EngineOrder::Kind::Load;
    order.adapter = adapter;
    const bool isSent =
        sendOrder(order, [this, model = model, adapter = adapter](OrderResult result) {
            m_loadingAdapter.clear();
            if (result != OrderResult::Accepted && result != OrderResult::AlreadyDone)
                return;
            const auto found = m_state.models.find(model);
            if (found == m_state.models.end())
                return;
            found->second.insert(adapter);
            m_adapterUsed[adapterName(model, adapter)] = m_context.reactor.now();
            m_context.reactor.callAfter(AdapterReadyDelay,
                                        [changed = m_events.onChanged] { changed(); });
        });
    if (!isSent)
        return;
    m_loadingAdapter = adapterName(model, adapter);
    m_adapterQueue.pop_front();
}

auto EngineController::unloadAdapter(const std::string &model, const std::string &adapter) -> void
{
    EngineOrder order;
    order.kind = EngineOrder::Kind::Unload;
    order.model = model;
    order.adapter = adapter;
    const bool isSent =
        sendOrder(order, [this, name = adapterName(model, adapter)](OrderResult result) {
            if (result == OrderResult::Accepted) {
                m_unloadingAdapters.insert(name);
                m_nextUnloadingCheck = m_context.reactor.now() + ReportLag;
            }
            m_events.onChanged();
        });
    if (!isSent)
        return;
    m_state.models[model].erase(adapter);
    m_events.onChanged();
}

/// Removes adapters that are being unloaded from the state, so that they get no requests. They keep
/// their slot while the engine reports them.
auto EngineController::removeUnloadingAdapters() -> void
{
    std::erase_if(m_unloadingAdapters, [this](const std::string &name) {
        const auto slash = name.find('/');
        const auto held = m_state.models.find(name.substr(0, slash));
        return held == m_state.models.end() || held->second.erase(name.substr(slash + 1)) == 0;
    });
}

auto EngineController::isAdapterHeldOrRequested(const std::string &model,
                                                const std::string &adapter) const -> bool
{
    const auto held = m_state.models.find(model);
    return (held != m_state.models.end() && held->second.count(adapter) > 0)
        || m_loadingAdapter == adapterName(model, adapter) || isAdapterQueued(model, adapter);
}

auto EngineController::isAdapterQueued(const std::string &model, const std::string &adapter) const
    -> bool
{
    return std::any_of(m_adapterQueue.begin(), m_adapterQueue.end(), [&](const auto &queued) {
        return queued.model == model && queued.adapter == adapter;
    });
}

auto EngineController::requestReport() -> void
{
    const BackendServer *server = m_context.board.find(m_id);
    if (!server)
        return;
    m_callStatus = 0;
    m_callBody.clear();
    m_nextUnloadingCheck = m_context.reactor.now() + UnloadingCheckInterval;
    const auto finish = [this](bool answered) {
        releaseAttempt(std::move(m_call));
        m_nextReport = m_context.reactor.now() + ReportRetryInterval;
        constexpr int ok = 200;
        if (answered && m_callStatus == ok)
            handleReport(m_callBody);
    };
    BackendAttempt::Events events;
    events.onHead = [this](const BackendAnswer &answer) { m_callStatus = answer.status; };
    // Data beyond the maximum size of a report is ignored until the call times out.
    events.onBody = [this](std::string_view data) {
        if (m_callBody.size() + data.size() <= Constants::MaxAnswerBytes)
            m_callBody += data;
    };
    events.onEnd = [finish](AttemptEnd outcome) { finish(outcome == AttemptEnd::Complete); };
    m_callTimer = m_context.reactor.callAfter(CallTimeout, [finish] { finish(false); });
    m_call = BackendAttempt::start(m_context, *server, m_context.wire.formatReportRequest(m_id), {},
                                   std::chrono::milliseconds(0), std::move(events));
}

auto EngineController::handleReport(const std::string &body) -> void
{
    const auto report = m_context.wire.parseReport(body);
    if (!report) {
        Utils::logEvent(Utils::Event::EntryRejected,
                        {{"what", "report"}, {"server", m_id}, {"reason", report.error()}});
        return;
    }
    m_nextReport = m_context.reactor.now() + ReportInterval;
    wakeAt(m_nextReport);
    const BackendServer *server = m_context.board.find(m_id);
    if (server && server->startedAtMs > 0 && report->startedAtMs
        && *report->startedAtMs != server->startedAtMs) {
        // Nothing is known of the newer incarnation until it is listed.
        if (*report->startedAtMs > server->startedAtMs && m_context.onConnectionLost)
            m_context.onConnectionLost(m_id, server->startedAtMs);
        return;
    }
    // Reports are delayed; one from before the last accepted order does not reflect it.
    if (m_isKnown && report->ordersAccepted < m_state.ordersAccepted)
        return;
    const auto now = m_context.reactor.now();
    // The engine has not executed the unanswered order. If the order still arrives, the next order
    // invalidates it.
    const bool wasNotExecuted =
        m_isUncertain && report->ordersAccepted == m_state.ordersAccepted && !report->isBusy;
    if (wasNotExecuted)
        m_pendingLoad.reset();
    m_isKnown = true;
    m_isUncertain = false;
    m_verifyAt.reset();
    m_state = *report;
    removeUnloadingAdapters();
    if (m_state.isBusy)
        m_state.models.erase(m_unloadingModel);
    else
        m_unloadingModel.clear();
    if (m_pendingLoad && m_state.models.count(m_pendingLoad->model) > 0) {
        noteLoaded(now);
    } else if (m_pendingLoad && !m_state.isBusy
               && now > m_pendingLoad->dueAt + ReportRetryInterval) {
        Utils::logEvent(Utils::Event::LoadFailed,
                        {{"server", m_id}, {"model", m_pendingLoad->model}});
        m_pendingLoad.reset();
    }
    m_events.onChanged();
}

} // namespace Gateway
