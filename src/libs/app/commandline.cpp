#include "commandline.h"

#include <popt.h>

#include <memory>

namespace App {

auto CommandLine::has(const std::string &name) const -> bool
{
    return options.count(name) > 0;
}

auto CommandLine::value(const std::string &name, const std::string &fallback) const -> std::string
{
    const auto found = options.find(name);
    return found == options.end() ? fallback : found->second;
}

auto parseCommandLine(int argc, char **argv, const std::string &usage,
                      const std::vector<OptionDescription> &options)
    -> Utils::Result<CommandLine, std::string>
{
    std::vector<poptOption> table;
    int number = 1;
    for (const auto &option : options) {
        const int kind = option.argument.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
        table.push_back({option.name.c_str(), '\0', static_cast<unsigned>(kind), nullptr, number++,
                         option.help.c_str(),
                         option.argument.empty() ? nullptr : option.argument.c_str()});
    }
    table.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help:", nullptr});
    table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext(nullptr, argc, const_cast<const char **>(argv), table.data(), 0),
        &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), usage.c_str());
    CommandLine line;
    int chosen = 0;
    while ((chosen = poptGetNextOpt(context.get())) > 0) {
        const std::unique_ptr<char, decltype(&free)> argument(poptGetOptArg(context.get()), &free);
        line.options[options[static_cast<size_t>(chosen) - 1].name] =
            argument ? argument.get() : "1";
    }
    if (chosen < -1)
        return tl::unexpected(std::string(poptBadOption(context.get(), 0)) + ": "
                              + poptStrerror(chosen));
    while (const char *argument = poptGetArg(context.get()))
        line.positionalArguments.emplace_back(argument);
    return line;
}

} // namespace App
