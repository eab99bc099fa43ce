#include "connectionpool.h"

#include "gatewayconstants.h"

#include <http1/clientconnection.h>
#include <net/reactor.h>

namespace Gateway {

ConnectionPool::ConnectionPool(Net::Reactor &reactor)
    : m_reactor(reactor)
{ }

ConnectionPool::~ConnectionPool() = default;

auto ConnectionPool::acquire(const std::string &backendId, const Http1::SocketAddress &address,
                             Utils::Duration maxIdle)
    -> Utils::Result<std::unique_ptr<Http1::ClientConnection>, std::string>
{
    const auto now = m_reactor.now();
    auto &idle = m_idle[backendId];
    // The most recently used connection is the least likely to have been closed by the peer.
    while (!idle.empty()) {
        Idle newest = std::move(idle.back());
        idle.pop_back();
        newest.connection->onIdleEnd(nullptr);
        if (newest.connection->isReusable() && now < newest.until && now - newest.since <= maxIdle)
            return std::move(newest.connection);
        const bool isOnlyTooOld = newest.connection->isReusable() && now < newest.until;
        if (isOnlyTooOld) {
            release(backendId, std::move(newest.connection), newest.until - now);
            m_idle[backendId].back().since = newest.since;
            break;
        }
        discard(std::move(newest.connection));
    }
    return Http1::ClientConnection::connect(m_reactor, address);
}

auto ConnectionPool::release(const std::string &backendId,
                             std::unique_ptr<Http1::ClientConnection> connection,
                             Utils::Duration idleTimeout) -> void
{
    auto &idle = m_idle[backendId];
    if (!connection->isReusable() || idle.size() >= Constants::MaxIdleConnections)
        return discard(std::move(connection));
    const auto now = m_reactor.now();
    Http1::ClientConnection *raw = connection.get();
    idle.push_back({std::move(connection), now, now + idleTimeout});
    raw->onIdleEnd([this, backendId, raw] {
        auto &list = m_idle[backendId];
        for (auto it = list.begin(); it != list.end(); ++it) {
            if (it->connection.get() != raw)
                continue;
            discard(std::move(it->connection));
            list.erase(it);
            return;
        }
    });
}

auto ConnectionPool::discard(std::unique_ptr<Http1::ClientConnection> connection) -> void
{
    if (!connection)
        return;
    connection->abandon();
    connection->closeNow();
    m_reactor.callAfter(
        Utils::Duration::zero(),
        [kept = std::shared_ptr<Http1::ClientConnection>(std::move(connection))] {});
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
