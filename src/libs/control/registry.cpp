#include "registry.h"

namespace Control {

using nlohmann::json;

auto instanceItemKey(const std::string &name) -> std::string
{
    return "instance/" + name;
}

auto toJson(const RegisteredInstance &instance) -> json
{
    return {{"name", instance.name},
            {"role", instance.role},
            {"failureDomain", instance.failureDomain},
            {"address", instance.address},
            {"incarnation", instance.incarnation}};
}

auto instanceFromJson(const json &document) -> std::optional<RegisteredInstance>
{
    try {
        return RegisteredInstance{document.at("name").get<std::string>(),
                                  document.at("role").get<std::string>(),
                                  document.at("failureDomain").get<std::string>(),
                                  document.at("address").get<std::string>(),
                                  document.at("incarnation").get<std::string>()};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

auto majorityOf(size_t size) -> size_t
{
    return size / 2 + 1;
}

} // namespace Control
