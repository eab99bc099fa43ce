#pragma once

#include "coldstartdescription.h"
#include "coldstartshare.h"
#include "coldstarttolerance.h"
#include "gatewayview.h"

#include <utils/timepoint.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Availability {

/// Limits what this gateway sends to servers that have started lately, so that all gateways
/// together stay within what a cold server tolerates without exchanging a message: only some of
/// the known gateways send to it, each with a fixed share of the rate.
class ColdStartLimiter
{
public:
    auto setTolerance(const ColdStartTolerance &tolerance) -> void;
    auto setService(const std::string &service, const ColdStartDescription &description) -> void;
    /// `count` is the number of gateways that exist as far as is known. Without any call, nothing
    /// is sent to cold servers.
    template <typename Address>
    auto setGateways(const Address &own, const std::vector<Address> &others, int count,
                     Utils::TimePoint now) -> void
    {
        std::vector<std::string> names;
        names.reserve(others.size());
        for (const Address &other : others)
            names.push_back(other.toString());
        setGatewayNames(own.toString(), names, count, now);
    }
    auto setGatewayNames(const std::string &own, const std::vector<std::string> &others, int count,
                         Utils::TimePoint now) -> void;

    /// The server is listed as cold for `remaining`; 0 if it isn't.
    auto update(const std::string &server, std::int64_t startedAtMs, const std::string &service,
                const std::string &domain, std::chrono::milliseconds remaining,
                Utils::TimePoint now) -> void;
    /// That incarnation says itself for how long it is cold.
    auto noteRemaining(const std::string &server, std::int64_t startedAtMs,
                       std::chrono::milliseconds remaining, Utils::TimePoint now) -> void;
    /// An evacuation of the domain ended. Its servers are cold now, before their entries say so.
    auto noteEvacuationEnded(const std::string &domain, Utils::TimePoint now) -> void;
    auto remove(const std::string &server) -> void;

    auto isCold(const std::string &server, Utils::TimePoint now) const -> bool;
    auto coldServers(Utils::TimePoint now) const -> int;
    /// True if the server isn't cold, or this gateway's share of its rate allows a request now.
    auto maySend(const std::string &server, Utils::TimePoint now) const -> bool;
    /// Uses up this gateway's share for a request. Returns until when the request must be written;
    /// unset if the server isn't cold.
    auto take(const std::string &server, Utils::TimePoint now) -> std::optional<Utils::TimePoint>;
    /// True if a request for which `take` returned that may be written now.
    auto mayWrite(const std::string &server, const std::optional<Utils::TimePoint> &usableUntil,
                  Utils::TimePoint now) const -> bool;
    /// Logs the request if the server is cold, and returns whether it is.
    auto noteWritten(const std::string &request, const std::string &server,
                     Utils::TimePoint now) const -> bool;
    /// The server's number of requests, weighted for the choice among servers.
    auto weightedLoad(const std::string &server, double requests, Utils::TimePoint now) const
        -> double;
    /// This gateway's share of the server's rate; without gateways if it has none.
    auto shareOf(const std::string &server) const -> ColdStartShare;

private:
    struct Server
    {
        std::int64_t startedAtMs = 0;
        std::string service;
        std::string domain;
        std::optional<Utils::TimePoint> reportedUntil;
        std::optional<Utils::TimePoint> lastTakenAt;
        mutable std::optional<ColdStartShare> share; ///< Cache, until the gateways change.
    };

    auto isCold(const Server &server, Utils::TimePoint now) const -> bool;
    auto shareOf(const std::string &id, const Server &server) const -> ColdStartShare;
    auto clearShares() -> void;

    ColdStartTolerance m_tolerance;
    std::map<std::string, ColdStartDescription> m_services;
    GatewayView m_gateways;
    std::map<std::string, Utils::TimePoint> m_evacuationEnds; ///< By domain.
    std::map<std::string, Server> m_servers;
};

} // namespace Availability
