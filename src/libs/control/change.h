#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Control {

/// Version number of the control state; each committed change increments it by one.
using Revision = std::uint64_t;

/// One committed change of the control state.
struct Change
{
    Revision revision = 0;
    std::string token; ///< Identifies the proposal that committed it.
    std::string author; ///< Person or program that made the change.
    std::string reason; ///< Short description of the purpose.
    std::int64_t wallClockMs = 0;
    std::map<std::string, nlohmann::json> puts;
    std::vector<std::string> deletes;
};

auto toJson(const Change &change) -> nlohmann::json;
/// Returns nothing if the document is not a valid change.
auto changeFromJson(const nlohmann::json &document) -> std::optional<Change>;

} // namespace Control
