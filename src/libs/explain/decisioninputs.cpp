#include "decisioninputs.h"

#include "causefinder.h"
#include "explanationrows.h"

#include <algorithm>

namespace Explain {

using std::chrono::milliseconds;
using Utils::Event;

namespace {

/// A duty holder whose log ends more than this before the request's end may have died.
constexpr milliseconds MaxHolderSilence(5000);
/// Limit of the other gateways' configuration versions that are listed.
constexpr size_t MaxListedVersions = 4;

} // namespace

DecisionInputs::DecisionInputs(const RequestEnd &end, const Timeline &timeline)
    : m_end(end)
    , m_timeline(timeline)
{ }

auto DecisionInputs::sentences() const -> std::vector<std::string>
{
    std::vector<std::string> all = {ownConfiguration(), otherConfigurations()};
    if (m_end.outcome == "unknown_route" || m_end.outcome == "wrong_key")
        all.push_back(nextConfiguration());
    if (!m_end.server.empty())
        all.push_back(server(m_end.server));
    if (!m_end.failures.failedServer.empty() && m_end.failures.failedServer != m_end.server)
        all.push_back(server(m_end.failures.failedServer));
    if (!m_end.model.empty()) {
        all.push_back(model());
        all.push_back(duty());
    }
    all.erase(std::remove(all.begin(), all.end(), std::string()), all.end());
    return all;
}

/// Relative to the request's arrival.
auto DecisionInputs::age(milliseconds time) const -> std::string
{
    return time <= m_end.arrivedAt ? secondsText(m_end.arrivedAt - time) + " before it arrived"
                                   : secondsText(time - m_end.arrivedAt) + " after it arrived";
}

auto DecisionInputs::ownConfiguration() const -> std::string
{
    if (m_end.configuration <= 0)
        return m_end.gateway + " had no configuration";
    std::string text = "configuration " + std::to_string(m_end.configuration);
    const auto start = m_timeline.versionStart(m_end.gateway, m_end.configuration);
    if (start && start->isLogged)
        return text + " (" + std::to_string(start->routes) + " routes), taken by " + m_end.gateway
            + ' ' + age(start->at);
    return text + ", taken by " + m_end.gateway + " before its log begins";
}

/// The configurations that other gateways had at the request's arrival.
auto DecisionInputs::otherConfigurations() const -> std::string
{
    struct Holders
    {
        size_t count = 0;
        size_t inferredCount =
            0; ///< Those known only from requests; they may have had a newer one.
        std::string first;
        VersionStart start;
    };
    std::map<std::int64_t, Holders, std::greater<>> byVersion;
    size_t unknown = 0;
    for (const auto &[gateway, versions] : m_timeline.configurations()) {
        if (gateway == m_end.gateway)
            continue;
        const auto *known = m_timeline.newestAt(versions, m_end.arrivedAt);
        if (!known) {
            ++unknown;
            continue;
        }
        Holders &holders = byVersion[known->first];
        holders.inferredCount += known->second.isLogged ? 0 : 1;
        if (holders.count++ == 0 || known->second.at < holders.start.at) {
            holders.first = gateway;
            holders.start = known->second;
        }
    }
    std::string text;
    size_t listedCount = 0;
    for (const auto &[version, holders] : byVersion) {
        if (listedCount++ == MaxListedVersions) {
            text += ", and older ones";
            break;
        }
        text += (text.empty() ? "" : ", ") + std::to_string(version) + " at "
            + std::to_string(holders.count);
        if (holders.inferredCount > 0)
            text += " (" + std::to_string(holders.inferredCount) + " known from requests only)";
        if (version > m_end.configuration) {
            text += " (" + std::to_string(holders.start.routes) + " routes, first " + holders.first
                + ' ' + age(holders.start.at) + ')';
        }
    }
    if (unknown > 0)
        text += (text.empty() ? "" : ", ") + ("unknown at " + std::to_string(unknown));
    return text.empty() ? "no other gateway is in these logs" : "other gateways then: " + text;
}

/// When the gateway took a newer configuration.
auto DecisionInputs::nextConfiguration() const -> std::string
{
    const auto versions = m_timeline.configurations().find(m_end.gateway);
    if (versions == m_timeline.configurations().end())
        return {};
    const auto next = versions->second.upper_bound(m_end.configuration);
    if (next == versions->second.end())
        return m_end.gateway + " took no newer one in these logs";
    return m_end.gateway + " took " + std::to_string(next->first) + ' ' + age(next->second.at);
}

/// The gateway's last event about the server.
auto DecisionInputs::server(const std::string &id) const -> std::string
{
    const auto &events = m_timeline.serverEvents(id);
    const auto range = Timeline::between(events, milliseconds(0), m_end.endedAt);
    for (auto event = range.second; event != range.first;) {
        --event;
        if (event->gateway == m_end.gateway)
            return "server " + id + ": " + eventName(event->event)
                + (event->isLeavingOrLoad ? ", leaving, " : " ") + age(event->time);
    }
    return "server " + id + ": no event about it at " + m_end.gateway + " since the log began";
}

/// The model's last order before the request arrived.
auto DecisionInputs::model() const -> std::string
{
    const auto range = Timeline::between(m_timeline.orders(), milliseconds(0), m_end.arrivedAt);
    for (auto order = range.second; order != range.first;) {
        --order;
        const bool isAdapterOrder = !order->adapter.empty() && order->adapter == m_end.adapter();
        if (order->model == m_end.baseModel()
            && (isAdapterOrder || order->event != Event::OrderAnswered))
            return "model " + std::string(order->model) + ": " + eventName(order->event)
                + (isAdapterOrder ? " for adapter " + m_end.model : "") + " at "
                + std::string(order->server) + ' ' + age(order->time);
    }
    return "model " + std::string(m_end.baseModel()) + ": no earlier order for it in these logs";
}

auto DecisionInputs::duty() const -> std::string
{
    const auto holder = m_timeline.dutyHolderAt(m_end.endedAt);
    if (!holder)
        return m_timeline.duties().empty() ? "placement duty: not in these logs"
                                           : "placement duty: not held by any gateway";
    std::string text = "placement duty: " + std::string(holder->gateway);
    text += holder->isLogged ? ", taken " + age(holder->since)
                             : ", inferred from its order " + age(holder->since);
    const auto span = m_timeline.logSpan(holder->gateway);
    if (span && span->end + MaxHolderSilence < m_end.endedAt)
        text += "; its log ends " + secondsText(m_end.endedAt - span->end)
            + " before the request's end";
    return text;
}

} // namespace Explain
