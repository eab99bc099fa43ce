#pragma once

#include "demandtracker.h"
#include "wireformat.h"

#include <http1/socketaddress.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Gateway {

/// What a gateway knows of the store, as gateways tell each other.
struct StoreView
{
    std::uint64_t configurationRow = 0; ///< Version of the newest row known.
    std::uint64_t serverRow = 0;
    std::uint64_t outages = 0; ///< How often the holder saw the store come back.
};

/// What the holder of the placement duty tells all gateways, several times a second.
struct HolderMessage
{
    static constexpr const char *Kind = "holder";
    std::string name;
    std::uint64_t lease = 0; ///< Version of the lease's row.
    int gateways = 0; ///< That share the quotas.
    StoreView seen;
    std::vector<Http1::SocketAddress> members; ///< Gateways that the holder knows.
    bool isReceiverAlive = false; ///< The holder has just heard the gateway that this is sent to.

    auto toJson() const -> nlohmann::json;
    static auto fromJson(const nlohmann::json &message) -> HolderMessage;
};

/// What the other gateways tell the holder.
struct DemandMessage
{
    static constexpr const char *Kind = "demand";
    std::string name;
    StoreView seen;
    nlohmann::json demand; ///< In the form of DemandAggregator.

    auto toJson() const -> nlohmann::json;
    static auto fromJson(const nlohmann::json &message) -> DemandMessage;
};

/// What one engine holds, as the holder tells the others.
struct EngineMessage
{
    static constexpr const char *Kind = "engine";
    std::string id;
    EngineReport report;

    auto toJson() const -> nlohmann::json;
    static auto fromJson(const nlohmann::json &message) -> EngineMessage;
};

} // namespace Gateway
