#include <app/commandline.h>
#include <app/daemon.h>
#include <load/loadrunner.h>
#include <net/reactor.h>

#include <fstream>
#include <iostream>
#include <iterator>

namespace {

auto fail(const std::string &message, int code) -> int
{
    std::cerr << "acacia-load: " << message << '\n';
    return code;
}

/// Writes the times to the first byte and a script that plots them.
auto writePlot(const std::string &prefix, const std::vector<Load::RequestRecord> &records) -> void
{
    std::ofstream data(prefix + ".dat");
    for (const auto &record : records) {
        if (record.isComplete && record.firstByte)
            data << std::chrono::duration<double>(*record.firstByte).count() << '\n';
    }
    std::ofstream(prefix + ".gnuplot") << Load::plotScript(prefix + ".dat", prefix + ".png");
}

/// Whether a caller got a wrong answer, or neither an answer nor a refusal. Neither may happen
/// under any load.
auto violatesGuarantees(const nlohmann::json &report) -> bool
{
    return report["wrongAnswers"] != 0 || report["neitherAnswerNorRefusal"] != 0;
}

auto run(const App::CommandLine &line, const Load::LoadShape &shape) -> int
{
    auto reactor = Net::Reactor::create();
    if (!reactor)
        return fail(reactor.error(), App::ExitCode::Failure);
    Net::Reactor &loop = **reactor;
    auto runner = Load::LoadRunner::create(loop, shape);
    if (!runner)
        return fail(runner.error(), App::ExitCode::BadUsage);
    const auto progress = [](size_t ended, size_t all) {
        std::cerr << ended << " of " << all << " ended\n";
    };
    (*runner)->start(progress, [&loop] { loop.stop(); });
    loop.run();
    const auto report = Load::makeReport(shape, (*runner)->records());
    std::cout << (line.has("json") ? report.dump() + "\n" : Load::reportTable(report));
    if (line.has("plot"))
        writePlot(line.value("plot"), (*runner)->records());
    return violatesGuarantees(report) ? App::ExitCode::Failure : App::ExitCode::Success;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto line =
        App::parseCommandLine(argc, argv, "--shape FILE",
                              {{"shape", "FILE", "JSON file with the load's shape"},
                               {"json", "", "print the report as JSON"},
                               {"plot", "PREFIX", "write PREFIX.dat and PREFIX.gnuplot"}});
    if (!line || !line->has("shape"))
        return fail(line ? "expected --shape FILE" : line.error(), App::ExitCode::BadUsage);
    std::ifstream file(line->value("shape"));
    if (!file)
        return fail(line->value("shape") + ": cannot be read", App::ExitCode::BadUsage);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const auto shape = Load::parseShape(line->value("shape"), text);
    if (!shape)
        return fail(shape.error(), App::ExitCode::BadUsage);
    return run(*line, *shape);
}
