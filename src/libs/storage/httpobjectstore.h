#pragma once

#include <storage/objectstore.h>

#include <string>

namespace Net {
class HttpClient;
}

namespace Storage {

/// The object store over its HTTP interface.
class HttpObjectStore : public ObjectStore
{
public:
    HttpObjectStore(Net::HttpClient &client, const std::string &address);

    auto read(const std::string &name, ReadCallback done) -> void override;
    auto write(const std::string &name, const std::string &content, WriteCallback done)
        -> void override;

private:
    Net::HttpClient &m_client;
    std::string m_url;
};

} // namespace Storage
