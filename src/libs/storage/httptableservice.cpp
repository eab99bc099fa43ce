#include "httptableservice.h"

#include <net/httpclient.h>

namespace Storage {

using nlohmann::json;

namespace {

auto makeCall(const std::string &url, const json &body, std::chrono::milliseconds timeout)
    -> Net::HttpCall
{
    Net::HttpCall call;
    call.method = "POST";
    call.url = url;
    call.headers["Content-Type"] = "application/json";
    call.body = body.dump();
    call.timeout = timeout;
    return call;
}

auto parseRows(const std::string &body) -> Utils::Result<std::vector<TableRow>, TableError>
{
    try {
        std::vector<TableRow> rows;
        const json document = json::parse(body);
        for (const auto &entry : document.at("rows"))
            rows.push_back({entry.at("key").get<std::string>(), entry.at("value"),
                            entry.at("version").get<std::uint64_t>()});
        return rows;
    } catch (const json::exception &) {
        return tl::unexpected(TableError::Malformed);
    }
}

} // namespace

HttpTableService::HttpTableService(Net::HttpClient &client, const std::string &address,
                                   std::chrono::milliseconds timeout)
    : m_client(client)
    , m_url("http://" + address + "/table")
    , m_timeout(timeout)
{ }

auto HttpTableService::read(const std::string &key, RowCallback done) -> void
{
    // Appending a NUL byte gives the smallest key greater than `key`.
    scan(key, key + std::string(1, '\0'), 1, [key, done = std::move(done)](const auto &rows) {
        if (!rows)
            done(tl::unexpected(rows.error()));
        else
            done(rows->empty() ? TableRow{key, nullptr, 0} : rows->front());
    });
}

auto HttpTableService::scan(const std::string &first, const std::string &last, size_t limit,
                            RowsCallback done) -> void
{
    const json body = {{"first", first}, {"last", last}, {"limit", limit}};
    m_client.start(makeCall(m_url + "/scan", body, m_timeout),
                   [done = std::move(done)](const auto &outcome) {
                       if (!outcome.isSuccess())
                           done(tl::unexpected(TableError::Unavailable));
                       else
                           done(parseRows(outcome.body));
                   });
}

auto HttpTableService::commit(const TableTransaction &transaction, CommitCallback done) -> void
{
    constexpr int conflictStatus = 409;
    const auto call = makeCall(m_url + "/commit", toJson(transaction), m_timeout);
    m_client.start(call, [done = std::move(done)](const auto &outcome) {
        if (outcome.isSuccess())
            done({});
        else if (outcome.error.empty() && outcome.status == conflictStatus)
            done(tl::unexpected(TableError::Conflict));
        else
            done(tl::unexpected(TableError::Unavailable));
    });
}

} // namespace Storage
