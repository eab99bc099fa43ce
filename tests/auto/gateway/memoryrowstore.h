#pragma once

#include <gateway/rowstore.h>

#include <map>

/// A store with one table that answers each call at once.
class MemoryRowStore : public Gateway::RowStore
{
public:
    Utils::StoreEra era{};
    bool losesAnswers = false; ///< Writes take effect, and their callers don't learn of it.

    auto put(const std::string &key, const std::string &value) -> void
    {
        m_rows[key] = {key, value, {era, ++m_version}, false};
    }
    auto value(const std::string &key) const -> std::string { return m_rows.at(key).value; }

    auto list(const std::string &, const std::string &, ProgressCallback, RowsCallback done)
        -> CallId override
    {
        Gateway::RowSet answer;
        answer.version = {era, m_version};
        for (const auto &[key, row] : m_rows) {
            answer.rows.push_back(row);
            answer.rows.back().version.era = era;
        }
        done(answer);
        return 0;
    }
    auto changes(const std::string &, const Utils::StoreVersion &, std::chrono::milliseconds,
                 ProgressCallback, RowsCallback) -> CallId override
    {
        return 0;
    }
    auto abandon(CallId) -> void override { }
    auto write(const std::string &, const std::string &key,
               const Utils::StoreVersion &expectedVersion, const std::string &value,
               WriteCallback done) -> void override
    {
        const auto found = m_rows.find(key);
        const auto number = found == m_rows.end() ? 0 : found->second.version.number;
        if (number != expectedVersion.number)
            return done(tl::unexpected(Gateway::StoreError::Conflict));
        put(key, value);
        if (losesAnswers)
            return done(tl::unexpected(Gateway::StoreError::Unavailable));
        done(Utils::StoreVersion{era, m_version});
    }
    auto remove(const std::string &, const std::string &, const Utils::StoreVersion &,
                WriteCallback) -> void override
    { }

private:
    std::map<std::string, Gateway::Row> m_rows;
    std::uint64_t m_version = 0;
};
