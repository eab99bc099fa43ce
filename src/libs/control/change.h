#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Control {

/// Number of a state of the control data; grows by one with each committed change.
using Revision = std::uint64_t;

/// One committed step of the control state.
struct Change
{
    Revision revision = 0;
    std::string token; ///< Identifies the attempt that committed it.
    std::string author; ///< Person or program that made it.
    std::string reason; ///< What it was for, in a few words.
    std::int64_t wallClockMs = 0;
    std::map<std::string, nlohmann::json> puts;
    std::vector<std::string> deletes;
};

auto toJson(const Change &change) -> nlohmann::json;
/// Nothing when the document does not have the shape of a change.
auto changeFromJson(const nlohmann::json &document) -> std::optional<Change>;

} // namespace Control
