#pragma once

#include <storage/instancelist.h>

#include <string>

namespace Net {
class HttpClient;
}

namespace Storage {

/// The instance list over its HTTP interface.
class HttpInstanceList : public InstanceList
{
public:
    HttpInstanceList(Net::HttpClient &client, const std::string &address);
    auto read(Callback done) -> void override;

private:
    Net::HttpClient &m_client;
    std::string m_url;
};

} // namespace Storage
