#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Storage {

/// One row. Each write increments `version`; 0 means that the row does not exist.
struct TableRow
{
    std::string key;
    nlohmann::json value;
    std::uint64_t version = 0;
};

/// The version that a row must have for a transaction to commit; 0 if it must not exist.
struct TableCondition
{
    std::string key;
    std::uint64_t version = 0;
};

struct TableWrite
{
    std::string key;
    std::optional<nlohmann::json> value; ///< No value deletes the row.
};

/// Writes that are applied atomically if all conditions hold.
struct TableTransaction
{
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;
};

/// Converts the transaction to the JSON format of the table service.
auto toJson(const TableTransaction &transaction) -> nlohmann::json;
auto tableTransactionFromJson(const nlohmann::json &document) -> std::optional<TableTransaction>;

} // namespace Storage
