#pragma once

#include <node/fleetsettings.h>
#include <placement/loadpacer.h>
#include <utils/result.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Utils {
class SettingsReader;
}

namespace Agent {

/// Settings of the agent of one backend server.
struct AgentSettings
{
    Node::FleetSettings fleet;
    std::string serverName;
    std::string serverKind; ///< "engine" or "service".
    std::string serverGroup;
    std::string serverAddress;
    std::uint64_t memoryBytes = 0;
    int slots = 8; ///< Number of requests that the backend server runs concurrently.
    bool serverHonoursFencing = false;
    std::chrono::milliseconds orderLinger{0}; ///< Maximum delay until a lost order takes effect.
    std::chrono::milliseconds loadTimeout{0};
    std::chrono::milliseconds typicalLoad{0};
    Placement::LoadLimits storeLimits;
    std::string queueOrder;
    std::string keepWarm;
    std::string loadPacing;
};

/// Reads the settings; errors are collected in the reader.
auto readAgentSettings(Utils::SettingsReader &reader) -> AgentSettings;

/// Key and value of a backend server's item in the control state.
auto backendItemKey(const std::string &serverName) -> std::string;
auto backendItem(const AgentSettings &settings) -> nlohmann::json;

} // namespace Agent
