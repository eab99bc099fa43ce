#include "httpobjectstore.h"

#include <net/httpclient.h>

namespace Storage {

HttpObjectStore::HttpObjectStore(Net::HttpClient &client, const std::string &address)
    : m_client(client)
    , m_url("http://" + address + "/objects/")
{ }

auto HttpObjectStore::read(const std::string &name, ReadCallback done) -> void
{
    constexpr int notFound = 404;
    Net::HttpCall call;
    call.url = m_url + name;
    m_client.start(std::move(call), [done = std::move(done)](const auto &outcome) {
        if (outcome.isSuccess())
            done(outcome.body);
        else
            done(tl::unexpected(outcome.status == notFound ? ObjectError::NotFound
                                                           : ObjectError::Unavailable));
    });
}

auto HttpObjectStore::write(const std::string &name, const std::string &content, WriteCallback done)
    -> void
{
    Net::HttpCall call;
    call.method = "PUT";
    call.url = m_url + name;
    call.body = content;
    m_client.start(std::move(call), [done = std::move(done)](const auto &outcome) {
        if (outcome.isSuccess())
            done({});
        else
            done(tl::unexpected(ObjectError::Unavailable));
    });
}

} // namespace Storage
