// Stand-in for the platform's metadata store: rows, conditional writes, long polls.
#pragma once

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Review {

class Store
{
public:
    explicit Store(const std::string &ip);

    auto ip() const -> const std::string & { return m_ip; }
    auto port() const -> int { return m_port; }
    /// Opens a further port, so that calls of one machine can be told from those of others.
    auto addPort() -> int;
    /// The store answers 503 to all calls on that port, those that wait for changes included.
    auto setRefusing(int port, bool refuses) -> void;
    /// Writes a row as the operator or an engine does.
    auto put(const std::string &table, const std::string &key, const std::string &value) -> void;
    auto remove(const std::string &table, const std::string &key) -> void;
    /// Value of a row; empty if there is none.
    auto value(const std::string &table, const std::string &key) -> std::string;

private:
    struct Row
    {
        std::string value; ///< In base64.
        std::uint64_t version = 0;
    };
    struct Change
    {
        std::uint64_t version = 0;
        std::string table;
        std::string key;
    };
    using RowId = std::pair<std::string, std::string>;

    auto serve(int fd, int port) -> void;
    auto isRefusing(int port) -> bool;
    auto answer(const std::string &method, const std::string &target, const std::string &body,
                int &status) -> nlohmann::json;
    auto transact(const nlohmann::json &call, int &status) -> nlohmann::json;
    auto list(const std::map<std::string, std::string> &query) -> nlohmann::json;
    auto changes(const std::map<std::string, std::string> &query) -> nlohmann::json;
    auto rowToJson(const RowId &id) const -> nlohmann::json;
    auto note(const RowId &id) -> void;
    static auto nowMs() -> std::int64_t;

    std::string m_ip;
    int m_port = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<int> m_refusingPorts;
    std::map<RowId, Row> m_rows;
    std::vector<Change> m_history;
    std::uint64_t m_version = 0;
};

} // namespace Review
