#pragma once

#include <app/commandline.h>

#include <string>
#include <vector>

/// `explain ID LOG...`: follows a request through gateways' logs.
auto explainFromLogs(const App::CommandLine &line, const std::vector<std::string> &arguments)
    -> int;
/// `losses LOG...`: counts what was not served, or served late, by cause.
auto runLosses(const App::CommandLine &line, const std::vector<std::string> &arguments) -> int;
