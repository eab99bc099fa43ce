#include "logsearch.h"

namespace Explain {

namespace {

/// Limit of the lines kept for one id; a caller may use the same id for all requests.
constexpr size_t MaxRequestLines = 1000;

auto unusable(const std::string &message) -> tl::unexpected<LogError>
{
    return tl::unexpected(LogError{LogError::Kind::Unusable, message});
}

/// Adds all lines to the timeline and passes them to `lineCallback`, which may be null.
auto readTimeline(const LogFiles &logs, Timeline &timeline,
                  const std::function<void(std::string_view)> &lineCallback)
    -> Utils::Result<void, LogError>
{
    const auto read = logs.forEachLine([&](std::string_view line) {
        timeline.addLine(line);
        if (lineCallback)
            lineCallback(line);
    });
    if (!read)
        return unusable(read.error());
    timeline.finish();
    if (timeline.lines() == timeline.linesSkipped())
        return unusable("no line of a gateway's log among " + std::to_string(timeline.lines())
                        + " lines");
    return {};
}

} // namespace

auto explainRequest(const LogFiles &logs, const std::string &id, const LateLimits &limits)
    -> Utils::Result<RequestExplanation, LogError>
{
    const std::string quoted = jsonText(id);
    Timeline timeline;
    std::vector<LogLine> lines;
    const auto read = readTimeline(logs, timeline, [&](std::string_view line) {
        if (lines.size() >= MaxRequestLines || !contains(line, quoted))
            return;
        const auto parsed = parseLogLine(extractJsonObject(line));
        if (parsed && parsed->requestId() == id)
            lines.push_back(*parsed);
    });
    if (!read)
        return tl::unexpected(read.error());
    if (lines.empty())
        return tl::unexpected(LogError{LogError::Kind::UnknownRequest,
                                       "no line of request " + id + " among "
                                           + std::to_string(timeline.lines()) + " lines"});
    const CauseFinder finder(timeline, limits);
    return RequestExplanation::create(id, std::move(lines), timeline, finder);
}

auto countLosses(const LogFiles &logs, const LateLimits &limits)
    -> Utils::Result<LossReport, LogError>
{
    Timeline timeline;
    const auto read = readTimeline(logs, timeline, nullptr);
    if (!read)
        return tl::unexpected(read.error());
    const CauseFinder finder(timeline, limits);
    LossCounter losses(timeline, finder);
    const auto counted =
        logs.forEachLine([&losses](std::string_view line) { losses.addLine(line); });
    if (!counted)
        return unusable(counted.error());
    return LossReport{losses.text(), losses.toJson()};
}

} // namespace Explain
