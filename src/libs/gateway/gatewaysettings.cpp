#include "gatewaysettings.h"

#include <utils/settingsreader.h>

namespace Gateway {

namespace {

auto readAddress(Utils::SettingsReader &reader, const std::string &field) -> Http1::SocketAddress
{
    // A faulty address is in the reader's list of faults already.
    return Http1::SocketAddress::parse(reader.address(field, true))
        .value_or(Http1::SocketAddress());
}

} // namespace

auto readGatewaySettings(Utils::SettingsReader &reader) -> GatewaySettings
{
    constexpr double mostRetryRatio = 10;
    constexpr double mostRetrySlack = 1e6;
    GatewaySettings settings;
    settings.name = reader.string("name");
    settings.failureDomain = reader.string("failureDomain");
    settings.callerAddress = readAddress(reader, "callerAddress");
    settings.readinessAddress = readAddress(reader, "readinessAddress");
    settings.peerAddress = readAddress(reader, "peerAddress");
    settings.storeAddress = readAddress(reader, "storeAddress");
    const std::string metrics = reader.address("metricsAddress", false);
    if (!metrics.empty()) {
        const auto parsed = Http1::SocketAddress::parse(metrics);
        if (parsed)
            settings.metricsAddress = *parsed;
    }
    settings.isFirstStart = reader.boolean("firstStart", false);
    settings.stopTime = reader.milliseconds("stopTimeMs", settings.stopTime);
    settings.leaveNotice = reader.milliseconds("leaveNoticeMs", settings.leaveNotice);
    settings.configurationApplyTime =
        reader.milliseconds("configurationApplyTimeMs", settings.configurationApplyTime);
    constexpr double usualRatio = 0.2;
    constexpr double usualSlack = 50;
    settings.retryRatio = reader.number("retryRatio", 0, mostRetryRatio, usualRatio);
    settings.retrySlack = reader.number("retrySlack", 0, mostRetrySlack, usualSlack);
    constexpr double noCost = -1;
    constexpr double highestCost = 1e6;
    const double cost = reader.number("crossDomainCostMsPerMb", 0, highestCost, noCost);
    if (cost >= 0)
        settings.crossDomainCostPerMb = std::chrono::duration<double, std::milli>(cost);
    settings.quotaTolerance.window =
        reader.milliseconds("quotaWindowMs", std::chrono::milliseconds(0));
    settings.quotaTolerance.share = reader.number("quotaTolerance", 0, 1, 0);
    settings.coldStartTolerance.factor = reader.number("coldStartFactor", 0, mostRetryRatio, 1);
    settings.coldStartTolerance.extraRequests =
        reader.number("coldStartSlack", 0, mostRetrySlack, 0);
    settings.placement.leaseTime = reader.milliseconds("leaseTimeMs", settings.placement.leaseTime);
    settings.placement.processorShare = reader.number("processorShare", 0, 1024, 1);
    settings.placement.loadWindow =
        reader.milliseconds("loadWindowMs", settings.placement.loadWindow);
    constexpr int largest = 1 << 20;
    settings.memoryMb = static_cast<int>(reader.integer("memoryMb", 1, largest, settings.memoryMb));
    settings.maxFds = static_cast<int>(reader.integer("maxFds", 1, largest, settings.maxFds));
    return settings;
}

} // namespace Gateway
