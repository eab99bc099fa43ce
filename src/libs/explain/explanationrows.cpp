#include "explanationrows.h"

#include "loadhistory.h"

#include <algorithm>

namespace Explain {

using std::chrono::milliseconds;
using Utils::Event;

namespace {

constexpr size_t MaxRows = 24;
/// Events within this time before a request's arrival and after its end are shown.
constexpr milliseconds WindowBefore(10000);
constexpr milliseconds WindowAfter(10000);

auto rowText(const LogLine &line) -> std::string
{
    std::string text = line.gateway + "  " + eventName(line.event);
    for (const char *name :
         {"status", "outcome", "server", "reason", "granted", "answerBegun", "sends", "pauseMs"}) {
        const auto field = line.fields.find(name);
        if (field == line.fields.end())
            continue;
        const auto value = field->is_string() ? line.text(name) : jsonText(*field);
        if (!value.empty())
            text += std::string(" ") + name + ' ' + value;
    }
    return text;
}

auto rowText(const ContextEvent &event) -> std::string
{
    std::string text = std::string(event.gateway) + "  " + eventName(event.event);
    if (!event.model.empty())
        text += ' ' + std::string(event.model);
    if (!event.adapter.empty())
        text += '/' + std::string(event.adapter);
    if (!event.server.empty())
        text += " at " + std::string(event.server);
    if (!event.text.empty())
        text += " (" + std::string(event.text) + ')';
    return text;
}

/// Collects the rows of all requests with one id.
class RowCollector
{
public:
    explicit RowCollector(const Timeline &timeline)
        : m_timeline(timeline)
    { }

    auto addLine(const LogLine &line) -> void
    {
        rows.push_back({line.time, rowText(line), true});
        if (const auto server = line.text("server"); !server.empty())
            m_servers.insert(server);
    }

    auto addContext(const RequestEnd &end) -> void
    {
        const auto from = end.arrivedAt - WindowBefore;
        const auto to = end.endedAt + WindowAfter;
        for (const auto *events : {&m_timeline.duties(), &m_timeline.gatewayEvents(end.gateway)}) {
            const auto range = Timeline::between(*events, from, to);
            for (auto event = range.first; event != range.second; ++event)
                add(*event);
        }
        const auto orders =
            Timeline::between(m_timeline.orders(), end.arrivedAt - OrderLookBack, to);
        for (auto order = orders.first; order != orders.second; ++order) {
            if (concernsModel(*order, end))
                add(*order);
        }
        addVersions(end, from, to);
        for (const std::string &server : m_servers)
            addServer(server, from, to);
    }

    std::vector<ExplanationRow> rows;

private:
    auto add(const ContextEvent &event) -> void
    {
        // `addVersions` adds the configurations.
        if (event.event != Event::ConfigurationTaken)
            rows.push_back({event.time, rowText(event)});
    }

    auto addVersions(const RequestEnd &end, milliseconds from, milliseconds to) -> void
    {
        const auto versions = m_timeline.configurations().find(end.gateway);
        if (versions == m_timeline.configurations().end())
            return;
        for (const auto &[version, start] : versions->second) {
            if (start.isLogged && start.at >= from && start.at <= to)
                rows.push_back({start.at,
                                end.gateway + "  " + eventName(Event::ConfigurationTaken) + ' '
                                    + std::to_string(version) + " (routes "
                                    + std::to_string(start.routes) + ')'});
        }
    }

    /// Every gateway logs the same server event: shows the first one and counts the others.
    auto addServer(const std::string &server, milliseconds from, milliseconds to) -> void
    {
        struct EventGroup
        {
            ContextEvent first;
            size_t count = 0;
        };
        std::map<std::pair<Event, std::string_view>, EventGroup> groups;
        const auto range = Timeline::between(m_timeline.serverEvents(server), from, to);
        for (auto event = range.first; event != range.second; ++event) {
            auto &entry = groups[{event->event, event->text}];
            if (entry.count++ == 0)
                entry.first = *event;
        }
        for (const auto &[key, entry] : groups) {
            std::string text = rowText(entry.first);
            if (entry.count > 1)
                text += ", then " + std::to_string(entry.count - 1) + " similar lines";
            rows.push_back({entry.first.time, text});
        }
    }

    const Timeline &m_timeline;
    std::set<std::string> m_servers;
};

} // namespace

auto eventName(Event event) -> std::string
{
    for (const auto &entry : Utils::eventCatalogue()) {
        if (entry.event == event)
            return std::string(entry.name);
    }
    return "event " + std::to_string(static_cast<int>(event));
}

auto ExplanationRows::create(const std::vector<LogLine> &lines, const std::vector<RequestEnd> &ends,
                             const Timeline &timeline) -> ExplanationRows
{
    RowCollector collector(timeline);
    for (const LogLine &line : lines)
        collector.addLine(line);
    for (const RequestEnd &end : ends)
        collector.addContext(end);
    ExplanationRows result;
    auto &rows = result.rows;
    rows = std::move(collector.rows);
    const auto last = ends.empty() ? lines.back().time : ends.back().endedAt;
    const auto distance = [last](const ExplanationRow &row) {
        return row.isOfRequest ? milliseconds(-1) : std::chrono::abs(row.time - last);
    };
    std::stable_sort(rows.begin(), rows.end(),
                     [&](const ExplanationRow &one, const ExplanationRow &other) {
                         return distance(one) < distance(other);
                     });
    // Requests with the same id may share events around them.
    std::set<std::pair<milliseconds, std::string>> seen;
    const auto isDuplicate = [&seen](const ExplanationRow &row) {
        return !seen.emplace(row.time, row.text).second;
    };
    rows.erase(std::remove_if(rows.begin(), rows.end(), isDuplicate), rows.end());
    if (rows.size() > MaxRows) {
        result.leftOut = rows.size() - MaxRows;
        rows.resize(MaxRows);
    }
    std::stable_sort(rows.begin(), rows.end(),
                     [](const ExplanationRow &one, const ExplanationRow &other) {
                         return one.time < other.time;
                     });
    return result;
}

} // namespace Explain
