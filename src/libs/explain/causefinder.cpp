#include "causefinder.h"

#include <admission/refusal.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Explain {

using std::chrono::milliseconds;
using Utils::Event;

namespace {

/// Within which a server's end is listed after it broke an answer.
constexpr milliseconds ServerEndWithin(10000);
/// How much sooner than the break one may have learned of the server's end.
constexpr milliseconds ServerEndSlack(1000);
/// How long before it broke an answer a server may have said that it leaves.
constexpr milliseconds LeavingLookBack(30000);
/// How long before a refusal a pause that lasts until then is looked for.
constexpr milliseconds PauseLookBack(60000);
/// A gateway that started so shortly before lists every server as new.
constexpr milliseconds StartedWithin(10000);

auto beforeEnd(const RequestEnd &end, milliseconds time) -> std::string
{
    return secondsText(end.endedAt - time) + " before the request ended";
}

auto openLoadText(const RequestEnd &end, const LoadHistory &loads) -> std::string
{
    std::string text = "ordered at " + std::string(loads.openLoad->server) + ' '
        + beforeEnd(end, loads.openLoad->time);
    if (!loads.openLoad->adapter.empty())
        return text + "; adapters' loads leave no line when they are done";
    if (loads.confirmedAfter)
        return text + ", confirmed " + secondsText(loads.confirmedAfter->time - end.endedAt)
            + " after it";
    return text + ", with no confirmation in the " + secondsText(OrderLookBack) + " after it";
}

} // namespace

auto secondsText(milliseconds time) -> std::string
{
    constexpr double millisecondsASecond = 1000;
    std::array<char, 32> text = {};
    std::snprintf(text.data(), text.size(), "%.3f s",
                  static_cast<double>(time.count()) / millisecondsASecond);
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
        return findLate(end);
    const std::string &outcome = end.outcome;
    if (outcome == "unknown_route" || outcome == "wrong_key")
        return findConfiguration(end);
    if (outcome == "load_failed")
        return findLoad(end);
    if (outcome == "no_backend_server")
        return findNoServer(end);
    if (outcome == "backend_failed" || outcome == "deadline_passed")
        return findServer(end);
    if (outcome == "over_contract")
        return {"over-contract", "customer " + end.customer + " had no quota left for it"};
    if (outcome == "draining")
        return {"gateway-stopping", end.gateway + " was stopping"};
    if (outcome == "answered")
        return {"server-error", "server " + end.server + " answered " + std::to_string(end.status)};
    if (outcome == "caller_left") {
        return {end.sends > 0 ? "caller-left-running" : "caller-left-waiting",
                "the caller left after " + secondsText(end.took())};
    }
    const auto &all = Admission::refusalCatalogue();
    const auto known = std::find_if(all.begin(), all.end(),
                                    [&](const auto &entry) { return entry.code == outcome; });
    return {"other-refusal",
            outcome + (known == all.end() ? "" : ": " + std::string(known->meaning))};
}

auto CauseFinder::findLate(const RequestEnd &end) const -> Finding
{
    const std::string first = "the answer began after " + secondsText(end.answerTime());
    if (end.answerTime() <= m_limits.answer)
        return {"late-pause", "the longest pause was " + secondsText(end.longestPause)};
    if (end.sends > 1)
        return {"late-repeat", first + ", with " + std::to_string(end.sends) + " sends"};
    RequestEnd wait = end;
    wait.endedAt = end.arrivedAt + end.answerTime();
    const auto loads = LoadHistory::of(wait, m_timeline);
    const auto &load = loads.confirmed ? loads.confirmed : loads.openLoad;
    // Whether an adapter that was ordered before was still coming is not known.
    if (!end.model.empty() && load && (load->adapter.empty() || load->time >= end.arrivedAt)) {
        return {"late-load",
                first + "; " + end.model
                    + (loads.confirmed ? " was loaded at " : " was ordered at ")
                    + std::string(load->server) + ' '
                    + secondsText(std::chrono::abs(load->time - end.arrivedAt))
                    + (load->time < end.arrivedAt ? " before" : " after") + " it came"};
    }
    return {"late-answer", first + ", with one send to " + end.server};
}

auto CauseFinder::findConfiguration(const RequestEnd &end) const -> Finding
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

auto CauseFinder::findLoad(const RequestEnd &end) const -> Finding
{
    if (end.sends > 0)
        return {"load-while-retrying",
                "it was sent " + std::to_string(end.sends) + " times and not run, and found no "
                    + "engine with " + end.model + " again"};
    const auto loads = LoadHistory::of(end, m_timeline);
    const auto at = [](const ContextEvent &order) { return std::string(order.server); };
    if (loads.rejected)
        return {"load-rejected",
                at(*loads.rejected) + " answered the order with "
                    + std::to_string(loads.rejected->number)};
    if (loads.unanswered)
        return {"load-unanswered", at(*loads.unanswered) + " did not answer the order"};
    if (loads.failed)
        return {"load-failed", at(*loads.failed) + " did not load " + end.model};
    const bool isAdapterOrdered = loads.openLoad && !loads.openLoad->adapter.empty();
    if (loads.confirmed && !isAdapterOrdered)
        return {end.adapter().empty() ? "load-not-used" : "load-without-adapter",
                std::string(end.baseModel()) + " was confirmed at " + at(*loads.confirmed) + ' '
                    + beforeEnd(end, loads.confirmed->time)};
    if (loads.openLoad)
        return {"load-unconfirmed", openLoadText(end, loads)};
    if (loads.unloaded)
        return {"load-undone",
                end.model + " was unloaded at " + at(*loads.unloaded) + ' '
                    + beforeEnd(end, loads.unloaded->time)};
    return findNoOrder(end, loads);
}

/// For a model that was not ordered.
auto CauseFinder::findNoOrder(const RequestEnd &end, const LoadHistory &loads) const -> Finding
{
    const auto holder = m_timeline.dutyHolderAt(end.endedAt);
    const bool isNobodys = !holder && !m_timeline.dutyHolderAt(end.arrivedAt);
    if (isNobodys && !m_timeline.duties().empty())
        return {"load-no-duty", "no gateway held the placement duty"};
    const auto span = holder ? m_timeline.spanOf(holder->gateway) : std::nullopt;
    if (!span || span->begin > end.arrivedAt)
        return {"load-log-missing",
                holder ? "the log of " + std::string(holder->gateway) + ", who gives the orders, "
                        + "begins " + secondsText(span->begin - end.arrivedAt)
                        + " after the request came"
                       : std::string("no log tells who gave the orders")};
    if (loads.loadsOfOthers + loads.unloadsOfOthers == 0)
        return {"load-not-ordered", "no order to any engine while it waited"};
    return {"load-engines-busy",
            "no order for " + end.model + " while it waited; for other models "
                + std::to_string(loads.loadsOfOthers) + " loads and "
                + std::to_string(loads.unloadsOfOthers) + " unloads"};
}

auto CauseFinder::hasJustStarted(const ContextEvent &event) const -> bool
{
    const auto range = Timeline::between(m_timeline.ofGateway(event.gateway),
                                         event.time - StartedWithin, event.time);
    return std::any_of(range.first, range.second, [](const ContextEvent &other) {
        return other.event == Event::ProcessStarted;
    });
}

auto CauseFinder::serverEnd(std::string_view server, milliseconds from, milliseconds until) const
    -> std::optional<ContextEvent>
{
    const auto &events = m_timeline.ofServer(server);
    const auto range = Timeline::between(events, from - LeavingLookBack, until);
    std::optional<ContextEvent> leaving;
    for (auto event = range.first; event != range.second; ++event) {
        const bool isBack =
            event->event == Event::BackendChanged && !event->flag && !hasJustStarted(*event);
        const bool isEnd = event->event == Event::BackendGone || isBack;
        if (event->flag)
            leaving = *event;
        else if (isEnd && event->time >= from)
            return leaving ? leaving : *event;
        else if (isEnd)
            leaving.reset();
    }
    return leaving;
}

auto CauseFinder::findServer(const RequestEnd &end) const -> Finding
{
    const bool isBroken = !end.trouble.brokenServer.empty();
    const std::string server = isBroken ? end.trouble.brokenServer : end.server;
    const auto from = isBroken ? end.trouble.brokenAt - ServerEndSlack : end.arrivedAt;
    const auto ended = serverEnd(server, from, end.endedAt + ServerEndWithin);
    const auto since = [&](milliseconds time) {
        return secondsText(time - end.arrivedAt) + " after the request came";
    };
    if (ended && ended->flag)
        return {"server-left",
                "server " + server + " had said that it leaves, " + since(ended->time)};
    if (ended)
        return {"server-died",
                "server " + server
                    + (ended->event == Event::BackendGone ? " was gone " : " was listed as new ")
                    + since(ended->time)};
    if (end.trouble.isRetryDenied)
        return {"retry-budget", "the retry budget was used up"};
    if (end.outcome == "deadline_passed")
        return {"deadline-passed",
                "sends " + std::to_string(end.sends) + ", given up after "
                    + secondsText(end.took())};
    const auto known = std::min(ServerEndWithin, m_timeline.end() - end.endedAt);
    return {"answer-broken",
            server.empty() ? "no server is named"
                           : "server " + server + " was neither gone nor new in the "
                    + secondsText(known) + " after it"};
}

auto CauseFinder::findNoServer(const RequestEnd &end) const -> Finding
{
    if (end.trouble.isRetryDenied)
        return {"retry-budget", "the retry budget was used up after a send that was not run"};
    if (!end.trouble.pausedServer.empty())
        return {"server-paused", "server " + end.trouble.pausedServer + " wanted no requests"};
    size_t paused = 0;
    const auto range =
        Timeline::between(m_timeline.pauses(), end.endedAt - PauseLookBack, end.endedAt);
    for (auto pause = range.first; pause != range.second; ++pause) {
        const bool lasts = pause->time + milliseconds(pause->number) > end.endedAt;
        paused += lasts && pause->gateway == end.gateway ? 1 : 0;
    }
    std::string because = "it was sent " + std::to_string(end.sends) + " times and not run";
    if (paused > 0)
        because += "; " + std::to_string(paused) + " pauses of servers lasted at " + end.gateway;
    return {"no-server", because};
}

} // namespace Explain
