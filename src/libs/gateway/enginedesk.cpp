#include "enginedesk.h"

#include "backendattempt.h"
#include "backendboard.h"
#include "gatewayconstants.h"
#include "gatewaycontext.h"

#include <net/reactor.h>
#include <utils/eventlog.h>

#include <algorithm>

namespace Gateway {

using Utils::TimePoint;

namespace {

/// An order or report that is not answered by then is given up; an engine answers in milliseconds.
constexpr std::chrono::milliseconds CallTimeout(800);
/// Reports show the engine as it was this long before, so that an order's end shows this much
/// later.
constexpr std::chrono::milliseconds ReportLag(110);
/// Pause between two looks at an order that should have ended.
constexpr std::chrono::milliseconds ReportPause(100);
/// Pause between two looks at an engine that can't be read.
constexpr std::chrono::milliseconds ReportRetry(500);
/// Pause between two looks at adapters that leave after their last run.
constexpr std::chrono::milliseconds LeavingLookPause(500);
/// Time from an accepted order until its adapter can be used; they take some 10 ms.
constexpr std::chrono::milliseconds AdapterReadyAfter(20);
/// An adapter used within this time is not dropped for another.
constexpr std::chrono::milliseconds AdapterStay(400);
/// An adapter that waited this long for a place takes that of another one, in use or not.
constexpr std::chrono::milliseconds LongestAdapterWait(1000);
/// Requests for adapters that are kept while an engine works on one.
constexpr size_t MostWantedAdapters = 16;

auto adapterName(const std::string &model, const std::string &adapter) -> std::string
{
    return model + '/' + adapter;
}

} // namespace

EngineDesk::EngineDesk(GatewayContext &context, std::string id, Events events)
    : m_context(context)
    , m_id(std::move(id))
    , m_events(std::move(events))
{ }

EngineDesk::~EngineDesk()
{
    m_context.reactor.cancel(m_callTimer);
    m_context.reactor.cancel(m_wakeTimer);
}

auto EngineDesk::isBusy() const -> bool
{
    return m_call || !takesAdapters();
}

auto EngineDesk::takesAdapters() const -> bool
{
    return m_isKnown && !m_isUncertain && !m_coming && !m_state.isBusy && m_leavingAdapters.empty();
}

auto EngineDesk::noteAdaptersInUse(
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

auto EngineDesk::isLoadingFromStore() const -> bool
{
    // What a holder before this one ordered is not known; a swap from a copy would soon be over.
    const bool isUnknownOrder = m_isKnown && m_state.isBusy && !m_coming && m_leaving.empty();
    return isUnknownOrder || (m_coming && m_coming->storeLoads > 0);
}

auto EngineDesk::adapterCount() const -> int
{
    size_t count = m_state.loadingAdapters.size() + m_leavingAdapters.size();
    for (const auto &[model, adapters] : m_state.models)
        count += adapters.size();
    return static_cast<int>(count);
}

auto EngineDesk::planned(const BackendServer &server, const LateOrders::Reserve &reserve) const
    -> PlannedEngine
{
    PlannedEngine engine;
    engine.id = m_id;
    engine.reserve = reserve;
    for (const auto &[model, adapters] : m_state.models)
        engine.models.insert(model);
    engine.readySince = m_readySince;
    if (m_coming) {
        engine.coming = m_coming->model;
        engine.models.insert(m_coming->model);
    }
    engine.isBusy = isBusy();
    engine.copiesInMemory.insert(server.copiesInMemory.begin(), server.copiesInMemory.end());
    engine.copiesOnDisk.insert(server.copiesOnDisk.begin(), server.copiesOnDisk.end());
    return engine;
}

auto EngineDesk::tick(TimePoint now) -> void
{
    if (m_call)
        return;
    const bool loadIsDue = m_coming && now >= m_coming->dueAt;
    const bool leavingIsDue = !m_leavingAdapters.empty() && now >= m_nextLookAtLeaving;
    const bool reportIsDue =
        !m_isKnown || m_isUncertain || loadIsDue || leavingIsDue || (!m_coming && m_state.isBusy);
    if (!reportIsDue)
        nextAdapter(now);
    else if (now >= m_nextReport)
        askReport();
}

auto EngineDesk::retire(std::unique_ptr<BackendAttempt> attempt) -> void
{
    m_context.reactor.cancel(m_callTimer);
    if (attempt)
        attempt->abandon();
    m_context.reactor.callAfter(Utils::Duration::zero(),
                                [kept = std::shared_ptr<BackendAttempt>(std::move(attempt))] {});
}

auto EngineDesk::give(EngineOrder order, std::function<void(OrderResult)> done) -> bool
{
    const BackendServer *server = m_context.board.find(m_id);
    const auto authority = m_events.authority();
    if (!server || !authority)
        return false;
    order.holder = authority->holder;
    order.fence = authority->fence;
    order.expectedOrders = m_state.ordersAccepted;
    m_callStatus = 0;
    const auto finish = [this, order, done = std::move(done)](bool answered) {
        const int status = m_callStatus;
        retire(std::move(m_call));
        const OrderResult result =
            answered ? m_context.wire.parseOrderAnswer(status) : OrderResult::Unknown;
        Utils::logEvent(Utils::Event::OrderAnswered,
                        {{"server", m_id},
                         {"order", order.kind == EngineOrder::Kind::Load ? "load" : "unload"},
                         {"model", order.model},
                         {"adapter", order.adapter},
                         {"status", status},
                         {"expected", *order.expectedOrders},
                         {"fence", order.fence}});
        if (result != OrderResult::Unknown)
            m_events.onOrderAnswered(order);
        takeOrderEnd(order, result);
        done(result);
    };
    BackendAttempt::Events events;
    events.onHead = [this](const BackendAnswer &answer) { m_callStatus = answer.status; };
    events.onBody = [](std::string_view) {};
    events.onEnd = [finish](AttemptEnd how) { finish(how == AttemptEnd::Complete); };
    // While the connection was made this process may have stood still and lost the duty.
    events.maySend = [this] { return m_events.authority().has_value(); };
    m_callTimer = m_context.reactor.callAfter(CallTimeout, [finish] { finish(false); });
    m_events.onOrderSent(order);
    m_call = BackendAttempt::start(m_context, *server, m_context.wire.formatOrder(m_id, order), {},
                                   std::chrono::milliseconds(0), std::move(events));
    return true;
}

/// The count of accepted orders, and doubt about an order whose answer is missing.
auto EngineDesk::takeOrderEnd(const EngineOrder &order, OrderResult result) -> void
{
    m_nextReport = m_context.reactor.now();
    switch (result) {
    case OrderResult::Accepted:
        ++m_state.ordersAccepted;
        return;
    case OrderResult::AlreadyDone:
        // Dropping an unused adapter is answered this way and counts as an order.
        if (order.kind != EngineOrder::Kind::Unload)
            return;
        m_isUncertain = true;
        m_nextReport += ReportLag;
        return;
    case OrderResult::Conflict:
        // A report of now would show the count from before.
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
        m_nextReport = m_context.reactor.now() + ReportRetry;
        return;
    }
}

auto EngineDesk::load(const std::string &model, std::chrono::milliseconds expected, int storeLoads,
                      TimePoint now) -> void
{
    m_coming = PendingLoad{model, storeLoads, now + expected + ReportLag, expected, now};
    EngineOrder order;
    order.kind = EngineOrder::Kind::Load;
    order.model = model;
    const bool isGiven = give(order, [this](OrderResult result) {
        if (result != OrderResult::Accepted && result != OrderResult::Unknown)
            m_coming.reset();
        m_events.onChanged();
    });
    if (isGiven)
        wakeAt(m_coming->dueAt);
    else
        m_coming.reset();
}

/// Looks at the engine at that time, and not only at the next round.
auto EngineDesk::wakeAt(TimePoint at) -> void
{
    m_context.reactor.cancel(m_wakeTimer);
    m_wakeTimer = m_context.reactor.callAfter(at - m_context.reactor.now(),
                                              [this] { tick(m_context.reactor.now()); });
}

auto EngineDesk::unload(const std::string &model, TimePoint) -> void
{
    const auto adapters = m_state.models[model];
    EngineOrder order;
    order.kind = EngineOrder::Kind::Unload;
    order.model = model;
    const bool isGiven = give(order, [this, model, adapters](OrderResult result) {
        if (result == OrderResult::Accepted) {
            m_leaving = model;
            m_state.isBusy = true; // Until the report says that the runs have ended.
            m_nextReport = m_context.reactor.now() + ReportLag;
            wakeAt(m_nextReport);
        } else if (result != OrderResult::AlreadyDone) {
            m_state.models[model] = adapters;
        }
        m_readySince.erase(model);
        m_events.onChanged();
    });
    if (!isGiven)
        return;
    // Requests are sent elsewhere before the engine refuses them.
    m_state.models.erase(model);
    m_events.onChanged();
}

auto EngineDesk::wantAdapter(const std::string &model, const std::string &adapter, int adapterSlots,
                             TimePoint now) -> void
{
    m_adapterSlots = adapterSlots;
    if (!isInLine(model, adapter) && m_wantedAdapters.size() < MostWantedAdapters)
        m_wantedAdapters.push_back({model, adapter, now});
    tick(now);
}

auto EngineDesk::nextAdapter(TimePoint now) -> void
{
    if (m_call || !takesAdapters() || m_wantedAdapters.empty())
        return;
    const auto [model, adapter, since] = m_wantedAdapters.front();
    const auto held = m_state.models.find(model);
    if (held == m_state.models.end() || held->second.count(adapter) > 0) {
        m_wantedAdapters.pop_front();
        return;
    }
    EngineOrder order;
    order.model = model;
    if (adapterCount() >= m_adapterSlots) {
        std::string oldestModel;
        std::string oldestAdapter;
        // One that has waited long takes the place of one in use, which leaves after its last run.
        TimePoint oldest = now - since > LongestAdapterWait ? TimePoint::max() : now - AdapterStay;
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
        return dropAdapter(oldestModel, oldestAdapter);
    }
    order.kind = EngineOrder::Kind::Load;
    order.adapter = adapter;
    const bool isGiven = give(order, [this, model = model, adapter = adapter](OrderResult result) {
        m_comingAdapter.clear();
        if (result != OrderResult::Accepted && result != OrderResult::AlreadyDone)
            return;
        const auto found = m_state.models.find(model);
        if (found == m_state.models.end())
            return;
        found->second.insert(adapter);
        m_adapterUsed[adapterName(model, adapter)] = m_context.reactor.now();
        m_context.reactor.callAfter(AdapterReadyAfter,
                                    [changed = m_events.onChanged] { changed(); });
    });
    if (!isGiven)
        return;
    m_comingAdapter = adapterName(model, adapter);
    m_wantedAdapters.pop_front();
}

auto EngineDesk::dropAdapter(const std::string &model, const std::string &adapter) -> void
{
    EngineOrder order;
    order.kind = EngineOrder::Kind::Unload;
    order.model = model;
    order.adapter = adapter;
    const bool isGiven =
        give(order, [this, name = adapterName(model, adapter)](OrderResult result) {
            if (result == OrderResult::Accepted) {
                m_leavingAdapters.insert(name);
                m_nextLookAtLeaving = m_context.reactor.now() + ReportLag;
            }
            m_events.onChanged();
        });
    if (!isGiven)
        return;
    m_state.models[model].erase(adapter);
    m_events.onChanged();
}

/// Adapters that leave get no requests, but keep their place while the engine reports them.
auto EngineDesk::hideLeavingAdapters() -> void
{
    std::erase_if(m_leavingAdapters, [this](const std::string &name) {
        const auto slash = name.find('/');
        const auto held = m_state.models.find(name.substr(0, slash));
        return held == m_state.models.end() || held->second.erase(name.substr(slash + 1)) == 0;
    });
}

auto EngineDesk::isAdapterWanted(const std::string &model, const std::string &adapter) const -> bool
{
    const auto held = m_state.models.find(model);
    return (held != m_state.models.end() && held->second.count(adapter) > 0)
        || m_comingAdapter == adapterName(model, adapter) || isInLine(model, adapter);
}

auto EngineDesk::isInLine(const std::string &model, const std::string &adapter) const -> bool
{
    return std::any_of(m_wantedAdapters.begin(), m_wantedAdapters.end(), [&](const auto &wanted) {
        return wanted.model == model && wanted.adapter == adapter;
    });
}

auto EngineDesk::askReport() -> void
{
    const BackendServer *server = m_context.board.find(m_id);
    if (!server)
        return;
    m_callStatus = 0;
    m_callBody.clear();
    m_nextLookAtLeaving = m_context.reactor.now() + LeavingLookPause;
    const auto finish = [this](bool answered) {
        retire(std::move(m_call));
        m_nextReport = m_context.reactor.now() + ReportRetry;
        constexpr int ok = 200;
        if (answered && m_callStatus == ok)
            takeReport(m_callBody);
    };
    BackendAttempt::Events events;
    events.onHead = [this](const BackendAnswer &answer) { m_callStatus = answer.status; };
    // What is longer than a report can be is left unread until the call times out.
    events.onBody = [this](std::string_view data) {
        if (m_callBody.size() + data.size() <= Constants::MaxAnswerBytes)
            m_callBody += data;
    };
    events.onEnd = [finish](AttemptEnd how) { finish(how == AttemptEnd::Complete); };
    m_callTimer = m_context.reactor.callAfter(CallTimeout, [finish] { finish(false); });
    m_call = BackendAttempt::start(m_context, *server, m_context.wire.formatReportRequest(m_id), {},
                                   std::chrono::milliseconds(0), std::move(events));
}

auto EngineDesk::takeReport(const std::string &body) -> void
{
    const auto report = m_context.wire.parseReport(body);
    if (!report) {
        Utils::logEvent(Utils::Event::EntryRejected,
                        {{"what", "report"}, {"server", m_id}, {"reason", report.error()}});
        return;
    }
    m_nextReport = m_context.reactor.now() + ReportPause;
    wakeAt(m_nextReport);
    // Reports lag; one from before the last accepted order says nothing of it.
    if (m_isKnown && report->ordersAccepted < m_state.ordersAccepted)
        return;
    const auto now = m_context.reactor.now();
    // The engine has not taken the order that got no answer; should it still come, the next order
    // makes it void.
    const bool wasNotTaken =
        m_isUncertain && report->ordersAccepted == m_state.ordersAccepted && !report->isBusy;
    if (wasNotTaken)
        m_coming.reset();
    m_isKnown = true;
    m_isUncertain = false;
    m_state = *report;
    hideLeavingAdapters();
    if (m_state.isBusy)
        m_state.models.erase(m_leaving);
    else
        m_leaving.clear();
    if (m_coming && m_state.models.count(m_coming->model) > 0) {
        m_readySince[m_coming->model] = now;
        const auto took =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - m_coming->startedAt);
        Utils::logEvent(Utils::Event::LoadConfirmed,
                        {{"server", m_id}, {"model", m_coming->model}, {"tookMs", took.count()}});
        if (m_coming->storeLoads > 0)
            m_events.onStoreLoad(m_coming->nominal, took, m_coming->storeLoads);
        m_coming.reset();
    } else if (m_coming && !m_state.isBusy && now > m_coming->dueAt + ReportRetry) {
        Utils::logEvent(Utils::Event::LoadFailed, {{"server", m_id}, {"model", m_coming->model}});
        m_coming.reset();
    }
    m_events.onChanged();
}

} // namespace Gateway
