#pragma once

#include <storage/tabletransaction.h>

#include <map>
#include <string>
#include <vector>

namespace StandIns {

/// An in-memory table with transactions.
class StandInTable
{
public:
    /// Returns false and changes nothing if a condition does not hold.
    auto commit(const Storage::TableTransaction &transaction) -> bool;
    auto scan(const std::string &first, const std::string &last, size_t limit) const
        -> std::vector<Storage::TableRow>;
    auto versionOf(const std::string &key) const -> std::uint64_t;

private:
    std::map<std::string, Storage::TableRow> m_rows;
};

} // namespace StandIns
