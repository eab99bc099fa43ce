// The platform's store: rows, long polls for changes and conditional transactions.
#pragma once

#include "net.hh"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace standins {

class Store
{
public:
    using Json = nlohmann::json;

    Store()
        : m_listener(listenOn())
    {
        std::thread([this] { acceptAll(m_listener, false); }).detach();
    }

    auto port() const -> int { return portOf(m_listener); }
    /// A further port, for the machine that the store turns away at times.
    auto addPort() -> int
    {
        const int listener = listenOn();
        std::thread([this, listener] { acceptAll(listener, true); }).detach();
        return portOf(listener);
    }
    /// Answers 503 to all calls at the further port, those that wait included.
    auto turnAway(bool turnsAway) -> void
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_turnsAway = turnsAway;
        m_changed.notify_all();
    }

    /// Writes a row as the operator or an engine does.
    auto put(const std::string &table, const std::string &key, const std::string &value) -> void
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_rows[{table, key}] = {value, ++m_version, false};
        m_changed.notify_all();
    }
    auto remove(const std::string &table, const std::string &key) -> void
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_rows[{table, key}] = {"", ++m_version, true};
        m_changed.notify_all();
    }
    auto value(const std::string &table, const std::string &key) -> std::string
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_rows.find({table, key});
        return found == m_rows.end() ? std::string() : found->second.value;
    }

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    auto acceptAll(int listener, bool isFurther) -> void
    {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                std::thread([this, fd, isFurther] { serve(fd, isFurther); }).detach();
        }
    }

    auto serve(int fd, bool isFurther) -> void
    {
        Connection connection(fd);
        Message call;
        while (connection.read(call, nowMs() + 600000, false)) {
            int status = 200;
            const std::string body = answer(call, isFurther, status).dump();
            connection.send("HTTP/1.1 " + std::to_string(status)
                            + " Answer\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                              "Content-Length: "
                            + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
    }

    static auto decoded(const std::string &text) -> std::string
    {
        std::string result;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }

    static auto parameters(const std::string &target) -> std::map<std::string, std::string>
    {
        std::map<std::string, std::string> values;
        size_t from = target.find('?');
        while (from != std::string::npos && from < target.size()) {
            const auto end = std::min(target.find('&', from + 1), target.size());
            const std::string pair = target.substr(from + 1, end - from - 1);
            const auto equals = pair.find('=');
            values[pair.substr(0, equals)] = decoded(pair.substr(equals + 1));
            from = end;
        }
        return values;
    }

    static auto base64(const std::string &text) -> std::string
    {
        static const char *const digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string result;
        for (size_t i = 0; i < text.size(); i += 3) {
            unsigned block = 0;
            for (size_t k = 0; k < 3; ++k)
                block = block << 8
                    | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
            for (size_t k = 0; k < 4; ++k)
                result += i + k <= text.size() ? digits[block >> (18 - 6 * k) & 63] : '=';
        }
        return result;
    }

    static auto unbase64(const std::string &text) -> std::string
    {
        static const std::string digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string result;
        unsigned block = 0;
        int bits = 0;
        for (const char c : text) {
            const auto digit = digits.find(c);
            if (digit == std::string::npos)
                break;
            block = block << 6 | static_cast<unsigned>(digit);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                result += static_cast<char>(block >> bits & 255);
            }
        }
        return result;
    }

    auto rowToJson(const std::pair<std::string, std::string> &id, const Row &row) const -> Json
    {
        Json json = {
            {"table", id.first}, {"part", ""}, {"key", id.second}, {"ver", row.version}};
        if (row.isRemoved)
            json["removed"] = true;
        else
            json["value"] = base64(row.value);
        return json;
    }

    auto answer(const Message &call, bool isFurther, int &status) -> Json
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::string target = call.target();
        auto given = parameters(target);
        Json rows = Json::array();
        const auto isTurnedAway = [this, isFurther] { return isFurther && m_turnsAway; };
        if (isTurnedAway()) {
            status = 503;
        } else if (target.starts_with("/-/rows-get")) {
            for (const auto &[id, row] : m_rows) {
                if (id.first == given["table"] && !row.isRemoved && id.second >= given["from"])
                    rows.push_back(rowToJson(id, row));
            }
        } else if (target.starts_with("/-/rows-feed")) {
            const auto after = std::stoull(given["after"]);
            const auto collect = [&] {
                rows = Json::array();
                std::map<std::uint64_t, Json> byVersion;
                for (const auto &[id, row] : m_rows) {
                    if (id.first == given["table"] && row.version > after)
                        byVersion[row.version] = rowToJson(id, row);
                }
                for (const auto &[version, row] : byVersion)
                    rows.push_back(row);
                return !rows.empty();
            };
            m_changed.wait_for(lock, std::chrono::milliseconds(std::stoll(given["waitMs"])),
                               [&] { return isTurnedAway() || collect(); });
            if (isTurnedAway()) {
                rows = Json::array();
                status = 503;
            }
        } else if (target == "/-/rows-tx") {
            const Json body = Json::parse(call.body);
            for (const Json &row : body["expected"]) {
                const auto found = m_rows.find({row["table"], row["key"]});
                const bool exists = found != m_rows.end() && !found->second.isRemoved;
                if ((exists ? found->second.version : 0) != row["ver"].get<std::uint64_t>())
                    status = 412;
                if (exists)
                    rows.push_back(rowToJson(found->first, found->second));
            }
            if (status == 200) {
                ++m_version;
                for (const Json &row : body["put"])
                    m_rows[{row["table"], row["key"]}] = {unbase64(row["value"]), m_version, false};
                for (const Json &row : body["delete"])
                    m_rows[{row["table"], row["key"]}] = {"", m_version, true};
                m_changed.notify_all();
            }
        } else {
            status = 404;
        }
        return {{"rows", rows}, {"hasMore", false}, {"ver", m_version}, {"nowMs", nowMs()}};
    }

    int m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, Row> m_rows;
    std::uint64_t m_version = 0;
    bool m_turnsAway = false;
};

} // namespace standins
