#pragma once

#include <string>
#include <vector>

namespace Utils {
class SettingsReader;
}

namespace Node {

/// What every process of the fleet is told of itself and its surroundings.
struct FleetSettings
{
    std::string name;
    std::string role; ///< "entry" or "agent".
    std::string failureDomain;
    std::string linkAddress; ///< Where other processes reach this one.
    std::string operatorAddress; ///< Where operators read metrics and state; may be empty.
    std::string platformAddress;
    std::string fleetSecret;
    std::vector<std::string> peers; ///< To ask while the register is unknown.
};

/// Reads the common settings; faults are collected in the reader.
auto readFleetSettings(Utils::SettingsReader &reader, const std::string &role) -> FleetSettings;

} // namespace Node
