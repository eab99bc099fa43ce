#include "losscounter.h"

#include <algorithm>
#include <cstdio>
#include <vector>

namespace Explain {

using std::chrono::milliseconds;

namespace {

auto failureKey(const std::string &gateway, const std::string &id) -> std::string
{
    return gateway + '\n' + id;
}

auto tableText(const std::map<std::string, Loss> &losses) -> std::string
{
    std::vector<std::pair<std::string, Loss>> rows(losses.begin(), losses.end());
    std::stable_sort(rows.begin(), rows.end(), [](const auto &one, const auto &other) {
        return one.second.count > other.second.count;
    });
    std::string text;
    for (const auto &[cause, loss] : rows) {
        std::string outcomes;
        for (const auto &[outcome, count] : loss.outcomes)
            outcomes += (outcomes.empty() ? "" : ", ") + outcome + ": " + std::to_string(count);
        constexpr size_t countWidth = 9;
        const std::string count = std::to_string(loss.count);
        text += std::string(countWidth - std::min(countWidth, count.size()), ' ') + count + "  "
            + cause + ": " + std::string(meaningOf(cause)) + "\n           [" + outcomes
            + "], one is " + loss.example + '\n';
    }
    return text;
}

auto tableJson(const std::map<std::string, Loss> &losses) -> nlohmann::json
{
    nlohmann::json table = nlohmann::json::object();
    for (const auto &[cause, loss] : losses)
        table[cause] = {
            {"count", loss.count}, {"example", loss.example}, {"outcomes", loss.outcomes}};
    return table;
}

} // namespace

LossCounter::LossCounter(const Timeline &timeline, const CauseFinder &finder)
    : m_timeline(timeline)
    , m_finder(finder)
{ }

auto LossCounter::addLine(std::string_view line) -> void
{
    const auto object = extractJsonObject(line);
    if (object.empty())
        return;
    if (isServedLine(object))
        return addServedLine(object);
    if (!contains(object, "\"request\":"))
        return;
    const auto parsed = parseLogLine(object);
    if (!parsed)
        return;
    if (RequestEnd::isEnd(*parsed))
        count(*parsed);
    else
        m_failures[failureKey(parsed->gateway, parsed->requestId())].addLine(*parsed);
}

auto LossCounter::addServedLine(std::string_view object) -> void
{
    const auto number = [object](const char *key, std::int64_t fallback) {
        return milliseconds(rawNumber(object, key).value_or(fallback));
    };
    // The timeline skipped these lines too.
    const std::string gateway(rawText(object, "\"process\":"));
    if (gateway.empty() || !rawNumber(object, "\"time\":"))
        return;
    RequestEnd end;
    end.isServed = true;
    end.endedAt = number("\"tookMs\":", 0);
    end.firstEvent = number("\"firstEventMs\":", -1);
    end.longestPause = number("\"longestPauseMs\":", 0);
    if (!end.isLate(m_finder.limits())) {
        ++m_servedInTime;
        if (!m_failures.empty())
            m_failures.erase(failureKey(gateway, std::string(rawText(object, "\"request\":"))));
        return;
    }
    if (const auto parsed = parseLogLine(object))
        count(*parsed);
}

auto LossCounter::count(const LogLine &line) -> void
{
    RequestEnd end = RequestEnd::fromLine(line);
    const auto failures = m_failures.find(failureKey(end.gateway, end.id));
    if (failures != m_failures.end()) {
        end.failures = failures->second;
        m_failures.erase(failures);
    }
    ++(end.isServed ? m_servedLate : m_notServed);
    auto &losses = end.isServed ? m_lateByCause : m_notServedByCause;
    Loss &loss = losses[m_finder.find(end).cause];
    if (loss.count++ == 0)
        loss.example = printable(end.id);
    ++loss.outcomes[end.outcome + ' ' + std::to_string(end.status)];
}

auto LossCounter::servedInTime() const -> size_t
{
    return m_servedInTime;
}

auto LossCounter::servedLate() const -> size_t
{
    return m_servedLate;
}

auto LossCounter::notServed() const -> size_t
{
    return m_notServed;
}

auto LossCounter::notServedByCause() const -> const std::map<std::string, Loss> &
{
    return m_notServedByCause;
}

auto LossCounter::lateByCause() const -> const std::map<std::string, Loss> &
{
    return m_lateByCause;
}

auto LossCounter::text() const -> std::string
{
    const auto &limits = m_finder.limits();
    std::string text = std::to_string(m_servedInTime + m_servedLate + m_notServed) + " requests, "
        + std::to_string(m_servedInTime) + " served in time\n" + std::to_string(m_notServed)
        + " refused or failed\n" + tableText(m_notServedByCause) + std::to_string(m_servedLate)
        + " served late (over " + secondsText(limits.answer)
        + " to the first event or the whole answer, or a pause over " + secondsText(limits.pause)
        + ")\n" + tableText(m_lateByCause);
    text += std::to_string(m_timeline.lines()) + " lines, "
        + std::to_string(m_timeline.linesSkipped()) + " skipped as not from a gateway, "
        + std::to_string(m_timeline.linesLeftOut()) + " dropped by the gateways themselves\n";
    return text;
}

auto LossCounter::toJson() const -> nlohmann::json
{
    return {{"servedInTime", m_servedInTime},
            {"servedLate", m_servedLate},
            {"notServed", m_notServed},
            {"notServedByCause", tableJson(m_notServedByCause)},
            {"lateByCause", tableJson(m_lateByCause)},
            {"lines", m_timeline.lines()},
            {"linesSkipped", m_timeline.linesSkipped()},
            {"linesLeftOut", m_timeline.linesLeftOut()}};
}

} // namespace Explain
