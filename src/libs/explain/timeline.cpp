#include "timeline.h"

#include <utils/jsonfield.h>

#include <algorithm>

namespace Explain {

using std::chrono::milliseconds;
using Utils::Event;

namespace {

/// Fields that `ContextEvent` holds in members of its own, or that every line has.
const std::set<std::string> commonFields = {"time",   "process", "event",   "name",
                                            "server", "model",   "adapter", "request"};

auto otherFieldsText(const LogLine &line) -> std::string
{
    if (line.event == Event::ProcessStarted || line.event == Event::SettingsReloaded)
        return {};
    std::string text;
    for (const auto &[name, value] : line.fields.items()) {
        if (commonFields.count(name) > 0)
            continue;
        text += (text.empty() ? "" : ", ") + name + ' '
            + (value.is_string() ? printable(value.get<std::string>()) : jsonText(value));
    }
    return text;
}

/// A request may seem to arrive this much too early, as its times are rounded down.
constexpr milliseconds RequestRounding(1);

auto isEarlier(const ContextEvent &one, const ContextEvent &other) -> bool
{
    return one.time < other.time;
}

const Timeline::Events noEvents;

} // namespace

auto Timeline::addLine(std::string_view line) -> void
{
    ++m_lines;
    const auto object = extractJsonObject(line);
    if (!object.empty() && isServedLine(object))
        return addServedLine(object);
    const auto parsed = object.empty() ? std::nullopt : parseLogLine(object);
    if (parsed)
        return addContextLine(*parsed);
    const auto leftOut = rawNumber(object, "{\"linesLeftOut\":");
    if (leftOut)
        m_linesLeftOut += static_cast<size_t>(std::max<std::int64_t>(*leftOut, 0));
    else
        ++m_linesSkipped;
}

auto Timeline::addServedLine(std::string_view object) -> void
{
    const std::string gateway(rawText(object, "\"process\":"));
    const auto time = rawNumber(object, "\"time\":");
    if (gateway.empty() || !time) {
        ++m_linesSkipped;
        return;
    }
    extendLogSpan(gateway, milliseconds(*time));
    const milliseconds arrivedAt(*time - rawNumber(object, "\"tookMs\":").value_or(0));
    recordVersion(gateway, rawNumber(object, "\"configuration\":").value_or(0), {arrivedAt});
}

auto Timeline::extendLogSpan(const std::string &gateway, Milliseconds time) -> void
{
    LogSpan &span = m_spans.try_emplace(gateway, LogSpan{time, time}).first->second;
    span.begin = std::min(span.begin, time);
    span.end = std::max(span.end, time);
}

auto Timeline::recordVersion(const std::string &gateway, std::int64_t version,
                             const VersionStart &start) -> void
{
    if (version <= 0)
        return;
    const auto [entry, isNew] = m_configurations[gateway].try_emplace(version, start);
    // A restarted gateway logs a configuration that it had before once more; the earliest time
    // counts.
    const auto rank = [](const VersionStart &known) {
        return std::pair(known.isLogged ? known.at - RequestRounding : known.at, !known.isLogged);
    };
    if (!isNew && rank(start) < rank(entry->second))
        entry->second = start;
}

auto Timeline::addContextLine(const LogLine &line) -> void
{
    extendLogSpan(line.gateway, line.time);
    ContextEvent event;
    event.time = line.time;
    event.event = line.event;
    switch (line.event) {
    case Event::RequestRefused:
    case Event::RequestServed:
        recordVersion(line.gateway, line.number("configuration"),
                      {line.time - milliseconds(line.number("tookMs", 0))});
        return;
    case Event::RequestRetried:
    case Event::StreamEnded:
    case Event::RequestSentUnderLimit:
    case Event::PermitRefused:
        return;
    case Event::ConfigurationTaken:
        recordVersion(line.gateway, line.number("version"),
                      {line.time, true, line.number("routes")});
        event.value = line.number("version");
        break;
    case Event::BackendChanged:
        event.isLeavingOrLoad = Utils::fieldOr(line.fields, "leaving", false);
        break;
    case Event::BackendPaused:
        event.value = line.number("pauseMs");
        break;
    case Event::BackendLeaving:
    case Event::LoadOrdered:
        event.isLeavingOrLoad = true;
        break;
    case Event::OrderAnswered:
        event.isLeavingOrLoad = line.text("order") == "load";
        event.value = line.number("status");
        break;
    case Event::DutyTaken:
    case Event::DutyLost:
        event.value = line.number("fence");
        break;
    default:
        break;
    }
    event.gateway = intern(line.gateway);
    event.server = intern(line.text("server"));
    event.model = intern(line.text("model"));
    event.adapter = intern(line.text("adapter"));
    event.text = intern(otherFieldsText(line));
    if (line.event == Event::BackendPaused)
        m_pauses.push_back(event);
    constexpr int firstOrder = static_cast<int>(Event::LoadOrdered);
    constexpr int lastOrder = static_cast<int>(Event::OrderAnswered);
    const int number = static_cast<int>(line.event);
    if (number >= firstOrder && number <= lastOrder)
        m_orders.push_back(event);
    else if (line.event == Event::DutyTaken || line.event == Event::DutyLost)
        m_duties.push_back(event);
    else if (!event.server.empty())
        m_servers[event.server].push_back(event);
    else
        m_gateways[event.gateway].push_back(event);
}

auto Timeline::intern(const std::string &text) -> std::string_view
{
    return *m_texts.insert(text).first;
}

auto Timeline::finish() -> void
{
    for (auto *events : {&m_orders, &m_duties, &m_pauses})
        std::stable_sort(events->begin(), events->end(), isEarlier);
    for (auto *group : {&m_servers, &m_gateways}) {
        for (auto &[name, events] : *group)
            std::stable_sort(events.begin(), events.end(), isEarlier);
    }
}

auto Timeline::lines() const -> size_t
{
    return m_lines;
}

auto Timeline::linesSkipped() const -> size_t
{
    return m_linesSkipped;
}

auto Timeline::linesLeftOut() const -> size_t
{
    return m_linesLeftOut;
}

auto Timeline::configurations() const -> const std::map<std::string, Versions, std::less<>> &
{
    return m_configurations;
}

auto Timeline::newestAt(const Versions &versions, Milliseconds time) const
    -> const Versions::value_type *
{
    const auto found = std::find_if(versions.rbegin(), versions.rend(),
                                    [time](const auto &entry) { return entry.second.at <= time; });
    return found == versions.rend() ? nullptr : &*found;
}

auto Timeline::newestVersionAt(Milliseconds time) const -> std::int64_t
{
    std::int64_t newest = 0;
    for (const auto &[gateway, versions] : m_configurations) {
        if (const auto *known = newestAt(versions, time))
            newest = std::max(newest, known->first);
    }
    return newest;
}

auto Timeline::versionStart(std::string_view gateway, std::int64_t version) const
    -> std::optional<VersionStart>
{
    const auto versions = m_configurations.find(gateway);
    if (versions == m_configurations.end())
        return std::nullopt;
    const auto found = versions->second.find(version);
    return found == versions->second.end() ? std::nullopt : std::optional(found->second);
}

auto Timeline::orders() const -> const Events &
{
    return m_orders;
}

auto Timeline::duties() const -> const Events &
{
    return m_duties;
}

auto Timeline::pauses() const -> const Events &
{
    return m_pauses;
}

auto Timeline::dutyHolderAt(Milliseconds time) const -> std::optional<DutyHolder>
{
    std::optional<DutyHolder> holder;
    bool isDutyLogged = false;
    for (const ContextEvent &duty : m_duties) {
        if (duty.time > time)
            break;
        isDutyLogged = true;
        if (duty.event == Event::DutyTaken)
            holder = DutyHolder{duty.gateway, duty.time, true};
        else if (holder && holder->gateway == duty.gateway)
            holder.reset();
    }
    if (isDutyLogged)
        return holder;
    // The logs begin after the duty was taken: the holder is the gateway that gave the last order,
    // or the one that gives the next order before the duty changes.
    auto order = between(m_orders, Milliseconds(0), time).second;
    if (order != m_orders.begin())
        --order;
    if (order == m_orders.end())
        return std::nullopt;
    const bool isFromLaterHolder = order->time > time && !m_duties.empty()
        && m_duties.front().event == Event::DutyTaken && order->time > m_duties.front().time;
    if (isFromLaterHolder)
        return std::nullopt;
    return DutyHolder{order->gateway, order->time, false};
}

auto Timeline::serverEvents(std::string_view server) const -> const Events &
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? noEvents : found->second;
}

auto Timeline::gatewayEvents(std::string_view gateway) const -> const Events &
{
    const auto found = m_gateways.find(gateway);
    return found == m_gateways.end() ? noEvents : found->second;
}

auto Timeline::logSpan(std::string_view gateway) const -> std::optional<LogSpan>
{
    const auto found = m_spans.find(gateway);
    return found == m_spans.end() ? std::nullopt : std::optional(found->second);
}

auto Timeline::end() const -> Milliseconds
{
    Milliseconds last(0);
    for (const auto &[gateway, span] : m_spans)
        last = std::max(last, span.end);
    return last;
}

auto Timeline::between(const Events &events, Milliseconds from, Milliseconds to)
    -> std::pair<Events::const_iterator, Events::const_iterator>
{
    const auto isBefore = [](const ContextEvent &event, Milliseconds at) {
        return event.time < at;
    };
    const auto isAfter = [](Milliseconds at, const ContextEvent &event) { return at < event.time; };
    return {std::lower_bound(events.begin(), events.end(), from, isBefore),
            std::upper_bound(events.begin(), events.end(), to, isAfter)};
}

} // namespace Explain
