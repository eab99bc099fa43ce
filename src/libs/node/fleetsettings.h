#pragma once

#include <string>
#include <vector>

namespace Utils {
class SettingsReader;
}

namespace Node {

/// Settings that all processes of the fleet have in common.
struct FleetSettings
{
    std::string name;
    std::string role; ///< "entry" or "agent".
    std::string failureDomain;
    std::string linkAddress; ///< Address for links from other processes.
    std::string operatorAddress; ///< Address for metrics and status; may be empty.
    std::string platformAddress;
    std::string fleetSecret;
    std::vector<std::string> peers; ///< Used while the register is unknown.
};

/// Reads the common settings; errors are collected in the reader.
auto readFleetSettings(Utils::SettingsReader &reader, const std::string &role) -> FleetSettings;

} // namespace Node
