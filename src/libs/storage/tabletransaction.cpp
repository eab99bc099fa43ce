#include "tabletransaction.h"

namespace Storage {

using nlohmann::json;

auto toJson(const TableTransaction &transaction) -> json
{
    json document = {{"conditions", json::array()}, {"writes", json::array()}};
    for (const auto &condition : transaction.conditions)
        document["conditions"].push_back({{"key", condition.key}, {"version", condition.version}});
    for (const auto &write : transaction.writes) {
        json entry = {{"key", write.key}};
        if (write.value)
            entry["value"] = *write.value;
        document["writes"].push_back(entry);
    }
    return document;
}

auto tableTransactionFromJson(const json &document) -> std::optional<TableTransaction>
{
    try {
        TableTransaction transaction;
        for (const auto &entry : document.at("conditions"))
            transaction.conditions.push_back(
                {entry.at("key").get<std::string>(), entry.at("version").get<std::uint64_t>()});
        for (const auto &entry : document.at("writes")) {
            TableWrite write;
            write.key = entry.at("key").get<std::string>();
            if (entry.contains("value"))
                write.value = entry["value"];
            transaction.writes.push_back(std::move(write));
        }
        return transaction;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace Storage
