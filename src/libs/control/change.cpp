#include "change.h"

namespace Control {

using nlohmann::json;

auto toJson(const Change &change) -> json
{
    return {{"revision", change.revision}, {"token", change.token},    {"author", change.author},
            {"reason", change.reason},     {"at", change.wallClockMs}, {"puts", change.puts},
            {"deletes", change.deletes}};
}

auto changeFromJson(const json &document) -> std::optional<Change>
{
    try {
        Change change;
        change.revision = document.at("revision").get<Revision>();
        change.token = document.at("token").get<std::string>();
        change.author = document.at("author").get<std::string>();
        change.reason = document.at("reason").get<std::string>();
        change.wallClockMs = document.at("at").get<std::int64_t>();
        change.puts = document.at("puts").get<std::map<std::string, json>>();
        change.deletes = document.at("deletes").get<std::vector<std::string>>();
        return change;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace Control
