// Keeps a number of identical completions in flight against one address and prints percentiles of
// their times. Comparing a run against an entry with one against an engine shows the added latency.

#include <app/commandline.h>
#include <app/daemon.h>
#include <net/httpclient.h>
#include <net/reactor.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <vector>

namespace {

/// Sends a new request whenever one ends, until all are sent.
struct ClosedLoop
{
    Net::Reactor &reactor;
    Net::HttpClient http;
    Net::HttpCall call;
    int remaining = 0;
    int pending = 0;
    int failed = 0;
    std::vector<double> milliseconds;

    auto next() -> void
    {
        if (remaining == 0) {
            if (pending == 0)
                reactor.stop();
            return;
        }
        --remaining;
        ++pending;
        const auto sentAt = reactor.now();
        http.start(call, [this, sentAt](const auto &outcome) {
            --pending;
            failed += outcome.isSuccess() ? 0 : 1;
            milliseconds.push_back(1000.0
                                   * std::chrono::duration<double>(reactor.now() - sentAt).count());
            next();
        });
    }
};

auto percentile(const std::vector<double> &sorted, double fraction) -> double
{
    return sorted[static_cast<size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto line = App::parseCommandLine(argc, argv, "",
                                            {{"address", "IP:PORT", "destination of the requests"},
                                             {"key-file", "FILE", "file with the caller's key"},
                                             {"body", "JSON", "body of each request"},
                                             {"in-flight", "N", "requests in flight"},
                                             {"count", "N", "total number of requests"}});
    auto reactor = Net::Reactor::create();
    if (!line || !line->has("address") || !reactor)
        return App::ExitCode::BadUsage;
    ClosedLoop loop{
        **reactor, Net::HttpClient(**reactor), {}, std::stoi(line->value("count", "1000")), 0, 0,
        {}};
    std::ifstream file(line->value("key-file"));
    std::string key;
    std::getline(file, key);
    loop.call.method = "POST";
    loop.call.url = "http://" + line->value("address") + "/v1/completions";
    loop.call.headers = {{"Content-Type", "application/json"}, {"Authorization", "Bearer " + key}};
    loop.call.body = line->value("body");
    loop.call.timeout = std::chrono::seconds(30);
    const int inFlight = std::stoi(line->value("in-flight", "1"));
    for (int i = 0; i < inFlight; ++i)
        loop.next();
    (*reactor)->run();
    std::sort(loop.milliseconds.begin(), loop.milliseconds.end());
    const nlohmann::json result = {{"count", loop.milliseconds.size()},
                                   {"failed", loop.failed},
                                   {"p50Ms", percentile(loop.milliseconds, 0.5)},
                                   {"p99Ms", percentile(loop.milliseconds, 0.99)}};
    std::cout << result.dump() << '\n';
    return loop.failed == 0 ? App::ExitCode::Success : App::ExitCode::Failure;
}
