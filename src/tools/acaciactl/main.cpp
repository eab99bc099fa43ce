#include "commands.h"

#include <app/daemon.h>
#include <utils/eventlog.h>
#include <utils/nearmatch.h>

#include <iostream>

namespace {

auto usage() -> std::string
{
    std::string text = "COMMAND\n\nCommands:\n";
    for (const auto &command : commands())
        text += "  " + command.name + " " + command.arguments + "\n        " + command.help + "\n";
    return text;
}

auto findCommand(const std::vector<std::string> &words, size_t &wordCount) -> const Command *
{
    for (const auto &command : commands()) {
        const bool isTwoWords = command.name.find(' ') != std::string::npos;
        const std::string typedName =
            isTwoWords && words.size() > 1 ? words[0] + " " + words[1] : words[0];
        wordCount = isTwoWords ? 2 : 1;
        if (typedName == command.name)
            return &command;
    }
    return nullptr;
}

auto reportUnknownCommand(const std::vector<std::string> &words) -> int
{
    std::vector<std::string> names;
    for (const auto &command : commands())
        names.push_back(command.name);
    const std::string word = words.empty() ? "" : words[0];
    const std::string closest = Utils::nearMatch(word, names);
    std::cerr << "acaciactl: "
              << (word.empty() ? "expected a command" : "unknown command \"" + word + "\"")
              << (closest.empty() ? "" : "; did you mean \"" + closest + "\"?")
              << "\nTry: acaciactl --help\n";
    return App::ExitCode::BadUsage;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    Utils::configureLog("acaciactl");
    const auto line = App::parseCommandLine(
        argc, argv, usage(),
        {{"settings", "FILE", "JSON file with the connection settings"},
         {"as", "PERSON", "the person who asks for the change"},
         {"late", "MS", "with logs: slower answers are late (default 1000)"},
         {"late-pause", "MS", "with logs: longer pauses are late (default 1000)"},
         {"undo", "", "with drain: cancel the drain"},
         {"json", "", "print JSON"}});
    if (!line) {
        std::cerr << "acaciactl: " << line.error() << '\n';
        return App::ExitCode::BadUsage;
    }
    size_t wordCount = 0;
    const Command *command = line->positionalArguments.empty()
        ? nullptr
        : findCommand(line->positionalArguments, wordCount);
    if (!command)
        return reportUnknownCommand(line->positionalArguments);
    const std::vector<std::string> arguments(line->positionalArguments.begin()
                                                 + static_cast<std::ptrdiff_t>(wordCount),
                                             line->positionalArguments.end());
    const bool hasTooManyArguments =
        !command->isVariadic && arguments.size() > command->argumentCount;
    if (arguments.size() < command->argumentCount || hasTooManyArguments) {
        std::cerr << "usage: acaciactl " << command->name << ' ' << command->arguments << '\n';
        return App::ExitCode::BadUsage;
    }
    return command->run(*line, arguments);
}
