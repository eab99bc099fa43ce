#pragma once

#include "configuration.h"
#include "ratelimittable.h"
#include "streambeginnings.h"
#include <availability/stopschedule.h>

#include <admission/modelforecast.h>
#include <net/reactor.h>
#include <routing/crashfeature.h>
#include <routing/retrybudget.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Monitoring {
class Metrics;
}

namespace Resources {
class LoadShedder;
}

namespace Gateway {

class BackendRegistry;
class ConnectionPool;
class DemandTracker;
class DenialCheck;
class PermitExchange;
class QuotaLedger;
class RequestQueue;
class StreamOrigins;
class SuspectExchange;
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
    /// A request that a backend server lost; that incarnation of the server may have crashed.
    struct LostRequest
    {
        std::string backendId;
        std::int64_t startedAtMs = 0;
        std::vector<Routing::CrashFeature> features;
        bool isCutOff = true; ///< Not an answer that may be complete.
    };
    std::function<void(const LostRequest &)> onRequestLost = nullptr;
    /// Called when a connection to that incarnation of a server was lost or not accepted.
    std::function<void(const std::string &backendId, std::int64_t startedAtMs)> onConnectionLost =
        nullptr;
    /// Called when a server announces in an answer that it is leaving. `startedAtMs` is the Unix
    /// time at which the server was started.
    std::function<void(const std::string &backendId, std::int64_t startedAtMs)> onLeaving = nullptr;
    std::function<void()> onQuotaShortage =
        nullptr; ///< Called when a request finds too little quota.
    std::function<void()> onModelNeeded = nullptr; ///< Called when a request waits for a model.
    std::optional<Availability::StopSchedule> stop =
        {}; ///< Set once the process has been asked to stop.
    RateLimitTable rateLimits = {}; ///< Named by backend servers.
    PermitExchange *permits = nullptr; ///< Set before the first request arrives.
    SuspectExchange *suspects = nullptr; ///< Set before the first request arrives.
    StreamOrigins *streamOrigins = nullptr; ///< Set before the first request arrives.
    /// Called with each stream that begins and may be taken up.
    std::function<void(StreamBeginnings::Beginning)> onStreamBegun = nullptr;

    Admission::ModelForecast forecast = {}; ///< Of the placement lease's holder.
    std::shared_ptr<Resources::LoadShedder> shedder = nullptr; ///< Of all clients' connections.

    /// True if new requests are refused. Timers may be late, so the clock decides.
    auto isStopping() const -> bool { return stop && !stop->acceptsRequests(reactor.now()); }

    auto retryBudget(const std::string &service) -> Routing::RetryBudget &
    {
        const auto found = retryBudgets.find(service);
        if (found != retryBudgets.end())
            return found->second;
        return retryBudgets.emplace(service, makeRetryBudget()).first->second;
    }
};

} // namespace Gateway
