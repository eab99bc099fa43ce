#include "throttledwire.h"

#include <net/periodictimer.h>
#include <net/reactor.h>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <ace/Time_Value.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <list>
#include <optional>

namespace Soak {

using std::chrono::milliseconds;
using Utils::TimePoint;

namespace {

constexpr milliseconds TickInterval(5);
/// Maximum time that a late tick may make up for.
constexpr milliseconds MaxTick(100);
/// Bytes that a connection may transfer before it is the next one's turn.
constexpr size_t PacketBytes = 1500;
/// Maximum number of connections that wait to be accepted.
constexpr int Backlog = 1024;
constexpr double BytesPerMbit = 125000;

enum class TransferResult { Some, Nothing, Closed, Failed };

struct ForwardedConnection
{
    ACE_SOCK_Stream client;
    ACE_SOCK_Stream server;
    std::string toClient;
    std::string toServer;
};

auto isOver(TransferResult result) -> bool
{
    return result == TransferResult::Closed || result == TransferResult::Failed;
}

auto isRetriable() -> bool
{
    return errno == EWOULDBLOCK || errno == EAGAIN;
}

/// Transfers up to `limit` bytes; `buffered` keeps those that the receiver can't accept yet.
auto transfer(ACE_SOCK_Stream &from, ACE_SOCK_Stream &to, std::string &buffered, size_t limit,
              size_t &transferred) -> TransferResult
{
    transferred = 0;
    if (buffered.empty()) {
        std::array<char, PacketBytes> block;
        const ssize_t count = from.recv(block.data(), std::min(limit, block.size()));
        if (count == 0)
            return TransferResult::Closed;
        if (count < 0)
            return isRetriable() ? TransferResult::Nothing : TransferResult::Failed;
        transferred = static_cast<size_t>(count);
        buffered.assign(block.data(), transferred);
    }
    const ssize_t sent = to.send(buffered.data(), buffered.size());
    if (sent < 0 && !isRetriable())
        return TransferResult::Failed;
    buffered.erase(0, static_cast<size_t>(std::max<ssize_t>(sent, 0)));
    return buffered.empty() ? TransferResult::Some : TransferResult::Nothing;
}

} // namespace

struct ThrottledWire::Private
{
    Net::Reactor &reactor;
    ACE_INET_Addr target;
    ACE_SOCK_Acceptor acceptor;
    std::list<ForwardedConnection> connections;
    double bytesPerSecond = 0;
    double budget = 0;
    TimePoint lastTick;
    std::optional<TimePoint> backlogSince;
    std::unique_ptr<Net::PeriodicTimer> timer;

    Private(Net::Reactor &loop, const std::string &targetAddress)
        : reactor(loop)
        , target(targetAddress.c_str())
    { }

    auto acceptAll() -> void
    {
        ACE_SOCK_Stream client;
        const ACE_Time_Value noWait = ACE_Time_Value::zero;
        ACE_Time_Value wait = noWait;
        while (acceptor.accept(client, nullptr, &wait) == 0) {
            ACE_SOCK_Stream server;
            ACE_SOCK_Connector connector;
            if (connector.connect(server, target) != 0) {
                client.close();
                continue;
            }
            client.enable(ACE_NONBLOCK);
            server.enable(ACE_NONBLOCK);
            connections.push_back({client, server, {}, {}});
            wait = noWait;
        }
    }

    auto tick() -> void
    {
        acceptAll();
        const TimePoint now = reactor.now();
        const auto passed = std::min<Utils::Duration>(now - lastTick, MaxTick);
        lastTick = now;
        budget = std::min(budget, 0.0) + bytesPerSecond * Utils::toSeconds(passed);
        for (auto connection = connections.begin(); connection != connections.end();)
            connection = closeIfOver(connection, forwardToTarget(*connection));
        const bool isLimited = forwardToClients();
        if (!isLimited)
            backlogSince.reset();
        else if (!backlogSince)
            backlogSince = now;
    }

    auto forwardToTarget(ForwardedConnection &connection) -> TransferResult
    {
        size_t transferred = 0;
        TransferResult result = TransferResult::Some;
        while (result == TransferResult::Some)
            result = transfer(connection.client, connection.server, connection.toServer,
                              PacketBytes, transferred);
        return result;
    }

    /// Forwards bytes round-robin; returns true if some may have to wait for the next tick.
    auto forwardToClients() -> bool
    {
        bool hasTransferred = true;
        while (hasTransferred) {
            hasTransferred = false;
            for (auto connection = connections.begin(); connection != connections.end();) {
                if (bytesPerSecond > 0 && budget <= 0)
                    return true;
                size_t transferred = 0;
                const TransferResult result =
                    transfer(connection->server, connection->client, connection->toClient,
                             PacketBytes, transferred);
                budget -= static_cast<double>(transferred);
                hasTransferred = hasTransferred || result == TransferResult::Some;
                connection = closeIfOver(connection, result);
            }
            // Rotates the connections, so that each is served first in turn.
            if (!connections.empty())
                connections.splice(connections.end(), connections, connections.begin());
        }
        return false;
    }

    /// Closes or resets both ends if one end has been closed or reset; returns the next connection.
    auto closeIfOver(std::list<ForwardedConnection>::iterator connection, TransferResult result)
        -> std::list<ForwardedConnection>::iterator
    {
        if (!isOver(result))
            return std::next(connection);
        if (result == TransferResult::Failed) {
            linger discard = {1, 0};
            connection->client.set_option(SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
            connection->server.set_option(SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        }
        connection->client.close();
        connection->server.close();
        return connections.erase(connection);
    }
};

ThrottledWire::ThrottledWire(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

ThrottledWire::~ThrottledWire()
{
    d->acceptor.close();
    for (auto connection = d->connections.begin(); connection != d->connections.end();)
        connection = d->closeIfOver(connection, TransferResult::Failed);
}

auto ThrottledWire::create(Net::Reactor &reactor, const Http1::SocketAddress &target)
    -> Utils::Result<std::unique_ptr<ThrottledWire>, std::string>
{
    auto data = std::make_unique<Private>(reactor, target.toString());
    const ACE_INET_Addr listenAddress("127.0.0.1:0");
    // Clients may run in this thread and wait for their connection, so the backlog must be large.
    if (data->acceptor.open(listenAddress, 1, PF_INET, Backlog) != 0)
        return tl::unexpected(std::string("cannot listen for a narrow link"));
    data->acceptor.enable(ACE_NONBLOCK);
    data->lastTick = reactor.now();
    Private *wire = data.get();
    data->timer =
        std::make_unique<Net::PeriodicTimer>(reactor, TickInterval, [wire] { wire->tick(); });
    return std::unique_ptr<ThrottledWire>(new ThrottledWire(std::move(data)));
}

auto ThrottledWire::address() const -> Http1::SocketAddress
{
    ACE_INET_Addr listenAddress;
    d->acceptor.get_local_addr(listenAddress);
    return *Http1::SocketAddress::parse("127.0.0.1:"
                                        + std::to_string(listenAddress.get_port_number()));
}

auto ThrottledWire::setMbitPerSecond(double rate) -> void
{
    d->bytesPerSecond = rate * BytesPerMbit;
}

auto ThrottledWire::backlogTime() const -> Utils::Duration
{
    return d->backlogSince ? d->reactor.now() - *d->backlogSince : Utils::Duration::zero();
}

} // namespace Soak
