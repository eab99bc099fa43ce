#pragma once

#include "configuration.h"
#include "ratelimittable.h"

#include <routing/crashsuspects.h>
#include <routing/retrybudget.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Monitoring {
class Metrics;
}

namespace Net {
class Reactor;
}

namespace Gateway {

class BackendRegistry;
class ConnectionPool;
class DemandTracker;
class DenialCheck;
class PermitExchange;
class QuotaLedger;
class RequestQueue;
class WireFormat;

/// State that all requests of one gateway share.
struct GatewayContext
{
    Net::Reactor &reactor;
    const WireFormat &wire;
    BackendRegistry &board;
    ConnectionPool &pool;
    QuotaLedger &quota;
    RequestQueue &requestQueue;
    DemandTracker &demand;
    DenialCheck &denialCheck;
    Monitoring::Metrics &metrics;
    std::shared_ptr<const Configuration>
        configuration; ///< Null until the first one has been received.
    std::map<std::string, Routing::RetryBudget> retryBudgets; ///< By service.
    std::function<Routing::RetryBudget()> makeRetryBudget;
    Routing::CrashSuspects crashSuspects;
    std::function<void(const std::string &backendId, const std::string &fingerprint)> onSuspect;

    /// Called when a server announces in an answer that it is leaving. `startedAtMs` is the Unix
    /// time at which the server was started.
    std::function<void(const std::string &backendId, std::int64_t startedAtMs)> onLeaving = nullptr;
    std::function<void()> onQuotaShortage =
        nullptr; ///< Called when a request finds too little quota.
    std::function<void()> onModelNeeded = nullptr; ///< Called when a request waits for a model.
    bool isStopping = false; ///< New requests are refused.
    RateLimitTable rateLimits = {}; ///< Named by backend servers.
    PermitExchange *permits = nullptr; ///< Set before the first request arrives.

    auto retryBudget(const std::string &service) -> Routing::RetryBudget &
    {
        const auto found = retryBudgets.find(service);
        if (found != retryBudgets.end())
            return found->second;
        return retryBudgets.emplace(service, makeRetryBudget()).first->second;
    }
};

} // namespace Gateway
