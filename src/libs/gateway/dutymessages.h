#pragma once

#include "demandtracker.h"
#include "wireformat.h"

#include <admission/forecastsource.h>
#include <http1/socketaddress.h>
#include <utils/storeversion.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// The newest rows of the store that a gateway knows; exchanged between gateways.
struct StoreView
{
    Utils::StoreVersion configurationRow; ///< Version of the newest known row.
    Utils::StoreVersion serverRow;
    std::uint64_t outages =
        0; ///< How often the holder of the placement lease has seen the store recover.
    std::uint64_t configuration = 0; ///< The operators' number of the configuration in force.
};

/// Message that the holder of the placement lease sends to all gateways several times a second.
struct HolderMessage
{
    static constexpr const char *Kind = "holder";
    std::string name;
    Utils::StoreVersion lease; ///< Of the row with the lease.
    int gateways = 0; ///< Number of gateways that share the quotas.
    StoreView seen;
    std::vector<Http1::SocketAddress> members; ///< Addresses of the gateways that the holder knows.
    bool isReceiverAlive =
        false; ///< The holder recently received a message from the gateway that this is sent to.
    /// Loads under way; unset from gateways of versions that send none.
    std::optional<std::vector<Admission::ExpectedModel>> forecast = {};

    auto toJson() const -> nlohmann::json;
    static auto fromJson(const nlohmann::json &message) -> HolderMessage;
};

/// Message that the other gateways send to the holder.
struct DemandMessage
{
    static constexpr const char *Kind = "demand";
    std::string name;
    StoreView seen;
    nlohmann::json demand; ///< In the format of DemandAggregator.
    nlohmann::json versions; ///< In that of VersionDemand; earlier versions send none.

    auto toJson() const -> nlohmann::json;
    static auto fromJson(const nlohmann::json &message) -> DemandMessage;
};

/// Models and adapters of one engine, sent by the holder to the other gateways.
struct EngineMessage
{
    static constexpr const char *Kind = "engine";
    std::string id;
    EngineReport report;

    auto toJson() const -> nlohmann::json;
    static auto fromJson(const nlohmann::json &message) -> EngineMessage;
};

} // namespace Gateway
