#include "standintable.h"

#include <algorithm>

namespace StandIns {

using Storage::TableRow;
using Storage::TableTransaction;

auto StandInTable::commit(const TableTransaction &transaction) -> bool
{
    const auto holds = [this](const auto &condition) {
        return versionOf(condition.key) == condition.version;
    };
    if (!std::all_of(transaction.conditions.begin(), transaction.conditions.end(), holds))
        return false;
    for (const auto &write : transaction.writes) {
        if (!write.value) {
            m_rows.erase(write.key);
            continue;
        }
        TableRow &row = m_rows[write.key];
        row.key = write.key;
        row.value = *write.value;
        ++row.version;
    }
    return true;
}

auto StandInTable::scan(const std::string &first, const std::string &last, size_t limit) const
    -> std::vector<TableRow>
{
    std::vector<TableRow> rows;
    for (auto at = m_rows.lower_bound(first);
         at != m_rows.end() && at->first < last && rows.size() < limit; ++at)
        rows.push_back(at->second);
    return rows;
}

auto StandInTable::versionOf(const std::string &key) const -> std::uint64_t
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? 0 : found->second.version;
}

} // namespace StandIns
