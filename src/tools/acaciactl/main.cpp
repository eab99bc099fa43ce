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
        text +=
            "  " + command.name + " " + command.arguments + "\n        " + command.meaning + "\n";
    return text;
}

auto findCommand(const std::vector<std::string> &words, size_t &used) -> const Command *
{
    for (const auto &command : commands()) {
        const bool isPair = command.name.find(' ') != std::string::npos;
        const std::string given = isPair && words.size() > 1 ? words[0] + " " + words[1] : words[0];
        used = isPair ? 2 : 1;
        if (given == command.name)
            return &command;
    }
    return nullptr;
}

auto reportUnknown(const std::vector<std::string> &words) -> int
{
    std::vector<std::string> names;
    for (const auto &command : commands())
        names.push_back(command.name);
    const std::string word = words.empty() ? "" : words[0];
    const std::string near = Utils::nearMatch(word, names);
    std::cerr << "acaciactl: "
              << (word.empty() ? "expected a command" : "unknown command \"" + word + "\"")
              << (near.empty() ? "" : "; did you mean \"" + near + "\"?")
              << "\nTry: acaciactl --help\n";
    return App::ExitCode::BadUsage;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    Utils::configureLog("acaciactl");
    const auto line =
        App::parseCommandLine(argc, argv, usage(),
                              {{"settings", "FILE", "JSON file that says where the fleet is"},
                               {"as", "PERSON", "who asks for the change"},
                               {"late", "MS", "with logs: a slower answer is late; 1000"},
                               {"late-pause", "MS", "with logs: a longer pause is late; 1000"},
                               {"undo", "", "with drain: take the order back"},
                               {"json", "", "print JSON"}});
    if (!line) {
        std::cerr << "acaciactl: " << line.error() << '\n';
        return App::ExitCode::BadUsage;
    }
    size_t used = 0;
    const Command *command = line->words.empty() ? nullptr : findCommand(line->words, used);
    if (!command)
        return reportUnknown(line->words);
    const std::vector<std::string> arguments(
        line->words.begin() + static_cast<std::ptrdiff_t>(used), line->words.end());
    const bool isTooMany = !command->takesMore && arguments.size() > command->argumentCount;
    if (arguments.size() < command->argumentCount || isTooMany) {
        std::cerr << "usage: acaciactl " << command->name << ' ' << command->arguments << '\n';
        return App::ExitCode::BadUsage;
    }
    return command->run(*line, arguments);
}
