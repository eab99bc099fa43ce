#include "peeranswer.h"
#include <utils/jsonfield.h>

namespace Control {

using nlohmann::json;

auto toJson(const PeerAnswer &answer) -> json
{
    json document = {{"name", answer.name},
                     {"incarnation", answer.incarnation},
                     {"caughtUp", answer.isCaughtUp},
                     {"revision", answer.revision}};
    if (answer.age)
        document["age"] = answer.age->count();
    for (const auto &change : answer.changes)
        document["changes"].push_back(toJson(change));
    if (answer.snapshot)
        document["snapshot"] = *answer.snapshot;
    return document;
}

auto peerAnswerFromJson(const json &document) -> std::optional<PeerAnswer>
{
    try {
        PeerAnswer answer;
        answer.name = document.at("name").get<std::string>();
        answer.incarnation = document.at("incarnation").get<std::string>();
        answer.isCaughtUp = document.at("caughtUp").get<bool>();
        answer.revision = document.at("revision").get<Revision>();
        if (document.contains("age"))
            answer.age = std::chrono::milliseconds(document["age"].get<std::int64_t>());
        for (const auto &entry : Utils::fieldOr(document, "changes", json::array())) {
            const auto change = changeFromJson(entry);
            if (!change)
                return std::nullopt;
            answer.changes.push_back(*change);
        }
        if (document.contains("snapshot"))
            answer.snapshot = document["snapshot"];
        return answer;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace Control
