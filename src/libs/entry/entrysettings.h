#pragma once

#include <node/fleetsettings.h>

#include <chrono>
#include <cstddef>
#include <string>

namespace Utils {
class SettingsReader;
}

namespace Entry {

/// Settings of an entry.
struct EntrySettings
{
    Node::FleetSettings fleet;
    std::string callerAddress;
    std::size_t mostBodyBytes = 0;
    std::chrono::milliseconds defaultDeadline{0};
    std::chrono::milliseconds longestDeadline{0};
    std::string contractShares;
    std::string wakePlacement;
    double retryRatio = 0;
};

/// Reads the settings; errors are collected in the reader.
auto readEntrySettings(Utils::SettingsReader &reader) -> EntrySettings;

} // namespace Entry
