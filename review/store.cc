#include "store.hh"

#include "http.hh"

#include <sys/socket.h>

#include <memory>
#include <set>
#include <thread>

namespace Review {

using nlohmann::json;

namespace {

constexpr const char *Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

auto encode(const std::string &bytes) -> std::string
{
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        unsigned block = 0;
        for (size_t j = 0; j < 3; ++j)
            block = (block << 8) | (i + j < bytes.size() ? (unsigned char)(bytes[i + j]) : 0);
        for (size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? Digits[(block >> (18 - 6 * j)) & 63] : '=';
    }
    return text;
}

auto decode(const std::string &text) -> std::string
{
    static const std::string digits = Digits;
    std::string bytes;
    unsigned block = 0;
    int bits = 0;
    for (const char c : text) {
        const auto digit = digits.find(c);
        if (digit == std::string::npos)
            break;
        block = (block << 6) | unsigned(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += char((block >> bits) & 255);
        }
    }
    return bytes;
}

auto unescaped(const std::string &text) -> std::string
{
    std::string result;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += char(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

auto parseQuery(const std::string &target) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> query;
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const std::string pair =
            target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const auto equals = pair.find('=');
        if (equals != std::string::npos)
            query[pair.substr(0, equals)] = unescaped(pair.substr(equals + 1));
        at = end;
    }
    return query;
}

} // namespace

Store::Store(const std::string &ip)
    : m_ip(ip)
{
    m_port = addPort();
}

auto Store::addPort() -> int
{
    int port = 0;
    const int fd = listenOn(m_ip, port);
    std::thread([this, fd, port] {
        while (true) {
            const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0)
                std::thread([this, accepted, port] { serve(accepted, port); }).detach();
        }
    }).detach();
    return port;
}

auto Store::setRefusing(int port, bool refuses) -> void
{
    const std::lock_guard lock(m_mutex);
    if (refuses)
        m_refusingPorts.insert(port);
    else
        m_refusingPorts.erase(port);
}

auto Store::isRefusing(int port) -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_refusingPorts.count(port) > 0;
}

auto Store::nowMs() -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}

auto Store::serve(int fd, int port) -> void
{
    Connection connection(fd);
    Message request;
    while (connection.readMessage(request)) {
        int status = 200;
        std::string body = "{}";
        if (!isRefusing(port))
            body = answer(request.method(), request.secondWord(), request.body, status).dump();
        // It may have begun to refuse while the call waited for changes.
        if (isRefusing(port) && (request.method() == "GET" || body == "{}")) {
            status = 503;
            body = "{}";
        }
        if (!connection.send("HTTP/1.1 " + std::to_string(status)
                             + " X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                               "Content-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

auto Store::answer(const std::string &method, const std::string &target, const std::string &body,
                   int &status) -> json
{
    const std::string path = target.substr(0, target.find('?'));
    if (method == "POST" && path == "/-/rows-tx")
        return transact(json::parse(body), status);
    if (path == "/-/rows-get")
        return list(parseQuery(target));
    if (path == "/-/rows-feed")
        return changes(parseQuery(target));
    status = 404;
    return json::object();
}

auto Store::rowToJson(const RowId &id) const -> json
{
    const auto found = m_rows.find(id);
    json row = {{"table", id.first}, {"part", ""}, {"key", id.second}};
    if (found == m_rows.end())
        return row;
    row["value"] = found->second.value;
    row["ver"] = found->second.version;
    return row;
}

auto Store::note(const RowId &id) -> void
{
    m_history.push_back({m_version, id.first, id.second});
    m_changed.notify_all();
}

auto Store::transact(const json &call, int &status) -> json
{
    const std::lock_guard lock(m_mutex);
    const auto idOf = [](const json &row) {
        return RowId(row.value("table", ""), row.value("key", ""));
    };
    for (const json &row : call.value("expected", json::array())) {
        const auto found = m_rows.find(idOf(row));
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        if (version != row.value("ver", std::uint64_t(0))) {
            status = 412;
            json current = json::array();
            if (found != m_rows.end())
                current.push_back(rowToJson(found->first));
            return {{"rows", current}, {"ver", m_version}, {"nowMs", nowMs()}};
        }
    }
    ++m_version;
    for (const json &row : call.value("put", json::array())) {
        m_rows[idOf(row)] = {row.value("value", ""), m_version};
        note(idOf(row));
    }
    for (const json &row : call.value("delete", json::array())) {
        if (m_rows.erase(idOf(row)) > 0)
            note(idOf(row));
    }
    return {{"ver", m_version}, {"nowMs", nowMs()}};
}

auto Store::list(const std::map<std::string, std::string> &query) -> json
{
    const std::lock_guard lock(m_mutex);
    const auto valueOf = [&](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    const std::string table = valueOf("table");
    const std::string from = valueOf("from");
    const std::string to = valueOf("to");
    constexpr size_t maxRows = 500;
    const std::string limit = valueOf("limit");
    const size_t most = limit.empty() ? maxRows : std::min<size_t>(maxRows, std::stoul(limit));
    json rows = json::array();
    bool hasMore = false;
    for (const auto &[id, row] : m_rows) {
        if (id.first != table || id.second < from || (!to.empty() && id.second >= to))
            continue;
        hasMore = rows.size() >= most;
        if (hasMore)
            break;
        rows.push_back(rowToJson(id));
    }
    return {{"rows", rows}, {"ver", m_version}, {"nowMs", nowMs()}, {"hasMore", hasMore}};
}

auto Store::changes(const std::map<std::string, std::string> &query) -> json
{
    std::unique_lock lock(m_mutex);
    const std::string table = query.at("table");
    const std::uint64_t after = std::stoull(query.at("after"));
    const auto until = Clock::now() + milliseconds(std::stoll(query.at("waitMs")));
    const auto changed = [&] {
        // Each row once, in the order of its newest version.
        std::set<std::string> seen;
        json rows = json::array();
        for (auto it = m_history.rbegin(); it != m_history.rend() && it->version > after; ++it) {
            if (it->table != table || !seen.insert(it->key).second)
                continue;
            json row = rowToJson({it->table, it->key});
            if (!row.contains("value")) {
                row["removed"] = true;
                row["ver"] = it->version;
            }
            rows.insert(rows.begin(), row);
        }
        return rows;
    };
    json rows = changed();
    while (rows.empty() && m_changed.wait_until(lock, until) != std::cv_status::timeout)
        rows = changed();
    return {{"rows", rows}, {"ver", m_version}, {"nowMs", nowMs()}, {"hasMore", false}};
}

auto Store::put(const std::string &table, const std::string &key, const std::string &value) -> void
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    m_rows[{table, key}] = {encode(value), m_version};
    note({table, key});
}

auto Store::remove(const std::string &table, const std::string &key) -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_rows.erase({table, key}) == 0)
        return;
    ++m_version;
    note({table, key});
}

auto Store::value(const std::string &table, const std::string &key) -> std::string
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_rows.find({table, key});
    return found == m_rows.end() ? std::string() : decode(found->second.value);
}

} // namespace Review
