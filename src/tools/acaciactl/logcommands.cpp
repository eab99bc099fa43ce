#include "logcommands.h"

#include <app/daemon.h>
#include <explain/logsearch.h>

#include <charconv>
#include <iostream>

using App::CommandLine;
using App::ExitCode::BadUsage;
using App::ExitCode::Failure;
using App::ExitCode::Success;
using StringList = std::vector<std::string>;

namespace {

auto fail(const std::string &message, int exitCode) -> int
{
    std::cerr << "acaciactl: " << message << '\n';
    return exitCode;
}

auto fail(const Explain::LogError &error) -> int
{
    return fail(error.message,
                error.kind == Explain::LogError::Kind::UnknownRequest ? Failure : BadUsage);
}

/// Reads an option in milliseconds; prints an error and returns false if it is invalid.
auto readLimit(const CommandLine &line, const char *name, std::chrono::milliseconds &limit) -> bool
{
    if (!line.has(name))
        return true;
    const std::string text = line.value(name);
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || value < 0) {
        fail(std::string("--") + name + ": expected milliseconds, found \"" + text + "\"",
             BadUsage);
        return false;
    }
    limit = std::chrono::milliseconds(value);
    return true;
}

auto readLimits(const CommandLine &line) -> std::optional<Explain::LateLimits>
{
    Explain::LateLimits limits;
    if (!readLimit(line, "late", limits.answer) || !readLimit(line, "late-pause", limits.pause))
        return std::nullopt;
    return limits;
}

} // namespace

auto explainFromLogs(const CommandLine &line, const StringList &arguments) -> int
{
    const auto limits = readLimits(line);
    if (!limits)
        return BadUsage;
    if (arguments[0].empty())
        return fail("expected a request's id, found an empty string", BadUsage);
    const auto logs = Explain::LogFiles::open({arguments.begin() + 1, arguments.end()}, stdin);
    if (!logs)
        return fail(logs.error(), BadUsage);
    const auto explanation = Explain::explainRequest(*logs, arguments[0], *limits);
    if (!explanation)
        return fail(explanation.error());
    std::cout << (line.has("json") ? Explain::jsonText(explanation->toJson()) + '\n'
                                   : explanation->text());
    return Success;
}

auto runLosses(const CommandLine &line, const StringList &arguments) -> int
{
    const auto limits = readLimits(line);
    if (!limits)
        return BadUsage;
    const auto logs = Explain::LogFiles::open(arguments, stdin);
    if (!logs)
        return fail(logs.error(), BadUsage);
    const auto report = Explain::countLosses(*logs, *limits);
    if (!report)
        return fail(report.error());
    std::cout << (line.has("json") ? Explain::jsonText(report->json) + '\n' : report->text);
    return Success;
}
