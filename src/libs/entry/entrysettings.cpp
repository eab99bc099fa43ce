#include "entrysettings.h"

#include <routing/routingconstants.h>
#include <utils/settingsreader.h>

namespace Entry {

auto readEntrySettings(Utils::SettingsReader &reader) -> EntrySettings
{
    constexpr long long maxBody = 64LL << 20;
    constexpr long long defaultBody = 4LL << 20;
    EntrySettings settings;
    settings.fleet = Node::readFleetSettings(reader, "entry");
    settings.callerAddress = reader.address("callerAddress", true);
    settings.mostBodyBytes =
        static_cast<std::size_t>(reader.integer("mostBodyBytes", 1, maxBody, defaultBody));
    settings.defaultDeadline = reader.milliseconds("defaultDeadlineMs", std::chrono::seconds(30));
    settings.longestDeadline = reader.milliseconds("longestDeadlineMs", std::chrono::minutes(10));
    settings.contractShares = reader.choice("contractShares", {"demand", "static"}, "demand");
    settings.wakePlacement = reader.choice("wakePlacement", {"nearest", "least-loaded"}, "nearest");
    settings.retryRatio = reader.number("retryRatio", 0, 10, Routing::Constants::RetryRatio);
    return settings;
}

} // namespace Entry
