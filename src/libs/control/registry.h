#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>

namespace Control {

/// One process of the fleet as registered in the control state.
struct RegisteredInstance
{
    std::string name;
    std::string role; ///< "entry" or "agent".
    std::string failureDomain;
    std::string address; ///< Where it accepts links.
    std::string incarnation;

    auto operator==(const RegisteredInstance &) const -> bool = default;
};

using Registry = std::map<std::string, RegisteredInstance>;

/// Key of an instance's item in the control state.
auto instanceItemKey(const std::string &name) -> std::string;
auto toJson(const RegisteredInstance &instance) -> nlohmann::json;
auto instanceFromJson(const nlohmann::json &document) -> std::optional<RegisteredInstance>;

/// The smallest number that is more than half of `size`.
auto majorityOf(size_t size) -> size_t;

} // namespace Control
