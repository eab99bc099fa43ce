#pragma once

#include "placementcoordinator.h"
#include "quotaledger.h"

#include <http1/socketaddress.h>

#include <chrono>
#include <optional>
#include <string>

namespace Utils {
class SettingsReader;
}

namespace Gateway {

/// What a gateway is told.
struct GatewaySettings
{
    std::string name; ///< Of the machine.
    std::string failureDomain;
    Http1::SocketAddress callerAddress;
    Http1::SocketAddress readinessAddress;
    Http1::SocketAddress peerAddress; ///< For datagrams between gateways.
    Http1::SocketAddress storeAddress;
    std::optional<Http1::SocketAddress> metricsAddress;
    bool isFirstStart = false; ///< The whole system starts for the first time.
    std::chrono::milliseconds stopTime{8000}; ///< From the request to stop until the kill.
    /// From a server's word in the list that it leaves until no request may reach it.
    std::chrono::milliseconds leaveNotice{2000};
    /// From the store's word for a configuration until it must be in force everywhere.
    std::chrono::milliseconds configurationApplyTime{2000};
    double retryRatio = 0; ///< Retries for each request, over all gateways.
    double retrySlack = 0; ///< Retries beyond that in one window, over all gateways.
    QuotaTolerance quotaTolerance;
    PlacementLimits placement;
};

/// Reads the settings; faults are collected in the reader.
auto readGatewaySettings(Utils::SettingsReader &reader) -> GatewaySettings;

} // namespace Gateway
