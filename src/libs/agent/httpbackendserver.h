#pragma once

#include <agent/backendserver.h>

namespace Net {
class HttpClient;
}

namespace Agent {

/// A backend server with an HTTP interface for orders and requests.
class HttpBackendServer : public BackendServer
{
public:
    HttpBackendServer(Net::HttpClient &client, const std::string &address);

    auto status(StatusCallback done) -> void override;
    auto load(const ModelOrder &order, std::chrono::milliseconds timeout, OrderCallback done)
        -> void override;
    auto unload(const ModelOrder &order, std::chrono::milliseconds timeout, OrderCallback done)
        -> void override;
    auto dispatch(const Protocol::RunRequest &request, std::chrono::milliseconds timeout,
                  DispatchCallbacks callbacks) -> DispatchId override;
    auto cancel(DispatchId dispatch, const std::string &requestId) -> void override;

private:
    auto order(const std::string &path, const ModelOrder &order, std::chrono::milliseconds timeout,
               OrderCallback done) -> void;

    Net::HttpClient &m_client;
    std::string m_url;
};

} // namespace Agent
