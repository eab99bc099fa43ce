#pragma once

#include <gateway/rowstore.h>
#include <net/scheduler.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Tables that several `VirtualRowStoreClient`s share, with writes, eras and copies.
class VirtualRowStore
{
public:
    explicit VirtualRowStore(Net::Scheduler &scheduler)
        : m_scheduler(scheduler)
    { }

    /// The rows as they were at `at`; version numbers after them are given out again.
    auto restoreCopy(Utils::TimePoint at) -> void
    {
        std::erase_if(m_changes, [at](const Change &change) { return change.at > at; });
        era = Utils::StoreEra(static_cast<std::uint64_t>(era) + 1);
        m_newest = m_changes.empty() ? 0 : m_changes.back().row.version.number;
        m_tables.clear();
        for (Change &change : m_changes) {
            change.row.version.era = era;
            apply(change);
        }
    }
    auto put(const std::string &table, const std::string &key, const std::string &value)
        -> Utils::StoreVersion
    {
        const Gateway::Row row{key, value, {era, ++m_newest}, false};
        m_changes.push_back({m_scheduler.now(), table, row});
        apply(m_changes.back());
        return row.version;
    }
    auto erase(const std::string &table, const std::string &key) -> void
    {
        m_changes.push_back({m_scheduler.now(), table, {key, {}, {era, ++m_newest}, true}});
        apply(m_changes.back());
    }
    auto rows(const std::string &table) const -> const std::map<std::string, Gateway::Row> &
    {
        static const std::map<std::string, Gateway::Row> none;
        const auto found = m_tables.find(table);
        return found == m_tables.end() ? none : found->second;
    }
    auto value(const std::string &table, const std::string &key) const -> std::string
    {
        const auto &all = rows(table);
        const auto found = all.find(key);
        return found == all.end() ? std::string() : found->second.value;
    }
    auto version() const -> Utils::StoreVersion { return {era, m_newest}; }

    auto list(const std::string &table, const std::string &from) const -> Gateway::RowSet
    {
        Gateway::RowSet set;
        set.version = version();
        const auto &all = rows(table);
        for (auto it = all.lower_bound(from); it != all.end(); ++it) {
            if (set.rows.size() == pageSize) {
                set.hasMore = true;
                break;
            }
            set.rows.push_back(it->second);
        }
        return set;
    }
    auto changesAfter(const std::string &table, std::uint64_t after) const
        -> Utils::Result<Gateway::RowSet, Gateway::StoreError>
    {
        if (after > m_newest || isHistoryGone)
            return tl::unexpected(Gateway::StoreError::HistoryGone);
        Gateway::RowSet set;
        set.version = version();
        for (const Change &change : m_changes) {
            if (change.table == table && change.row.version.number > after)
                set.rows.push_back(change.row);
        }
        return set;
    }
    /// Replaces a row, or removes it if there is no value.
    auto commit(const std::string &table, const std::string &key, std::uint64_t expected,
                const std::string *value) -> Utils::Result<Utils::StoreVersion, Gateway::StoreError>
    {
        const auto &all = rows(table);
        const auto found = all.find(key);
        if ((found == all.end() ? 0 : found->second.version.number) != expected)
            return tl::unexpected(Gateway::StoreError::Conflict);
        if (value)
            return put(table, key, *value);
        erase(table, key);
        return version();
    }

    Utils::StoreEra era{0};
    size_t pageSize = 500;
    bool isHistoryGone = false;
    size_t reads = 0; ///< Calls, also those without an answer.
    size_t writes = 0;
    size_t bytes = 0; ///< Of rows in answers and of written values.

private:
    struct Change
    {
        Utils::TimePoint at;
        std::string table;
        Gateway::Row row;
    };

    auto apply(const Change &change) -> void
    {
        if (change.row.isRemoved)
            m_tables[change.table].erase(change.row.key);
        else
            m_tables[change.table][change.row.key] = change.row;
    }

    Net::Scheduler &m_scheduler;
    std::uint64_t m_newest = 0;
    std::vector<Change> m_changes;
    std::map<std::string, std::map<std::string, Gateway::Row>> m_tables;
};
