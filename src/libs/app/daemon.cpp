#include "daemon.h"

#include "commandline.h"

#include <net/reactor.h>
#include <net/terminationsignal.h>
#include <utils/eventlog.h>
#include <utils/settingsreader.h>

#include <iostream>

namespace App {

namespace {

/// Time for the last answers to leave before the process ends.
constexpr std::chrono::milliseconds lastAnswers(300);

auto report(const std::string &name, const std::string &error) -> void
{
    std::cerr << name << ": " << error << '\n';
}

auto serve(const std::string &name, const nlohmann::json &settings, const StartCallback &start)
    -> int
{
    auto reactor = Net::Reactor::create();
    if (!reactor) {
        report(name, reactor.error());
        return ExitCode::Failure;
    }
    Net::Reactor &loop = **reactor;
    std::string error;
    const StopCallback stop = start(loop, error);
    if (!stop) {
        report(name, error);
        return ExitCode::Failure;
    }
    Utils::logEvent(Utils::Event::ProcessStarted, {{"settings", settings}});
    Net::onTerminationSignal(loop, [&loop, stop] {
        stop([&loop] { loop.callAfter(lastAnswers, [&loop] { loop.stop(); }); });
    });
    loop.run();
    Utils::logEvent(Utils::Event::ProcessStopped, nlohmann::json::object());
    return ExitCode::Success;
}

} // namespace

auto runDaemon(int argc, char **argv, const std::string &name, const SettingsCallback &readSettings,
               const StartCallback &start) -> int
{
    const auto line =
        parseCommandLine(argc, argv, "--settings FILE",
                         {{"settings", "FILE", "JSON file with the settings"},
                          {"check-settings", "", "check the settings, print them and exit"}});
    if (!line || !line->has("settings")) {
        report(name, line ? "expected --settings FILE" : line.error());
        return ExitCode::BadUsage;
    }
    const auto reader = Utils::SettingsReader::fromFile(line->value("settings"));
    if (!reader) {
        report(name, reader.error());
        return ExitCode::BadUsage;
    }
    readSettings(**reader);
    const auto errors = (*reader)->errors();
    for (const auto &error : errors)
        report(name, error);
    if (!errors.empty())
        return ExitCode::BadUsage;
    if (line->has("check-settings")) {
        std::cout << (*reader)->effective().dump(2) << '\n';
        return ExitCode::Success;
    }
    Utils::configureLog((*reader)->effective().value("name", name));
    return serve(name, (*reader)->effective(), start);
}

} // namespace App
