#include "connectionpool.h"

#include "gatewayconstants.h"

#include <net/reactor.h>

#include <algorithm>

namespace Gateway {

ConnectionPool::ConnectionPool(Net::Reactor &reactor)
    : m_reactor(reactor)
{ }

ConnectionPool::~ConnectionPool() = default;

auto ConnectionPool::acquire(const std::string &backendId, const Http1::SocketAddress &address,
                             Utils::Duration maxIdle, const std::string &attemptId)
    -> Utils::Result<BackendConnection, std::string>
{
    const auto now = m_reactor.now();
    auto &idle = m_idle[backendId];
    // The most recently used connection is the least likely to have been closed by the peer.
    for (auto it = idle.end(); !attemptId.empty() && it != idle.begin();) {
        --it;
        if (!it->connection.http->isReusable() || now >= it->until) {
            it->connection.http->onIdleEnd(nullptr);
            discard(std::move(it->connection));
            it = idle.erase(it);
            continue;
        }
        if (now - it->since > maxIdle)
            break;
        const auto &refused = it->connection.refusedAttempts;
        if (std::find(refused.begin(), refused.end(), attemptId) != refused.end())
            continue;
        it->connection.http->onIdleEnd(nullptr);
        BackendConnection connection = std::move(it->connection);
        idle.erase(it);
        return connection;
    }
    return open(address);
}

auto ConnectionPool::open(const Http1::SocketAddress &address)
    -> Utils::Result<BackendConnection, std::string>
{
    auto http = Http1::ClientConnection::connect(m_reactor, address);
    if (!http)
        return tl::unexpected(http.error());
    return BackendConnection{std::move(*http), {}, m_reactor.now()};
}

auto ConnectionPool::release(const std::string &backendId, BackendConnection connection,
                             Utils::Duration idleTimeout) -> void
{
    auto &idle = m_idle[backendId];
    if (!connection.http->isReusable() || idle.size() >= Constants::MaxIdleConnections
        || connection.refusedAttempts.size() >= Constants::MaxRefusalsPerConnection)
        return discard(std::move(connection));
    const auto now = m_reactor.now();
    Http1::ClientConnection *raw = connection.http.get();
    idle.push_back({std::move(connection), now, now + idleTimeout});
    raw->onIdleEnd([this, backendId, raw] {
        auto &list = m_idle[backendId];
        bool wasUsable = false;
        for (auto it = list.begin(); it != list.end(); ++it) {
            if (it->connection.http.get() != raw)
                continue;
            // Unsolicited data ends an idle connection as well.
            wasUsable = m_reactor.now() < it->until && !raw->isConnected();
            discard(std::move(it->connection));
            list.erase(it);
            break;
        }
        if (wasUsable && onConnectionLost)
            onConnectionLost(backendId);
    });
}

auto ConnectionPool::discard(BackendConnection connection) -> void
{
    if (!connection.http)
        return;
    connection.http->abandon();
    connection.http->closeNow();
    m_reactor.callAfter(
        Utils::Duration::zero(),
        [kept = std::shared_ptr<Http1::ClientConnection>(std::move(connection.http))] {});
}

auto ConnectionPool::closeIdleConnections(const std::string &backendId) -> void
{
    const auto found = m_idle.find(backendId);
    if (found == m_idle.end())
        return;
    auto list = std::move(found->second);
    m_idle.erase(found);
    for (Idle &idle : list)
        discard(std::move(idle.connection));
}

} // namespace Gateway
