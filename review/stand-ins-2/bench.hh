// What each script needs: a temporary folder, the record, the store and the end of the run.
#pragma once

#include "config.hh"
#include "engine.hh"
#include "gateway.hh"
#include "record.hh"
#include "store.hh"

#include <cstdlib>
#include <iostream>

namespace standins {

/// Exit codes of a script.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

class Bench
{
public:
    /// `arguments`: the repository's folder and the case's folder.
    Bench(int count, char **arguments)
        : root(count > 1 ? arguments[1] : ".")
        , record(std::string(count > 2 ? arguments[2] : ".") + "/record.txt")
    {
        const char *trouble = std::getenv("TROUBLE");
        hasTrouble = !trouble || std::string(trouble) != "0";
        std::string pattern = (std::filesystem::temp_directory_path() / "review.XXXXXX").string();
        const char *made = ::mkdtemp(pattern.data());
        folder = made ? made : "";
        record.add(hasTrouble ? "with the disruption" : "without the disruption");
    }

    /// Ends all threads with the process; the gateways must have been ended before.
    [[noreturn]] auto end(int code, const std::string &finding) -> void
    {
        record.add(finding);
        record.add("exit " + std::to_string(code));
        std::cout << finding << std::endl;
        if (std::getenv("KEEP") == nullptr && !folder.empty())
            std::filesystem::remove_all(folder);
        std::_Exit(code);
    }

    std::string root;
    std::string folder;
    bool hasTrouble = true;
    Record record;
    Store store;
};

/// Starts a gateway and waits until it is ready; otherwise the case can't run.
inline auto startGateway(Bench &bench, Gateway &gateway) -> void
{
    constexpr int patienceMs = 10000;
    if (gateway.start() && gateway.awaitReady(patienceMs))
        return;
    const bool isRunning = gateway.isRunning();
    bench.record.add(isRunning ? "the gateway runs, but isn't ready"
                               : "the gateway has ended, status "
                             + std::to_string(gateway.exitStatus()));
    bench.end(CouldNotRun, "a gateway doesn't get ready");
}

/// Head of a request of an ordinary client; `rest` begins with further fields and has the body.
inline auto requestHead(const std::string &method, const std::string &target,
                        const std::string &id, int deadlineMs, const std::string &rest)
    -> std::string
{
    return method + ' ' + target + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id
        + "\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n"
        + rest;
}

/// Sends an ordinary lookup on a new connection. Returns the status; 0 without a whole answer.
inline auto lookUp(Gateway &gateway, Record &record, const std::string &id) -> int
{
    constexpr int deadlineMs = 1500;
    const auto sentAt = nowMs();
    Connection connection(connectTo(gateway.port()));
    Message answer;
    connection.send(requestHead("GET", "/lookup/x", id, deadlineMs, "\r\n"));
    const bool isWhole = connection.read(answer, sentAt + deadlineMs, true);
    const int status = isWhole ? answer.status() : 0;
    record.add("ordinary lookup " + id + ": "
               + (isWhole ? std::to_string(status) : std::string("no answer")) + " after "
               + std::to_string(nowMs() - sentAt) + " ms");
    return status;
}

} // namespace standins
