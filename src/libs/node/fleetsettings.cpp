#include "fleetsettings.h"

#include <utils/settingsreader.h>

namespace Node {

auto readFleetSettings(Utils::SettingsReader &reader, const std::string &role) -> FleetSettings
{
    FleetSettings settings;
    settings.role = role;
    settings.name = reader.string("name");
    settings.failureDomain = reader.string("failureDomain");
    settings.linkAddress = reader.address("linkAddress", true);
    settings.operatorAddress = reader.address("operatorAddress", false);
    settings.platformAddress = reader.address("platformAddress", true);
    settings.fleetSecret = reader.secretFile("fleetSecretFile");
    settings.peers = reader.addresses("peers");
    return settings;
}

} // namespace Node
