#include "faultscript.h"
#include "loadbalancer.h"
#include "soakcaller.h"
#include "soakdeployment.h"

#include <app/commandline.h>
#include <app/daemon.h>
#include <net/reactor.h>

#include <charconv>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <optional>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time for all gateways to start and read the configuration.
constexpr seconds StartTime(3);
/// The system must serve again within this time after the last fault.
constexpr seconds RecoveryTime(15);
/// Configurations continue to grow for this time after the last fault, so that the bounds are
/// checked at all gateways.
constexpr seconds FaultFreeGrowthTime(8);
constexpr seconds MeasuredTime(3);
/// Share of the requests that must succeed after the recovery.
constexpr double MinServedShare = 0.9;

struct Options
{
    std::uint64_t seed = 1;
    seconds faults{20};
    int gateways = 3;
    int callers = 36;
    bool hasSlowGateways = false;
    bool hasGrowth = false;
    bool hasLimits = false;
    bool hasCopies = false;
    bool hasVersions = false;
    bool hasCrashingParts = false;
    std::string program;
    std::string folder;
};

/// Reads an option that must be a number above 0; returns false after an error message if not.
template <typename Number>
auto readNumber(const App::CommandLine &line, const std::string &name, Number &number) -> bool
{
    const std::string text = line.value(name, std::to_string(number));
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && number > 0)
        return true;
    std::fprintf(stderr, "--%s must be a number above 0, not \"%s\"\n", name.c_str(), text.c_str());
    return false;
}

auto readOptions(const App::CommandLine &line) -> std::optional<Options>
{
    Options options;
    int faultSeconds = 20;
    if (!readNumber(line, "seed", options.seed) || !readNumber(line, "seconds", faultSeconds)
        || !readNumber(line, "gateways", options.gateways)
        || !readNumber(line, "callers", options.callers))
        return {};
    options.faults = seconds(faultSeconds);
    options.hasSlowGateways = line.value("slow", "no") == "yes";
    options.hasGrowth = line.value("growth", "no") == "yes";
    options.hasLimits = line.value("limits", "no") == "yes";
    options.hasCopies = line.value("copies", "no") == "yes";
    options.hasVersions = line.value("versions", "no") == "yes";
    options.hasCrashingParts = line.value("crashparts", "no") == "yes";
    options.program = line.value("program", "build/bin/acacia-gateway");
    options.folder = line.value("folder");
    return options;
}

auto drawSteps(const Options &options, Soak::SoakDeployment &deployment)
    -> std::vector<Soak::FaultScript::Step>
{
    const size_t gateways = deployment.gateways().size();
    const size_t engines = deployment.engines().size();
    auto steps = Soak::FaultScript::draw(options.seed, options.faults, gateways, engines);
    if (options.hasSlowGateways) {
        const auto slow =
            Soak::FaultScript::drawSlowGateways(options.seed, options.faults, gateways);
        steps.insert(steps.end(), slow.begin(), slow.end());
    }
    if (options.hasLimits) {
        const auto limits = Soak::FaultScript::drawLimits(options.seed, options.faults, engines);
        steps.insert(steps.end(), limits.begin(), limits.end());
    }
    if (options.hasCopies) {
        const auto copies =
            Soak::FaultScript::drawCopies(options.seed, options.faults, gateways, engines);
        steps.insert(steps.end(), copies.begin(), copies.end());
    }
    if (options.hasVersions) {
        const auto versions = Soak::FaultScript::drawVersions(options.seed, options.faults,
                                                              gateways, deployment.modelEngines());
        steps.insert(steps.end(), versions.begin(), versions.end());
    }
    if (!options.hasGrowth)
        return steps;
    std::erase_if(steps, [&](const auto &step) {
        return !Soak::FaultScript::mayAccompanyGrowth(options.seed, step, gateways);
    });
    const auto growth = Soak::FaultScript::drawGrowth(
        options.seed, options.faults + FaultFreeGrowthTime, options.faults, gateways);
    steps.insert(steps.end(), growth.begin(), growth.end());
    return steps;
}

auto runSoak(Net::Reactor &reactor, const Options &options) -> int
{
    auto created = Soak::SoakDeployment::create(reactor, options.program, options.folder,
                                                options.gateways, options.hasVersions);
    if (!created) {
        std::printf("cannot set up the deployment: %s\n", created.error().c_str());
        return App::ExitCode::BadUsage;
    }
    Soak::SoakDeployment &deployment = **created;
    std::vector<Http1::SocketAddress> readiness;
    for (size_t i = 0; i < deployment.gateways().size(); ++i) {
        readiness.push_back(deployment.gateways()[i].process->endpoints().readiness);
        if (const auto started = deployment.startGateway(i, true); !started) {
            std::printf("%s\n", started.error().c_str());
            return App::ExitCode::BadUsage;
        }
    }
    Soak::LoadBalancer rotation(reactor, readiness);
    const auto pickGateway = [&](std::mt19937_64 &random) {
        const auto candidates = rotation.candidates();
        const size_t chosen = candidates[random() % candidates.size()];
        return std::pair(chosen, deployment.gateways()[chosen].process->endpoints().callers);
    };
    std::vector<std::shared_ptr<Soak::SoakCaller>> callers;
    callers.reserve(static_cast<size_t>(options.callers));
    for (int i = 0; i < options.callers; ++i)
        callers.push_back(std::make_shared<Soak::SoakCaller>(
            Soak::SoakCaller::Environment{reactor, deployment.checker(), pickGateway,
                                          options.hasGrowth || options.hasCopies,
                                          [&deployment] { return deployment.isBurstActive(); },
                                          options.hasVersions, options.hasCrashingParts},
            i, options.seed * 1000 + static_cast<std::uint64_t>(i)));
    if (options.hasGrowth)
        deployment.limitGatewayResources(options.seed);
    if (options.hasCrashingParts)
        deployment.enableCrashingPart();
    const auto steps = drawSteps(options, deployment);
    for (const auto &step : steps)
        std::printf("%s\n", Soak::FaultScript::describe(step).c_str());
    const auto script = std::make_shared<Soak::FaultScript>(deployment, steps);
    reactor.callAfter(StartTime, [&] {
        for (const auto &caller : callers)
            caller->start();
        script->start();
    });
    Utils::TimePoint measuredFrom;
    const seconds recoveredAt = StartTime + options.faults + RecoveryTime;
    reactor.callAfter(recoveredAt, [&] { measuredFrom = reactor.now(); });
    reactor.callAfter(recoveredAt + MeasuredTime, [&] {
        for (const auto &caller : callers)
            caller->stop();
    });
    // Callers that take streams up wait for up to 8 s for an answer.
    const seconds lastAnswers(options.hasVersions ? 10 : 4);
    reactor.callAfter(recoveredAt + MeasuredTime + lastAnswers, [&] { reactor.stop(); });
    reactor.run();
    deployment.checkProcesses();
    deployment.checker().checkTotals(reactor.now());

    const double served = deployment.checker().servedShare(measuredFrom);
    std::printf("%s\nserved after recovery: %.3f\n", deployment.checker().summary().c_str(),
                served);
    for (const std::string &violation : deployment.checker().violations())
        std::printf("BROKEN %s\n", violation.c_str());
    const bool hasRecovered = served >= MinServedShare;
    if (!hasRecovered)
        std::printf("BROKEN RECOVER: %.3f of the requests served\n", served);
    const bool hasPassed = hasRecovered && deployment.checker().violations().empty();
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(options.seed),
                hasPassed ? "kept" : "broken");
    return hasPassed ? App::ExitCode::Success : App::ExitCode::Failure;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto line = App::parseCommandLine(
        argc, argv, "Runs gateways under faults drawn from a seed",
        {{"seed", "N", "Faults and callers are drawn from it"},
         {"seconds", "S", "Duration of the faults"},
         {"gateways", "N", "Gateway processes"},
         {"slow", "yes|no", "Also use slow processors and slow links"},
         {"growth", "yes|no", "Also use growing configurations and limited gateways"},
         {"limits", "yes|no", "Also use engines that name a limit on requests per second"},
         {"copies", "yes|no", "Also use a store that comes back from copies"},
         {"versions", "yes|no", "Also use engines with several versions of their software"},
         {"crashparts", "yes|no", "Also use prompts with a part on which engines crash"},
         {"callers", "N", "Callers, each with one request at a time"},
         {"program", "FILE", "The gateway's binary"},
         {"folder", "DIR", "For settings and logs of the gateways"}});
    if (!line || line->value("folder").empty()) {
        std::fprintf(stderr, "%s\n", line ? "--folder is missing" : line.error().c_str());
        return App::ExitCode::BadUsage;
    }
    const auto options = readOptions(*line);
    if (!options)
        return App::ExitCode::BadUsage;
    std::filesystem::create_directories(options->folder);
    // The wires may write to connections that the peer has reset.
    std::signal(SIGPIPE, SIG_IGN);
    auto reactor = Net::Reactor::create();
    if (!reactor) {
        std::fprintf(stderr, "%s\n", reactor.error().c_str());
        return App::ExitCode::Failure;
    }
    return runSoak(**reactor, *options);
}
