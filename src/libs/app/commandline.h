#pragma once

#include <utils/result.h>

#include <map>
#include <string>
#include <vector>

namespace App {

/// A command-line option of a program.
struct OptionDescription
{
    std::string name;
    std::string argument; ///< Name of the option's argument; empty for a flag.
    std::string help;
};

/// The parsed arguments of a program.
struct CommandLine
{
    std::map<std::string, std::string> options; ///< Flags have the value "1".
    std::vector<std::string> positionalArguments;

    auto has(const std::string &name) const -> bool;
    auto value(const std::string &name, const std::string &fallback = {}) const -> std::string;
};

/// Parses the arguments (popt). `--help` prints the options and ends the process.
auto parseCommandLine(int argc, char **argv, const std::string &usage,
                      const std::vector<OptionDescription> &options)
    -> Utils::Result<CommandLine, std::string>;

} // namespace App
