#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Gateway {

/// What may be repeated of a route's requests.
enum class RouteKind {
    Idempotent, ///< May run any number of times.
    AtMostOnce, ///< May run once for each attempt of a caller.
    Stream, ///< Answers with events; at most once unless it may be resumed.
};

/// A service that a route leads to and its part of the route's requests.
struct ServiceShare
{
    std::string service;
    double weight = 1;
};

/// A route from a host and path prefix to services.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    RouteKind kind = RouteKind::AtMostOnce;
    bool isResumable = false; ///< A broken stream may go on at another backend server.
    std::chrono::milliseconds timeout{0}; ///< Longest time a caller is kept waiting.
    std::chrono::milliseconds latencyObjective{0}; ///< For a stream, up to its first event.
    std::chrono::milliseconds pauseObjective{0}; ///< Longest pause between a stream's events.
    int priority = 0; ///< 0 is the most urgent.
    std::vector<ServiceShare> shares;
    int maxServers = 1; ///< Backend servers that one attempt of a caller may be sent to.
    bool needsKey = true;
    bool hasPromptParts = false; ///< Requests name the parts of their prompt.

    /// True if a request may run again after it may have run.
    auto mayRepeat() const -> bool;
};

/// A model as the operators describe it.
struct ModelDescription
{
    std::string name;
    double weightsMb = 0;
    std::chrono::milliseconds storeLoadTime{0}; ///< From the weight store, few loads at once.
    std::chrono::milliseconds diskLoadTime{0};
    std::chrono::milliseconds memoryLoadTime{0};
    int adapters = 0;
    double adapterMb = 0;
};

/// What the model engines of a service are like.
struct EngineDescription
{
    int batchSlots = 0;
    double cacheTokens = 0; ///< Memory for prompts and answers, in tokens.
    double weightsMb = 0; ///< Room for weights and adapters together.
    int adapterSlots = 0;
    double hostMemoryMb = 0; ///< Room for copies of weights in host memory.
    double diskMb = 0;
    double storeLoadsPerSecond = 0; ///< Over all engines of the service.
    std::map<std::string, ModelDescription> models;
};

struct Service
{
    std::string name;
    std::string healthPath;
    int mostConnections = 0; ///< At one backend server, from all callers together.
    std::optional<EngineDescription> engine; ///< Only for model engines.
};

/// What a client may send and how long it may take.
struct ClientLimits
{
    size_t headBytes = 16 << 10;
    size_t bodyBytes = 4 << 20;
    std::chrono::milliseconds headTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

/// A customer, its keys and its contract.
struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    int priority = 0;
    bool countsTokens = false; ///< Rate and burst are in tokens, else in requests.
    double plainTokens = 0; ///< What a request counts that names no tokens.
    double ratePerSecond = 0; ///< 0 is no limit.
    double burst = 0;
};

/// Everything that operators have put in force, as a whole.
class Configuration
{
public:
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service> services;
    ClientLimits limits;
    std::vector<Customer> customers;
    bool requiresKeys = false;

    /// Builds the indexes; to be called once all fields are set.
    auto index() -> void;
    /// The route with the longest prefix of `path` under `host`.
    auto findRoute(std::string_view host, std::string_view path) const -> const Route *;
    auto findCustomer(std::string_view key) const -> const Customer *;
    auto findService(const std::string &name) const -> const Service *;

private:
    std::unordered_map<std::string, std::vector<size_t>> m_routesByHost; ///< Longest prefix first.
    std::unordered_map<std::string, size_t> m_customerByKey;
};

} // namespace Gateway
