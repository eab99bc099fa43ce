#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <string>

namespace Placement {

/// The backend servers that may hold a model. A revoked server still counts as a holder until its
/// agent has confirmed that the model is unloaded.
struct Permit
{
    std::set<std::string> granted;
    std::set<std::string> revoked;
    std::string primary; ///< The granted server where the model is loaded first.

    auto operator==(const Permit &) const -> bool = default;
    auto holderCount() const -> size_t { return granted.size() + revoked.size(); }
};

/// Key of a model's permit in the control state.
auto permitItemKey(const std::string &model) -> std::string;
auto toJson(const Permit &permit) -> nlohmann::json;
auto permitFromJson(const nlohmann::json &document) -> std::optional<Permit>;

} // namespace Placement
