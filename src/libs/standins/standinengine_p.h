#pragma once

#include "standinengine.h"

#include "faultinjector.h"

#include <net/httpclient.h>
#include <net/httpserver.h>
#include <net/reactor.h>
#include <utils/hashing.h>

#include <algorithm>
#include <set>
#include <unistd.h>
#include <utils/jsonfield.h>

namespace StandIns {

using ExchangePointer = std::shared_ptr<Net::HttpExchange>;
using nlohmann::json;

inline constexpr int ok = 200;
inline constexpr int badRequest = 400;
inline constexpr int notFound = 404;
inline constexpr int conflict = 409;
inline constexpr int insufficientStorage = 507;
inline constexpr int defaultTokens = 16;
inline constexpr int maxTokens = 512;
inline constexpr int crashExitCode = 70;
inline constexpr size_t maxBodyBytes = 64U << 20;
inline constexpr size_t maxRecords = 20000;
inline const std::string crashWord = "crash-the-engine";
const Net::HttpHeaders jsonHeaders = {{"Content-Type", "application/json"}};

/// A completion in progress.
struct Generation
{
    ExchangePointer exchange;
    std::string id;
    std::string model;
    std::string prompt;
    std::string text;
    int requestedTokens = 0;
    int generatedTokens = 0;
    bool isStream = false;
    bool isChat = false;
    bool isCancelled = false;
};

inline auto tokenText(const std::string &prompt, int index) -> std::string
{
    constexpr size_t digits = 8;
    if (index == 0)
        return Utils::sha256Hex(prompt).substr(0, digits);
    return " w" + std::to_string(index);
}

inline auto respond(const ExchangePointer &exchange, int status, const json &body) -> void
{
    exchange->respond(status, jsonHeaders, body.dump());
}

inline auto usageOf(const Generation &generation) -> json
{
    return {{"prompt_tokens", (generation.prompt.size() + 3) / 4},
            {"completion_tokens", generation.generatedTokens}};
}

inline auto choiceOf(const Generation &generation, const std::string &text, bool isDelta) -> json
{
    if (!generation.isChat)
        return {{"index", 0}, {"text", text}};
    return {{"index", 0},
            {isDelta ? "delta" : "message", {{"role", "assistant"}, {"content", text}}}};
}

struct StandInEngine::Private
{
    struct LoadedModel
    {
        std::uint64_t bytes = 0;
        std::string base;
        bool isLoading = false;
        int activeGenerations = 0;
        Utils::TimePoint idleSince;
    };

    Net::Reactor &reactor;
    EngineOptions options;
    Net::HttpClient client;
    std::unique_ptr<Net::HttpServer> server;
    FaultInjector faults;
    std::string bootId = Utils::randomHex(8);
    std::map<std::string, LoadedModel> models;
    std::map<std::string, std::shared_ptr<Generation>> generations;
    std::uint64_t highestFence = 0;
    json records = json::array();
    int overcommits = 0;
    int loads = 0;
    int runs = 0;
    int cancels = 0;
    std::uint64_t peakBytes = 0;
    Utils::Duration idleTime{}; ///< Total time for which models were loaded but unused.

    Private(Net::Reactor &loop, const EngineOptions &engineOptions)
        : reactor(loop)
        , options(engineOptions)
        , client(loop)
    { }

    auto usedBytes() const -> std::uint64_t;
    auto handle(const ExchangePointer &exchange) -> void;
    auto record(const Net::HttpRequest &request) -> void;
    auto status(const ExchangePointer &exchange) -> void;
    auto load(const ExchangePointer &exchange) -> void;
    auto fetchWeights(bool isAdapter, const std::function<void()> &done) -> void;
    auto unload(const ExchangePointer &exchange) -> void;
    auto isStaleOrder(const json &order) -> bool;
    auto addIdleTime(const std::string &name) -> void;
    auto beginUse(const std::string &name) -> void;
    auto endUse(const std::string &name) -> void;
    auto run(const ExchangePointer &exchange) -> void;
    auto startGeneration(const ExchangePointer &exchange, const json &body) -> void;
    auto generateToken(const std::shared_ptr<Generation> &generation) -> void;
    auto finishGeneration(const std::shared_ptr<Generation> &generation) -> void;
    auto cancel(const ExchangePointer &exchange, const std::string &id) -> void;
    auto statistics(const ExchangePointer &exchange) -> void;
};

} // namespace StandIns
