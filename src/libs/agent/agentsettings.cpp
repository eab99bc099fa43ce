#include "agentsettings.h"

#include <utils/settingsreader.h>

namespace Agent {

auto readAgentSettings(Utils::SettingsReader &reader) -> AgentSettings
{
    constexpr long long maxMebibytes = 64LL << 20;
    constexpr long long maxSlots = 10000;
    AgentSettings settings;
    settings.fleet = Node::readFleetSettings(reader, "agent");
    settings.serverName = reader.string("serverName");
    settings.serverKind = reader.choice("serverKind", {"engine", "service"}, "engine");
    settings.serverGroup = reader.string("serverGroup");
    settings.serverAddress = reader.address("serverAddress", true);
    settings.memoryBytes =
        static_cast<std::uint64_t>(reader.integer("memoryMiB", 1, maxMebibytes, 1)) << 20;
    settings.slots = static_cast<int>(reader.integer("slots", 1, maxSlots, 8));
    settings.serverHonoursFencing = reader.boolean("serverHonoursFencing", false);
    settings.orderLinger = reader.milliseconds("orderLingerMs", std::chrono::seconds(5));
    settings.loadTimeout = reader.milliseconds("loadTimeoutMs", std::chrono::seconds(60));
    settings.typicalLoad = reader.milliseconds("typicalLoadMs", std::chrono::seconds(2));
    settings.storeLimits.perSecond = reader.number("storeLoadsPerSecond", 0.01, 10000, 3);
    settings.storeLimits.maxConcurrent =
        static_cast<int>(reader.integer("storeLoadsAtOnce", 1, 10000, 4));
    settings.queueOrder = reader.choice("queueOrder", {"fair", "first-come"}, "fair");
    settings.keepWarm = reader.choice("keepWarm", {"history", "fixed"}, "history");
    settings.loadPacing = reader.choice("loadPacing", {"paced", "unpaced"}, "paced");
    return settings;
}

auto backendItemKey(const std::string &serverName) -> std::string
{
    return "backend/" + serverName;
}

auto backendItem(const AgentSettings &settings) -> nlohmann::json
{
    return {
        {"name", settings.serverName},           {"kind", settings.serverKind},
        {"group", settings.serverGroup},         {"agent", settings.fleet.name},
        {"address", settings.fleet.linkAddress}, {"failureDomain", settings.fleet.failureDomain},
        {"memoryBytes", settings.memoryBytes},   {"leaving", false}};
}

} // namespace Agent
