#pragma once

#include <http1/socketaddress.h>
#include <utils/result.h>
#include <utils/timepoint.h>

#include <list>
#include <map>
#include <memory>
#include <string>

namespace Http1 {
class ClientConnection;
}

namespace Net {
class Reactor;
}

namespace Gateway {

/// Keeps idle connections to backend servers for reuse.
class ConnectionPool
{
public:
    explicit ConnectionPool(Net::Reactor &reactor);
    ~ConnectionPool();

    /// Returns a connection that has been idle for at most `maxIdle`, or opens a new one.
    auto acquire(const std::string &backendId, const Http1::SocketAddress &address,
                 Utils::Duration maxIdle)
        -> Utils::Result<std::unique_ptr<Http1::ClientConnection>, std::string>;
    /// Keeps the connection for `idleTimeout` if it is reusable.
    auto release(const std::string &backendId, std::unique_ptr<Http1::ClientConnection> connection,
                 Utils::Duration idleTimeout) -> void;
    /// Closes a connection; safe to call inside its own callbacks.
    auto discard(std::unique_ptr<Http1::ClientConnection> connection) -> void;
    /// Closes all idle connections to a server.
    auto closeIdleConnections(const std::string &backendId) -> void;

private:
    struct Idle
    {
        std::unique_ptr<Http1::ClientConnection> connection;
        Utils::TimePoint since;
        Utils::TimePoint until;
    };

    Net::Reactor &m_reactor;
    std::map<std::string, std::list<Idle>> m_idle;
};

} // namespace Gateway
