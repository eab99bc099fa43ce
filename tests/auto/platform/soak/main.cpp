#include "faultscript.h"
#include "rotation.h"
#include "soakcaller.h"
#include "soakworld.h"

#include <app/commandline.h>
#include <app/daemon.h>
#include <net/reactor.h>

#include <csignal>
#include <cstdio>
#include <filesystem>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Until all gateways have started and know the configuration.
constexpr seconds StartTime(3);
/// After the last fault the system serves again within this time.
constexpr seconds RecoveryTime(15);
constexpr seconds JudgedTime(3);
/// Share of the requests that must succeed once all has healed.
constexpr double LeastServed = 0.9;

struct Options
{
    std::uint64_t seed = 1;
    seconds faults{20};
    int gateways = 3;
    int callers = 36;
    std::string program;
    std::string folder;
};

auto readOptions(const App::CommandLine &line) -> Options
{
    Options options;
    options.seed = std::stoull(line.value("seed", "1"));
    options.faults = seconds(std::stoi(line.value("seconds", "20")));
    options.gateways = std::stoi(line.value("gateways", "3"));
    options.callers = std::stoi(line.value("callers", "36"));
    options.program = line.value("program", "build/bin/acacia-gateway");
    options.folder = line.value("folder");
    return options;
}

auto play(Net::Reactor &reactor, const Options &options) -> int
{
    auto created =
        Soak::SoakWorld::create(reactor, options.program, options.folder, options.gateways);
    if (!created) {
        std::printf("cannot set up: %s\n", created.error().c_str());
        return App::ExitCode::BadUsage;
    }
    Soak::SoakWorld &world = **created;
    std::vector<Http1::SocketAddress> readiness;
    for (size_t i = 0; i < world.gateways().size(); ++i) {
        readiness.push_back(world.gateways()[i].process->place().readiness);
        if (const auto started = world.startGateway(i, true); !started) {
            std::printf("%s\n", started.error().c_str());
            return App::ExitCode::BadUsage;
        }
    }
    Soak::Rotation rotation(reactor, readiness);
    const auto pick = [&](std::mt19937_64 &random) {
        const auto candidates = rotation.candidates();
        const size_t chosen = candidates[random() % candidates.size()];
        return std::pair(chosen, world.gateways()[chosen].process->place().callers);
    };
    std::vector<std::shared_ptr<Soak::SoakCaller>> callers;
    for (int i = 0; i < options.callers; ++i)
        callers.push_back(std::make_shared<Soak::SoakCaller>(
            Soak::SoakCaller::Surroundings{reactor, world.promises(), pick}, i,
            options.seed * 1000 + static_cast<std::uint64_t>(i)));
    const auto steps = Soak::FaultScript::draw(options.seed, options.faults,
                                               world.gateways().size(), world.engines().size());
    for (const auto &step : steps)
        std::printf("%s\n", Soak::FaultScript::describe(step).c_str());
    const auto script = std::make_shared<Soak::FaultScript>(world, steps);
    reactor.callAfter(StartTime, [&] {
        for (const auto &caller : callers)
            caller->start();
        script->start();
    });
    Utils::TimePoint judgedFrom;
    const seconds healed = StartTime + options.faults + RecoveryTime;
    reactor.callAfter(healed, [&] { judgedFrom = reactor.now(); });
    reactor.callAfter(healed + JudgedTime, [&] {
        for (const auto &caller : callers)
            caller->stop();
    });
    constexpr seconds lastAnswers(4);
    reactor.callAfter(healed + JudgedTime + lastAnswers, [&] { reactor.stop(); });
    reactor.run();
    world.checkProcesses();

    const double served = world.promises().servedShare(judgedFrom);
    std::printf("%s\nserved after recovery: %.3f\n", world.promises().summary().c_str(), served);
    for (const std::string &violation : world.promises().violations())
        std::printf("BROKEN %s\n", violation.c_str());
    const bool hasRecovered = served >= LeastServed;
    if (!hasRecovered)
        std::printf("BROKEN RECOVER: %.3f of the requests served\n", served);
    const bool isGood = hasRecovered && world.promises().violations().empty();
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(options.seed),
                isGood ? "kept" : "broken");
    return isGood ? App::ExitCode::Success : App::ExitCode::Failure;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto line =
        App::parseCommandLine(argc, argv, "Runs gateways under faults drawn from a seed",
                              {{"seed", "N", "Faults and callers are drawn from it"},
                               {"seconds", "S", "How long faults come"},
                               {"gateways", "N", "Gateway processes"},
                               {"callers", "N", "Callers, one request each at a time"},
                               {"program", "FILE", "The gateway's binary"},
                               {"folder", "DIR", "For settings and logs of the gateways"}});
    if (!line || line->value("folder").empty()) {
        std::fprintf(stderr, "%s\n", line ? "--folder is missing" : line.error().c_str());
        return App::ExitCode::BadUsage;
    }
    const Options options = readOptions(*line);
    std::filesystem::create_directories(options.folder);
    // Wires write to connections that the other end may have reset.
    std::signal(SIGPIPE, SIG_IGN);
    auto reactor = Net::Reactor::create();
    if (!reactor) {
        std::fprintf(stderr, "%s\n", reactor.error().c_str());
        return App::ExitCode::Failure;
    }
    return play(**reactor, options);
}
