#include "story.h"

#include "storyinputs.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace Explain {

using std::chrono::milliseconds;

namespace {

auto dateText(milliseconds time) -> std::string
{
    constexpr int millisecondsASecond = 1000;
    const std::time_t seconds = time.count() / millisecondsASecond;
    std::tm parts = {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text = {};
    std::strftime(text.data(), text.size(), "%F %T", &parts);
    std::array<char, 8> rest = {};
    std::snprintf(rest.data(), rest.size(), ".%03d",
                  static_cast<int>(time.count() % millisecondsASecond));
    return std::string(text.data()) + rest.data() + " UTC";
}

auto headText(const RequestEnd &end) -> std::string
{
    std::string text = end.gateway + (end.isServed ? " served it, " : " did not serve it, ")
        + end.outcome + ' ' + std::to_string(end.status) + " after " + secondsText(end.took());
    if (end.firstEvent.count() >= 0)
        text += ", first event after " + secondsText(end.firstEvent) + ", longest pause "
            + secondsText(end.longestPause);
    return text;
}

auto factsText(const RequestEnd &end) -> std::string
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

auto Story::of(const std::string &id, std::vector<LogLine> lines, const Timeline &timeline,
               const CauseFinder &finder) -> Story
{
    std::stable_sort(lines.begin(), lines.end(),
                     [](const auto &one, const auto &other) { return one.time < other.time; });
    Story story;
    story.m_id = id;
    story.m_begin = lines.front().time;
    std::map<std::string, RequestTrouble> troubles;
    std::vector<RequestEnd> ends;
    for (const LogLine &line : lines) {
        if (!RequestEnd::isEnd(line)) {
            troubles[line.gateway].take(line);
            continue;
        }
        ends.push_back(RequestEnd::fromLine(line));
        ends.back().trouble = troubles[line.gateway];
        troubles.erase(line.gateway);
    }
    for (const RequestEnd &end : ends) {
        story.m_begin = std::min(story.m_begin, end.arrivedAt);
        Ending ending = {end, {}, StoryInputs(end, timeline).sentences()};
        if (!end.isServed || end.isLate(finder.limits()))
            ending.finding = finder.find(end);
        story.m_endings.push_back(std::move(ending));
    }
    for (const auto &[gateway, trouble] : troubles)
        story.m_notes.push_back("no end at " + gateway + "; its log ends "
                                + dateText(timeline.spanOf(gateway)->end));
    if (timeline.linesSkipped() > 0)
        story.m_notes.push_back(std::to_string(timeline.linesSkipped())
                                + " lines are no gateway's log lines and were skipped");
    if (timeline.linesLeftOut() > 0)
        story.m_notes.push_back(std::to_string(timeline.linesLeftOut())
                                + " lines were left out by gateways whose logs were not read");
    story.m_rows = StoryRows::of(lines, ends, timeline);
    return story;
}

auto Story::text() const -> std::string
{
    std::string text = "request " + m_id + ", came " + dateText(m_begin) + '\n';
    for (const Ending &ending : m_endings) {
        text += headText(ending.end) + "\n  " + factsText(ending.end) + "\ndecided on\n";
        for (const std::string &input : ending.inputs)
            text += "  " + input + '\n';
        if (!ending.finding.cause.empty())
            text += "cause: " + ending.finding.cause + " ("
                + std::string(meaningOf(ending.finding.cause)) + ")\n  " + ending.finding.because
                + '\n';
    }
    text += "what happened, since it came\n";
    for (const StoryRow &row : m_rows.rows) {
        const std::string time = secondsText(row.time - m_begin);
        constexpr size_t timeWidth = 10;
        text += "  " + std::string(timeWidth - std::min(timeWidth, time.size()), ' ') + time + "  "
            + row.text + '\n';
    }
    if (m_rows.leftOut > 0)
        text += "  and " + std::to_string(m_rows.leftOut) + " further lines round it\n";
    for (const std::string &note : m_notes)
        text += note + '\n';
    return text;
}

auto Story::toJson() const -> nlohmann::json
{
    nlohmann::json endings = nlohmann::json::array();
    for (const Ending &ending : m_endings) {
        endings.push_back({{"gateway", ending.end.gateway},
                           {"outcome", ending.end.outcome},
                           {"status", ending.end.status},
                           {"inputs", ending.inputs},
                           {"cause", ending.finding.cause},
                           {"because", ending.finding.because}});
    }
    nlohmann::json rows = nlohmann::json::array();
    for (const StoryRow &row : m_rows.rows)
        rows.push_back({{"time", row.time.count()}, {"text", row.text}});
    return {{"request", m_id}, {"endings", endings}, {"rows", rows}, {"notes", m_notes}};
}

} // namespace Explain
