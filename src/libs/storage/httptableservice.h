#pragma once

#include <storage/tableservice.h>

#include <chrono>
#include <string>

namespace Net {
class HttpClient;
}

namespace Storage {

/// The table service over its HTTP interface.
class HttpTableService : public TableService
{
public:
    /// `address` is "IP:port".
    HttpTableService(Net::HttpClient &client, const std::string &address,
                     std::chrono::milliseconds timeout);

    auto read(const std::string &key, RowCallback done) -> void override;
    auto scan(const std::string &first, const std::string &last, size_t limit, RowsCallback done)
        -> void override;
    auto commit(const TableTransaction &transaction, CommitCallback done) -> void override;

private:
    Net::HttpClient &m_client;
    std::string m_url;
    std::chrono::milliseconds m_timeout;
};

} // namespace Storage
