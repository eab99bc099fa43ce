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

/// What the agent beside one backend server is told.
struct AgentSettings
{
    Node::FleetSettings fleet;
    std::string serverName;
    std::string serverKind; ///< "engine" or "service".
    std::string serverGroup;
    std::string serverAddress;
    std::uint64_t memoryBytes = 0;
    int slots = 8; ///< Requests that the backend server runs at once.
    bool serverHonoursFencing = false;
    std::chrono::milliseconds orderLinger{
        0}; ///< Longest time after which a lost order takes effect.
    std::chrono::milliseconds loadTimeout{0};
    std::chrono::milliseconds typicalLoad{0};
    Placement::LoadLimits storeLimits;
    std::string queueOrder;
    std::string keepWarm;
    std::string loadPacing;
};

/// Reads the settings; faults are collected in the reader.
auto readAgentSettings(Utils::SettingsReader &reader) -> AgentSettings;

/// What the control state says of a backend server.
auto backendItemKey(const std::string &serverName) -> std::string;
auto backendItem(const AgentSettings &settings) -> nlohmann::json;

} // namespace Agent
