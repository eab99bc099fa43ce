#pragma once

#include <app/commandline.h>

#include <string>
#include <vector>

/// One command of acaciactl.
struct Command
{
    std::string name; ///< One or two words.
    std::string arguments;
    std::string help;
    size_t argumentCount = 0;
    auto(*run)(const App::CommandLine &line, const std::vector<std::string> &arguments)
        -> int = nullptr;
    bool isVariadic = false; ///< Accepts further arguments beyond `argumentCount`.
};

auto commands() -> const std::vector<Command> &;
