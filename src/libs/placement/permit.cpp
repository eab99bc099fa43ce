#include "permit.h"

#include <utils/jsonfield.h>

namespace Placement {

using nlohmann::json;

auto permitItemKey(const std::string &model) -> std::string
{
    return "permit/" + model;
}

auto toJson(const Permit &permit) -> json
{
    return {{"granted", permit.granted}, {"revoked", permit.revoked}, {"primary", permit.primary}};
}

auto permitFromJson(const json &document) -> std::optional<Permit>
{
    try {
        return Permit{document.at("granted").get<std::set<std::string>>(),
                      document.at("revoked").get<std::set<std::string>>(),
                      Utils::fieldOr(document, "primary", "")};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace Placement
