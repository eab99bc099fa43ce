#pragma once

#include <control/change.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Control {

/// What a node answers to a peer that pulls from it.
struct PeerAnswer
{
    std::string name;
    std::string incarnation;
    /// False until this process has itself been fresh since its start; then it counts for no
    /// majority.
    bool isCaughtUp = false;
    Revision revision = 0;
    /// Age of the answerer's own proof of freshness; nothing when it has none.
    std::optional<std::chrono::milliseconds> age;
    std::vector<Change> changes;
    std::optional<nlohmann::json>
        snapshot; ///< In place of changes when the asker is too far behind.
};

auto toJson(const PeerAnswer &answer) -> nlohmann::json;
auto peerAnswerFromJson(const nlohmann::json &document) -> std::optional<PeerAnswer>;

} // namespace Control
