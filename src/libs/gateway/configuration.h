#pragma once

#include <availability/coldstartdescription.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Gateway {

/// Whether requests of a route may be repeated.
enum class RouteKind {
    Idempotent, ///< May run any number of times.
    AtMostOnce, ///< May run once per attempt of a caller.
    Stream, ///< Answers with an event stream; runs at most once unless it is resumable.
};

/// A service of a route and the weight with which the route's requests are sent to it.
struct ServiceShare
{
    std::string service;
    double weight = 1;
};

/// Maps a host and path prefix to services.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    RouteKind kind = RouteKind::AtMostOnce;
    bool isResumable = false; ///< A broken stream may continue at another backend server.
    std::chrono::milliseconds timeout{0}; ///< Longest time until the caller is answered.
    std::chrono::milliseconds latencyObjective{0}; ///< For a stream, until its first event.
    std::chrono::milliseconds pauseObjective{0}; ///< Longest pause between a stream's events.
    /// Clients give up after this time without an answer, or without an event of a stream.
    std::chrono::milliseconds clientPatience = std::chrono::milliseconds::max();
    int priority = 0; ///< 0 is the most urgent.
    std::vector<ServiceShare> shares;
    int maxServers = 1; ///< Limit on backend servers that may run one attempt of a caller.
    bool needsKey = true;
    bool hasPromptParts = false; ///< Requests list the parts of their prompt.

    /// Returns true if a request may be sent again although it may have run already.
    auto mayRepeat() const -> bool;
};

/// A model as described in the configuration.
struct ModelDescription
{
    std::string name;
    double weightsMb = 0;
    std::chrono::milliseconds storeLoadTime{
        0}; ///< From the weight store, with few concurrent loads.
    std::chrono::milliseconds diskLoadTime{0};
    std::chrono::milliseconds memoryLoadTime{0};
    int adapters = 0;
    double adapterMb = 0;
};

/// Properties of the model engines of a service.
struct EngineDescription
{
    int batchSlots = 0;
    double cacheTokens = 0; ///< Size of the cache for prompts and answers, in tokens.
    double weightsMb = 0; ///< Memory for weights and adapters together.
    int adapterSlots = 0;
    double hostMemoryMb = 0; ///< Memory for copies of weights in host memory.
    double diskMb = 0;
    double storeLoadsPerSecond = 0; ///< For all engines of the service together.
    std::map<std::string, ModelDescription> models;
};

struct Service
{
    std::string name;
    std::string healthPath;
    int mostConnections = 0; ///< Per backend server, for all callers together.
    Availability::ColdStartDescription coldStart;
    std::optional<EngineDescription> engine; ///< Only for model engines.
};

/// Limits on the size of a client's requests and on the time to send them.
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
    bool countsTokens = false; ///< Rate and burst are counted in tokens instead of requests.
    double plainTokens = 0; ///< Cost of a request without a token count.
    double ratePerSecond = 0; ///< 0 means no limit.
    double burst = 0;
};

/// The operators' configuration in force: routes, services, limits and customers.
class Configuration
{
public:
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service> services;
    ClientLimits limits;
    std::vector<Customer> customers;
    bool requiresKeys = false;

    /// Builds the lookup indexes; must be called once all fields are set.
    auto index() -> void;
    /// Returns the route of `host` with the longest matching prefix of `path`, or null.
    auto findRoute(std::string_view host, std::string_view path) const -> const Route *;
    auto findCustomer(std::string_view key) const -> const Customer *;
    auto findService(const std::string &name) const -> const Service *;

private:
    std::unordered_map<std::string, std::vector<size_t>> m_routesByHost; ///< Longest prefix first.
    std::unordered_map<std::string, size_t> m_customerByKey;
};

} // namespace Gateway
