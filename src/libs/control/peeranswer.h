#pragma once

#include <control/change.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Control {

/// A node's answer to a peer that pulls from it.
struct PeerAnswer
{
    std::string name;
    std::string incarnation;
    /// True once this process has proved freshness after its start. Until then it does not count
    /// towards a majority.
    bool isCaughtUp = false;
    Revision revision = 0;
    /// Age of the answering node's proof of freshness; nothing if it has none.
    std::optional<std::chrono::milliseconds> age;
    std::vector<Change> changes;
    std::optional<nlohmann::json> snapshot; ///< Replaces the changes if the peer is too far behind.
};

auto toJson(const PeerAnswer &answer) -> nlohmann::json;
auto peerAnswerFromJson(const nlohmann::json &document) -> std::optional<PeerAnswer>;

} // namespace Control
