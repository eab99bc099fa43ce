#include "requestexplanation.h"

#include "decisioninputs.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace Explain {

using std::chrono::milliseconds;

namespace {

auto dateText(milliseconds time) -> std::string
{
    constexpr int millisecondsPerSecond = 1000;
    const std::time_t seconds = time.count() / millisecondsPerSecond;
    std::tm parts = {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text = {};
    std::strftime(text.data(), text.size(), "%F %T", &parts);
    std::array<char, 8> fraction = {};
    std::snprintf(fraction.data(), fraction.size(), ".%03d",
                  static_cast<int>(time.count() % millisecondsPerSecond));
    return std::string(text.data()) + fraction.data() + " UTC";
}

auto summaryText(const RequestEnd &end) -> std::string
{
    std::string text = end.gateway + (end.isServed ? " served it, " : " did not serve it, ")
        + end.outcome + ' ' + std::to_string(end.status) + " after " + secondsText(end.duration());
    if (end.firstEvent.count() >= 0)
        text += ", first event after " + secondsText(end.firstEvent) + ", longest pause "
            + secondsText(end.longestPause);
    return text;
}

auto detailsText(const RequestEnd &end) -> std::string
{
    std::string text;
    const auto add = [&text](const char *name, const std::string &value) {
        if (!value.empty())
            text += (text.empty() ? "" : ", ") + std::string(name) + ' ' + value;
    };
    add("route", end.route);
    add("customer", end.customer);
    add("model", end.model);
    add("server", end.server);
    add("sends", std::to_string(end.sends));
    add("may have run", std::to_string(end.mayHaveRun));
    add("tokens", std::to_string(end.tokens));
    add("charged", std::to_string(end.charged));
    return text;
}

} // namespace

auto RequestExplanation::create(const std::string &id, std::vector<LogLine> lines,
                                const Timeline &timeline, const CauseFinder &finder)
    -> RequestExplanation
{
    std::stable_sort(lines.begin(), lines.end(),
                     [](const auto &one, const auto &other) { return one.time < other.time; });
    RequestExplanation explanation;
    explanation.m_id = id;
    explanation.m_begin = lines.front().time;
    std::map<std::string, RequestFailures> failuresByGateway;
    std::vector<RequestEnd> ends;
    for (const LogLine &line : lines) {
        if (!RequestEnd::isEnd(line)) {
            failuresByGateway[line.gateway].addLine(line);
            continue;
        }
        ends.push_back(RequestEnd::fromLine(line));
        ends.back().failures = failuresByGateway[line.gateway];
        failuresByGateway.erase(line.gateway);
    }
    for (const RequestEnd &end : ends) {
        explanation.m_begin = std::min(explanation.m_begin, end.arrivedAt);
        Ending ending = {end, {}, DecisionInputs(end, timeline).sentences()};
        if (!end.isServed || end.isLate(finder.limits()))
            ending.finding = finder.find(end);
        explanation.m_endings.push_back(std::move(ending));
    }
    for (const auto &[gateway, failures] : failuresByGateway)
        explanation.m_notes.push_back("no end at " + gateway + "; its log ends "
                                      + dateText(timeline.logSpan(gateway)->end));
    if (timeline.linesSkipped() > 0)
        explanation.m_notes.push_back(std::to_string(timeline.linesSkipped())
                                      + " lines are not from a gateway and were skipped");
    if (timeline.linesLeftOut() > 0)
        explanation.m_notes.push_back(
            std::to_string(timeline.linesLeftOut())
            + " lines were dropped by gateways whose log reader was too slow");
    explanation.m_rows = ExplanationRows::create(lines, ends, timeline);
    return explanation;
}

auto RequestExplanation::text() const -> std::string
{
    std::string text = "request " + m_id + ", arrived " + dateText(m_begin) + '\n';
    for (const Ending &ending : m_endings) {
        text += summaryText(ending.end) + "\n  " + detailsText(ending.end)
            + "\nstate at the decision\n";
        for (const std::string &input : ending.inputs)
            text += "  " + input + '\n';
        if (!ending.finding.cause.empty())
            text += "cause: " + ending.finding.cause + " ("
                + std::string(meaningOf(ending.finding.cause)) + ")\n  " + ending.finding.evidence
                + '\n';
    }
    text += "events, by time since the arrival\n";
    for (const ExplanationRow &row : m_rows.rows) {
        const std::string time = secondsText(row.time - m_begin);
        constexpr size_t timeWidth = 10;
        text += "  " + std::string(timeWidth - std::min(timeWidth, time.size()), ' ') + time + "  "
            + row.text + '\n';
    }
    if (m_rows.leftOut > 0)
        text += "  and " + std::to_string(m_rows.leftOut) + " further lines around it\n";
    for (const std::string &note : m_notes)
        text += note + '\n';
    return text;
}

auto RequestExplanation::toJson() const -> nlohmann::json
{
    nlohmann::json endings = nlohmann::json::array();
    for (const Ending &ending : m_endings) {
        endings.push_back({{"gateway", ending.end.gateway},
                           {"outcome", ending.end.outcome},
                           {"status", ending.end.status},
                           {"inputs", ending.inputs},
                           {"cause", ending.finding.cause},
                           {"because", ending.finding.evidence}});
    }
    nlohmann::json rows = nlohmann::json::array();
    for (const ExplanationRow &row : m_rows.rows)
        rows.push_back({{"time", row.time.count()}, {"text", row.text}});
    return {{"request", m_id}, {"endings", endings}, {"rows", rows}, {"notes", m_notes}};
}

} // namespace Explain
