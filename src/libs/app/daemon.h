#pragma once

#include <utils/eventlog.h>

#include <functional>
#include <string>

namespace Net {
class Reactor;
}

namespace Utils {
class SettingsReader;
}

namespace App {

/// Exit codes of the programs.
namespace ExitCode {
constexpr int Success = 0;
constexpr int Failure = 1;
constexpr int BadUsage = 2;
} // namespace ExitCode

/// Reads a daemon's settings; the reader collects the errors.
using SettingsCallback = std::function<void(Utils::SettingsReader &)>;
/// Starts the daemon on the reactor. Returns the callback that stops it, which must finally call
/// its argument, or sets `error`.
using StopCallback = std::function<void(std::function<void()> done)>;
using StartCallback = std::function<StopCallback(Net::Reactor &reactor, std::string &error)>;

/// Applies settings that were checked and differ from those in force.
using ReloadCallback = std::function<void()>;

/// Runs a daemon with its command line (`--settings FILE` or `--settings-from VARIABLE`,
/// `--check-settings`) and returns its exit code. With `reload`, the settings are read again on
/// SIGHUP and when their file has changed; invalid settings change nothing.
auto runDaemon(int argc, char **argv, const std::string &name, const SettingsCallback &readSettings,
               const StartCallback &start,
               Utils::LogTarget logTarget = Utils::LogTarget::StandardError,
               const ReloadCallback &reload = nullptr) -> int;

} // namespace App
