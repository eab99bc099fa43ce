#include "daemon.h"

#include "commandline.h"

#include <net/periodictimer.h>
#include <net/reactor.h>
#include <net/terminationsignal.h>
#include <utils/eventlog.h>
#include <utils/settingsreader.h>

#include <cstdlib>
#include <iostream>
#include <memory>

namespace App {

namespace {

/// Time to send the last answers before the process ends.
constexpr std::chrono::milliseconds shutdownDelay(300);

auto report(const std::string &name, const std::string &error) -> void
{
    std::cerr << name << ": " << error << '\n';
}

auto settingsPath(const CommandLine &line) -> std::string
{
    if (line.has("settings"))
        return line.value("settings");
    const char *path = std::getenv(line.value("settings-from").c_str());
    return path ? path : std::string();
}

/// Interval of reading the settings file again; it may change without a signal.
constexpr std::chrono::seconds settingsPollInterval(2);

/// Reads the settings again and applies them if they are valid and differ.
class SettingsReloader
{
public:
    SettingsReloader(std::string path, nlohmann::json current, const SettingsCallback &read,
                     const ReloadCallback &reload)
        : m_path(std::move(path))
        , m_current(std::move(current))
        , m_read(read)
        , m_reload(reload)
    { }

    auto reloadIfChanged() -> void
    {
        const auto reader = Utils::SettingsReader::fromFile(m_path);
        std::vector<std::string> errors;
        if (reader) {
            // Reading also sets the daemon's settings; an invalid file yields errors, and
            // `m_reload` is not called.
            m_read(**reader);
            errors = (*reader)->errors();
        } else {
            errors.push_back(reader.error());
        }
        if (!errors.empty()) {
            if (errors != m_lastErrors)
                Utils::logEvent(Utils::Event::SettingsRejected, {{"faults", errors}});
            m_lastErrors = errors;
            return;
        }
        m_lastErrors.clear();
        if ((*reader)->effective() == m_current)
            return;
        m_current = (*reader)->effective();
        Utils::logEvent(Utils::Event::SettingsReloaded, {{"settings", m_current}});
        m_reload();
    }

private:
    std::string m_path;
    nlohmann::json m_current;
    const SettingsCallback &m_read;
    const ReloadCallback &m_reload;
    std::vector<std::string> m_lastErrors;
};

auto runUntilStopped(const std::string &name, const nlohmann::json &settings,
                     const StartCallback &start, SettingsReloader *reloader) -> int
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
        stop([&loop] { loop.callAfter(shutdownDelay, [&loop] { loop.stop(); }); });
    });
    std::unique_ptr<Net::PeriodicTimer> pollTimer;
    if (reloader) {
        Net::onReloadSignal(loop, [reloader] { reloader->reloadIfChanged(); });
        pollTimer = std::make_unique<Net::PeriodicTimer>(
            loop, settingsPollInterval, [reloader] { reloader->reloadIfChanged(); });
    }
    loop.run();
    Utils::logEvent(Utils::Event::ProcessStopped, nlohmann::json::object());
    Utils::flushLog();
    return ExitCode::Success;
}

} // namespace

auto runDaemon(int argc, char **argv, const std::string &name, const SettingsCallback &readSettings,
               const StartCallback &start, Utils::LogTarget logTarget, const ReloadCallback &reload)
    -> int
{
    const auto line = parseCommandLine(
        argc, argv, "--settings FILE",
        {{"settings", "FILE", "JSON file with the settings"},
         {"settings-from", "VARIABLE", "environment variable that holds the settings file's path"},
         {"check-settings", "", "check the settings, print them and exit"}});
    const std::string path = line ? settingsPath(*line) : std::string();
    if (path.empty()) {
        report(name, line ? "expected --settings FILE" : line.error());
        return ExitCode::BadUsage;
    }
    const auto reader = Utils::SettingsReader::fromFile(path);
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
    Utils::configureLog((*reader)->effective().value("name", name), logTarget);
    SettingsReloader reloader(path, (*reader)->effective(), readSettings, reload);
    return runUntilStopped(name, (*reader)->effective(), start, reload ? &reloader : nullptr);
}

} // namespace App
