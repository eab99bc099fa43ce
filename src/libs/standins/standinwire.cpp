#include "standinwire.h"

#include <net/reactor.h>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <list>

namespace StandIns {

namespace {

using Utils::TimePoint;

/// Bytes of one direction that have not been forwarded yet.
struct Direction
{
    std::deque<std::pair<TimePoint, std::string>> pending; ///< Each with its earliest sending time.
    bool isEndOfStream = false; ///< The sender has closed.
    bool isReset = false; ///< The sender has reset the connection.
};

/// A forwarded connection.
struct Connection
{
    ACE_SOCK_Stream clientSocket;
    ACE_SOCK_Stream targetSocket;
    Direction toClient;
    Direction toTarget;
    bool isFrozen = false;
    bool isClosed = false;
};

auto wouldBlock() -> bool
{
    return errno == EWOULDBLOCK || errno == EAGAIN;
}

} // namespace

struct StandInWire::Private
{
    Net::Reactor &reactor;
    std::string target;
    ACE_SOCK_Acceptor acceptor;
    std::list<std::shared_ptr<Connection>> connections;
    Silence silence = Silence::None;
    Utils::Duration delay{0};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    Private(Net::Reactor &loop, const std::string &targetAddress)
        : reactor(loop)
        , target(targetAddress)
    { }

    auto acceptOne() -> void
    {
        std::erase_if(connections, [](const auto &connection) { return connection->isClosed; });
        ACE_SOCK_Stream clientSocket;
        if (acceptor.accept(clientSocket) != 0)
            return;
        ACE_SOCK_Stream targetSocket;
        ACE_SOCK_Connector connector;
        const ACE_INET_Addr where(target.c_str());
        if (connector.connect(targetSocket, where) != 0) {
            clientSocket.close();
            return;
        }
        clientSocket.enable(ACE_NONBLOCK);
        targetSocket.enable(ACE_NONBLOCK);
        connections.push_back(std::make_shared<Connection>());
        connections.back()->clientSocket = clientSocket;
        connections.back()->targetSocket = targetSocket;
        update(connections.back());
    }

    auto forwardsToTarget() const -> bool
    {
        return silence == Silence::None || silence == Silence::FromTarget;
    }

    auto forwardsToClient() const -> bool
    {
        return silence == Silence::None || silence == Silence::ToTarget;
    }

    auto canWrite(const Direction &direction) const -> bool
    {
        return !direction.pending.empty() && direction.pending.front().first <= reactor.now();
    }

    auto update(const std::shared_ptr<Connection> &connection) -> void
    {
        if (connection->isClosed || connection->isFrozen)
            return;
        const auto onReady = [this, weak = std::weak_ptr<Connection>(connection)](Net::Interest) {
            if (const auto locked = weak.lock())
                pump(locked);
        };
        const Net::Interest clientInterest = {forwardsToTarget()
                                                  && !connection->toTarget.isEndOfStream,
                                              forwardsToClient() && canWrite(connection->toClient)};
        const Net::Interest targetInterest = {forwardsToClient()
                                                  && !connection->toClient.isEndOfStream,
                                              forwardsToTarget() && canWrite(connection->toTarget)};
        watch(connection->clientSocket, clientInterest, onReady);
        watch(connection->targetSocket, targetInterest, onReady);
    }

    auto watch(const ACE_SOCK_Stream &stream, Net::Interest interest,
               const Net::Reactor::ReadyCallback &onReady) -> void
    {
        if (interest.read || interest.write)
            reactor.watch(stream.get_handle(), interest, onReady);
        else
            reactor.unwatch(stream.get_handle());
    }

    auto pump(const std::shared_ptr<Connection> &connection) -> void
    {
        if (connection->isFrozen || connection->isClosed)
            return;
        bool isOpen = true;
        if (forwardsToTarget())
            isOpen = receive(connection, connection->clientSocket, connection->toTarget)
                && deliver(connection->targetSocket, connection->toTarget);
        if (connection->toTarget.isReset)
            connection->toClient.pending.clear();
        else if (forwardsToClient())
            isOpen = isOpen && receive(connection, connection->targetSocket, connection->toClient)
                && deliver(connection->clientSocket, connection->toClient);
        const bool isFinished =
            (connection->toTarget.isEndOfStream && connection->toTarget.pending.empty())
            || (connection->toClient.isEndOfStream && connection->toClient.pending.empty());
        if (isOpen && !isFinished)
            update(connection);
        else if (connection->toTarget.isReset || connection->toClient.isReset)
            reset(*connection);
        else
            close(*connection);
    }

    auto receive(const std::shared_ptr<Connection> &connection, ACE_SOCK_Stream &from,
                 Direction &destination) -> bool
    {
        if (destination.isEndOfStream)
            return true;
        // The socket would still hand over the bytes that a network path would have lost.
        int error = 0;
        int length = sizeof error;
        from.get_option(SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            destination.isEndOfStream = true;
            destination.isReset = true;
            return true;
        }
        std::array<char, 65536> block;
        const ssize_t count = from.recv(block.data(), block.size());
        if (count < 0)
            return wouldBlock();
        if (count == 0) {
            destination.isEndOfStream = true;
            return true;
        }
        destination.pending.emplace_back(reactor.now() + delay,
                                         std::string(block.data(), static_cast<size_t>(count)));
        if (delay > Utils::Duration::zero())
            pumpLater(connection);
        return true;
    }

    auto pumpLater(const std::shared_ptr<Connection> &connection) -> void
    {
        reactor.callAfter(delay,
                          [this, isAlive = alive, weak = std::weak_ptr<Connection>(connection)] {
                              const auto locked = weak.lock();
                              if (*isAlive && locked)
                                  pump(locked);
                          });
    }

    auto deliver(ACE_SOCK_Stream &to, Direction &direction) const -> bool
    {
        while (canWrite(direction)) {
            std::string &bytes = direction.pending.front().second;
            const ssize_t count = to.send(bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count < 0)
                return wouldBlock();
            bytes.erase(0, static_cast<size_t>(count));
            if (!bytes.empty())
                return true;
            direction.pending.pop_front();
        }
        return true;
    }

    auto close(Connection &connection) -> void
    {
        if (connection.isClosed)
            return;
        connection.isClosed = true;
        reactor.unwatch(connection.clientSocket.get_handle());
        reactor.unwatch(connection.targetSocket.get_handle());
        connection.clientSocket.close();
        connection.targetSocket.close();
    }

    auto reset(Connection &connection) -> void
    {
        if (connection.isClosed)
            return;
        linger discard = {1, 0};
        connection.clientSocket.set_option(SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        connection.targetSocket.set_option(SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        close(connection);
    }

    auto updateAll() -> void
    {
        const auto all = connections;
        for (const auto &connection : all)
            pump(connection);
    }
};

StandInWire::StandInWire(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

StandInWire::~StandInWire()
{
    d->reactor.unwatch(d->acceptor.get_handle());
    d->acceptor.close();
    *d->alive = false;
    for (const auto &connection : d->connections)
        d->close(*connection);
}

auto StandInWire::create(Net::Reactor &reactor, const std::string &address,
                         const std::string &target)
    -> Utils::Result<std::unique_ptr<StandInWire>, std::string>
{
    auto data = std::make_unique<Private>(reactor, target);
    const ACE_INET_Addr where(address.c_str());
    if (data->acceptor.open(where, 1) != 0)
        return tl::unexpected("cannot listen on " + address);
    Private *wire = data.get();
    reactor.watch(data->acceptor.get_handle(), {true, false},
                  [wire](Net::Interest) { wire->acceptOne(); });
    return std::unique_ptr<StandInWire>(new StandInWire(std::move(data)));
}

auto StandInWire::port() const -> int
{
    ACE_INET_Addr where;
    d->acceptor.get_local_addr(where);
    return where.get_port_number();
}

auto StandInWire::freeze() -> void
{
    for (const auto &connection : d->connections) {
        if (connection->isClosed || connection->isFrozen)
            continue;
        connection->isFrozen = true;
        d->reactor.unwatch(connection->clientSocket.get_handle());
        d->reactor.unwatch(connection->targetSocket.get_handle());
    }
}

auto StandInWire::frozenCount() const -> int
{
    return static_cast<int>(
        std::count_if(d->connections.begin(), d->connections.end(),
                      [](const auto &connection) { return connection->isFrozen; }));
}

auto StandInWire::setSilence(Silence silence) -> void
{
    d->silence = silence;
    d->updateAll();
}

auto StandInWire::setDelay(Utils::Duration delay) -> void
{
    d->delay = delay;
}

auto StandInWire::reset() -> void
{
    for (const auto &connection : d->connections)
        d->reset(*connection);
}

} // namespace StandIns
