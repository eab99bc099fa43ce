#pragma once

#include "backendconnection.h"

#include <http1/socketaddress.h>
#include <utils/result.h>
#include <utils/timepoint.h>

#include <functional>
#include <list>
#include <map>
#include <string>

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

    /// Returns a connection that has been idle for at most `maxIdle` and on which this attempt was
    /// not refused, or opens a new one. Without a name, an answer can't be told from that to an
    /// earlier call, so such calls always get a new connection.
    auto acquire(const std::string &backendId, const Http1::SocketAddress &address,
                 Utils::Duration maxIdle, const std::string &attemptId)
        -> Utils::Result<BackendConnection, std::string>;
    /// Opens a new connection.
    auto open(const Http1::SocketAddress &address) -> Utils::Result<BackendConnection, std::string>;
    /// Keeps the connection for `idleTimeout` if it is reusable.
    auto release(const std::string &backendId, BackendConnection connection,
                 Utils::Duration idleTimeout) -> void;
    /// Closes a connection; safe to call inside its own callbacks.
    auto discard(BackendConnection connection) -> void;
    /// Closes all idle connections to a server.
    auto closeIdleConnections(const std::string &backendId) -> void;

    /// Called when a server ends an idle connection sooner than it has announced.
    std::function<void(const std::string &backendId)> onConnectionLost;

private:
    struct Idle
    {
        BackendConnection connection;
        Utils::TimePoint since;
        Utils::TimePoint until;
    };

    Net::Reactor &m_reactor;
    std::map<std::string, std::list<Idle>> m_idle; ///< By server; the last one is the newest.
};

} // namespace Gateway
