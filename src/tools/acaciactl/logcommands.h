#pragma once

#include <app/commandline.h>

#include <string>
#include <vector>

/// `explain ID LOG...`: explains a request from gateways' logs.
auto explainFromLogs(const App::CommandLine &line, const std::vector<std::string> &arguments)
    -> int;
/// `losses LOG...`: counts by cause the requests that were not served or served late.
auto runLosses(const App::CommandLine &line, const std::vector<std::string> &arguments) -> int;
