#include "causefinder.h"

#include <admission/refusal.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Explain {

using std::chrono::milliseconds;
using Utils::Event;

namespace {

/// Longest time from a broken answer until gateways list its server as gone or restarted.
constexpr milliseconds MaxServerEndDelay(10000);
/// A gateway may list the server as gone up to this long before the answer breaks.
constexpr milliseconds ServerEndTolerance(1000);
/// Longest time from a server's announcement that it leaves until it breaks an answer.
constexpr milliseconds LeavingLookBack(30000);
/// Pauses that began earlier than this before a refusal are not considered.
constexpr milliseconds PauseLookBack(60000);
/// A gateway lists every server as new during this time after its start.
constexpr milliseconds RecentStartWindow(10000);

auto timeBeforeEnd(const RequestEnd &end, milliseconds time) -> std::string
{
    return secondsText(end.endedAt - time) + " before the request ended";
}

auto pendingLoadText(const RequestEnd &end, const LoadHistory &loads) -> std::string
{
    std::string text = "ordered at " + std::string(loads.pendingLoad->server) + ' '
        + timeBeforeEnd(end, loads.pendingLoad->time);
    if (!loads.pendingLoad->adapter.empty())
        return text + "; finished adapter loads are not logged";
    if (loads.lateConfirmation)
        return text + ", confirmed " + secondsText(loads.lateConfirmation->time - end.endedAt)
            + " after it";
    return text + ", with no confirmation in the " + secondsText(OrderLookBack) + " after it";
}

} // namespace

auto secondsText(milliseconds time) -> std::string
{
    constexpr double millisecondsPerSecond = 1000;
    std::array<char, 32> text = {};
    std::snprintf(text.data(), text.size(), "%.3f s",
                  static_cast<double>(time.count()) / millisecondsPerSecond);
    return text.data();
}

CauseFinder::CauseFinder(const Timeline &timeline, const LateLimits &limits)
    : m_timeline(timeline)
    , m_limits(limits)
{ }

auto CauseFinder::limits() const -> const LateLimits &
{
    return m_limits;
}

auto CauseFinder::find(const RequestEnd &end) const -> Finding
{
    if (end.isServed)
        return findLateCause(end);
    const std::string &outcome = end.outcome;
    if (outcome == "unknown_route" || outcome == "wrong_key")
        return findConfigurationCause(end);
    if (outcome == "load_failed")
        return findLoadCause(end);
    if (outcome == "no_backend_server")
        return findNoServerCause(end);
    if (outcome == "would_miss_deadline" && !end.failures.limitedServer.empty())
        return {"server-limit",
                "server " + end.failures.limitedServer + " had a limit of "
                    + end.failures.limitText};
    if (outcome == "backend_failed" || outcome == "deadline_passed")
        return findServerFailureCause(end);
    if (outcome == "over_contract")
        return {"over-contract", "customer " + end.customer + " had no quota left for it"};
    if (outcome == "draining")
        return {"gateway-stopping", end.gateway + " was stopping"};
    if (outcome == "answered")
        return {"server-error", "server " + end.server + " answered " + std::to_string(end.status)};
    if (outcome == "caller_left") {
        return {end.sends > 0 ? "caller-left-running" : "caller-left-waiting",
                "the caller left after " + secondsText(end.duration())};
    }
    const auto &all = Admission::refusalCatalogue();
    const auto known = std::find_if(all.begin(), all.end(),
                                    [&](const auto &entry) { return entry.code == outcome; });
    return {"other-refusal",
            outcome + (known == all.end() ? "" : ": " + std::string(known->meaning))};
}

auto CauseFinder::findLateCause(const RequestEnd &end) const -> Finding
{
    const std::string first = "the answer began after " + secondsText(end.answerTime());
    if (end.answerTime() <= m_limits.answer)
        return {"late-pause", "the longest pause was " + secondsText(end.longestPause)};
    if (end.sends > 1)
        return {"late-repeat", first + ", with " + std::to_string(end.sends) + " sends"};
    RequestEnd answerWait = end;
    answerWait.endedAt = end.arrivedAt + end.answerTime();
    const auto loads = LoadHistory::create(answerWait, m_timeline);
    const auto &load = loads.confirmedLoad ? loads.confirmedLoad : loads.pendingLoad;
    // The logs don't tell whether an adapter ordered before the arrival was still loading.
    if (!end.model.empty() && load && (load->adapter.empty() || load->time >= end.arrivedAt)) {
        return {"late-load",
                first + "; " + end.model
                    + (loads.confirmedLoad ? " was loaded at " : " was ordered at ")
                    + std::string(load->server) + ' '
                    + secondsText(std::chrono::abs(load->time - end.arrivedAt))
                    + (load->time < end.arrivedAt ? " before" : " after") + " it arrived"};
    }
    return {"late-answer", first + ", with one send to " + end.server};
}

auto CauseFinder::findConfigurationCause(const RequestEnd &end) const -> Finding
{
    const auto newest = m_timeline.newestVersionAt(end.arrivedAt);
    const std::string own = end.gateway + " had configuration " + std::to_string(end.configuration);
    if (newest <= end.configuration)
        return {end.outcome == "wrong_key" ? "wrong-key" : "unknown-route",
                own + "; no gateway is known to have had a newer one then"};
    return {"older-configuration",
            own + " while another had " + std::to_string(newest)
                + "; the answer was wrong if that one allows the request"};
}

auto CauseFinder::findLoadCause(const RequestEnd &end) const -> Finding
{
    if (end.sends > 0)
        return {"load-while-retrying",
                "it was sent " + std::to_string(end.sends) + " times and not run, and found no "
                    + "engine with " + end.model + " afterwards"};
    const auto loads = LoadHistory::create(end, m_timeline);
    const auto serverOf = [](const ContextEvent &order) { return std::string(order.server); };
    if (loads.rejectedLoad)
        return {"load-rejected",
                serverOf(*loads.rejectedLoad) + " answered the order with "
                    + std::to_string(loads.rejectedLoad->value)};
    if (loads.unansweredLoad)
        return {"load-unanswered", serverOf(*loads.unansweredLoad) + " did not answer the order"};
    if (loads.failedLoad)
        return {"load-failed", serverOf(*loads.failedLoad) + " did not load " + end.model};
    const bool isAdapterOrdered = loads.pendingLoad && !loads.pendingLoad->adapter.empty();
    if (loads.confirmedLoad && !isAdapterOrdered)
        return {end.adapter().empty() ? "load-not-used" : "load-without-adapter",
                std::string(end.baseModel()) + " was confirmed at " + serverOf(*loads.confirmedLoad)
                    + ' ' + timeBeforeEnd(end, loads.confirmedLoad->time)};
    if (loads.pendingLoad)
        return {"load-unconfirmed", pendingLoadText(end, loads)};
    if (loads.lastUnload)
        return {"load-undone",
                end.model + " was unloaded at " + serverOf(*loads.lastUnload) + ' '
                    + timeBeforeEnd(end, loads.lastUnload->time)};
    return findMissingOrderCause(end, loads);
}

/// The cause for a model whose load was not ordered.
auto CauseFinder::findMissingOrderCause(const RequestEnd &end, const LoadHistory &loads) const
    -> Finding
{
    const auto holder = m_timeline.dutyHolderAt(end.endedAt);
    const bool isUnheld = !holder && !m_timeline.dutyHolderAt(end.arrivedAt);
    if (isUnheld && !m_timeline.duties().empty())
        return {"load-no-duty", "no gateway held the placement duty"};
    const auto span = holder ? m_timeline.logSpan(holder->gateway) : std::nullopt;
    if (!span || span->begin > end.arrivedAt)
        return {"load-log-missing",
                holder ? "the log of " + std::string(holder->gateway) + ", which gives the orders, "
                        + "begins " + secondsText(span->begin - end.arrivedAt)
                        + " after the request arrived"
                       : std::string("no log shows which gateway gave the orders")};
    if (loads.otherLoads + loads.otherUnloads == 0)
        return {"load-not-ordered", "no order to any engine while it waited"};
    return {"load-engines-busy",
            "no order for " + end.model + " while it waited; for other models "
                + std::to_string(loads.otherLoads) + " loads and "
                + std::to_string(loads.otherUnloads) + " unloads"};
}

auto CauseFinder::hasJustStarted(const ContextEvent &event) const -> bool
{
    const auto range = Timeline::between(m_timeline.gatewayEvents(event.gateway),
                                         event.time - RecentStartWindow, event.time);
    return std::any_of(range.first, range.second, [](const ContextEvent &other) {
        return other.event == Event::ProcessStarted;
    });
}

auto CauseFinder::findServerTermination(std::string_view server, milliseconds from,
                                        milliseconds until) const -> std::optional<ContextEvent>
{
    const auto &events = m_timeline.serverEvents(server);
    const auto range = Timeline::between(events, from - LeavingLookBack, until);
    std::optional<ContextEvent> leaving;
    for (auto event = range.first; event != range.second; ++event) {
        const bool isBack = event->event == Event::BackendChanged && !event->isLeavingOrLoad
            && !hasJustStarted(*event);
        const bool isEnd = event->event == Event::BackendGone || isBack;
        if (event->isLeavingOrLoad)
            leaving = *event;
        else if (isEnd && event->time >= from)
            return leaving ? leaving : *event;
        else if (isEnd)
            leaving.reset();
    }
    return leaving;
}

auto CauseFinder::findServerFailureCause(const RequestEnd &end) const -> Finding
{
    const bool hasFailedServer = !end.failures.failedServer.empty();
    const std::string server = hasFailedServer ? end.failures.failedServer : end.server;
    const auto from = hasFailedServer ? end.failures.failedAt - ServerEndTolerance : end.arrivedAt;
    const auto termination = findServerTermination(server, from, end.endedAt + MaxServerEndDelay);
    const auto afterArrival = [&](milliseconds time) {
        return secondsText(time - end.arrivedAt) + " after the request arrived";
    };
    if (termination && termination->isLeavingOrLoad)
        return {"server-left",
                "server " + server + " had announced that it leaves, "
                    + afterArrival(termination->time)};
    if (termination)
        return {
            "server-died",
            "server " + server
                + (termination->event == Event::BackendGone ? " was gone " : " was listed as new ")
                + afterArrival(termination->time)};
    if (end.failures.isRetryDenied)
        return {"retry-budget", "the retry budget was used up"};
    if (end.outcome == "deadline_passed")
        return {"deadline-passed",
                "sends " + std::to_string(end.sends) + ", given up after "
                    + secondsText(end.duration())};
    const auto observed = std::min(MaxServerEndDelay, m_timeline.end() - end.endedAt);
    return {"answer-broken",
            server.empty() ? "no server is named"
                           : "server " + server + " was neither gone nor new in the "
                    + secondsText(observed) + " after it"};
}

auto CauseFinder::findNoServerCause(const RequestEnd &end) const -> Finding
{
    if (end.failures.isRetryDenied)
        return {"retry-budget", "the retry budget was used up after a send that was not run"};
    if (!end.failures.pausedServer.empty())
        return {"server-paused",
                "server " + end.failures.pausedServer + " asked for a pause in requests"};
    size_t paused = 0;
    const auto range =
        Timeline::between(m_timeline.pauses(), end.endedAt - PauseLookBack, end.endedAt);
    for (auto pause = range.first; pause != range.second; ++pause) {
        const bool isStillPaused = pause->time + milliseconds(pause->value) > end.endedAt;
        paused += isStillPaused && pause->gateway == end.gateway ? 1 : 0;
    }
    std::string evidence = "it was sent " + std::to_string(end.sends) + " times and not run";
    if (paused > 0)
        evidence +=
            "; " + std::to_string(paused) + " server pauses were in effect at " + end.gateway;
    return {"no-server", evidence};
}

} // namespace Explain
