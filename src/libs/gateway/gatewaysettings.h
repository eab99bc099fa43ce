#pragma once

#include "placementcoordinator.h"
#include "quotaledger.h"

#include <availability/coldstarttolerance.h>
#include <http1/socketaddress.h>
#include <resources/resourceconstants.h>

#include <chrono>
#include <optional>
#include <string>

namespace Utils {
class SettingsReader;
}

namespace Gateway {

/// Settings of a gateway.
struct GatewaySettings
{
    std::string name; ///< Name of the machine.
    std::string failureDomain;
    Http1::SocketAddress callerAddress;
    Http1::SocketAddress readinessAddress;
    Http1::SocketAddress peerAddress; ///< For datagrams between gateways.
    Http1::SocketAddress storeAddress;
    std::optional<Http1::SocketAddress> metricsAddress;
    bool isFirstStart = false; ///< The whole system starts for the first time.
    std::chrono::milliseconds stopTime{
        8000}; ///< From the stop request until the process is killed.
    /// From a server's entry in the list that it leaves until no request may be sent to it.
    std::chrono::milliseconds leaveNotice{2000};
    /// From a configuration's write to the store until it must be in force everywhere.
    std::chrono::milliseconds configurationApplyTime{2000};
    double retryRatio = 0; ///< Retries for each request, over all gateways.
    double retrySlack = 0; ///< Retries beyond that in one window, over all gateways.
    /// Delay that is accepted to save a megabyte sent between failure domains.
    std::optional<std::chrono::duration<double, std::milli>> crossDomainCostPerMb;
    QuotaTolerance quotaTolerance;
    Availability::ColdStartTolerance coldStartTolerance;
    PlacementLimits placement;
    int memoryMb = Resources::Constants::DefaultMemoryMb; ///< Of the process.
    int maxFds = Resources::Constants::DefaultMaxFds; ///< Of the process, including files.
};

/// Reads the settings; errors are collected in the reader.
auto readGatewaySettings(Utils::SettingsReader &reader) -> GatewaySettings;

} // namespace Gateway
