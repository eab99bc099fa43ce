#include "standinwire.h"

#include <net/reactor.h>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>

#include <cerrno>
#include <list>

namespace StandIns {

namespace {

/// One carried connection.
struct Carried
{
    ACE_SOCK_Stream near;
    ACE_SOCK_Stream far;
    std::string toNear;
    std::string toFar;
    bool isFrozen = false;
    bool isClosed = false;
};

} // namespace

struct StandInWire::Private
{
    Net::Reactor &reactor;
    std::string target;
    ACE_SOCK_Acceptor acceptor;
    std::list<Carried> carried;

    Private(Net::Reactor &loop, const std::string &targetAddress)
        : reactor(loop)
        , target(targetAddress)
    { }

    auto acceptOne() -> void
    {
        ACE_SOCK_Stream near;
        if (acceptor.accept(near) != 0)
            return;
        ACE_SOCK_Stream far;
        ACE_SOCK_Connector connector;
        const ACE_INET_Addr where(target.c_str());
        if (connector.connect(far, where) != 0) {
            near.close();
            return;
        }
        near.enable(ACE_NONBLOCK);
        far.enable(ACE_NONBLOCK);
        carried.push_back({near, far, {}, {}, false, false});
        Carried &connection = carried.back();
        update(connection);
    }

    auto update(Carried &connection) -> void
    {
        const auto carry = [this, &connection](Net::Interest) { pump(connection); };
        reactor.watch(connection.near.get_handle(), {true, !connection.toNear.empty()}, carry);
        reactor.watch(connection.far.get_handle(), {true, !connection.toFar.empty()}, carry);
    }

    auto pump(Carried &connection) -> void
    {
        if (connection.isFrozen || connection.isClosed)
            return;
        const bool isOpen = receive(connection.near, connection.toFar)
            && receive(connection.far, connection.toNear);
        deliver(connection.far, connection.toFar);
        deliver(connection.near, connection.toNear);
        if (isOpen)
            update(connection);
        else
            close(connection);
    }

    static auto receive(ACE_SOCK_Stream &from, std::string &into) -> bool
    {
        char block[65536];
        const ssize_t count = from.recv(block, sizeof block);
        if (count > 0)
            into.append(block, static_cast<size_t>(count));
        return count > 0 || (count < 0 && (errno == EWOULDBLOCK || errno == EAGAIN));
    }

    static auto deliver(ACE_SOCK_Stream &to, std::string &bytes) -> void
    {
        const ssize_t count = bytes.empty() ? 0 : to.send(bytes.data(), bytes.size());
        if (count > 0)
            bytes.erase(0, static_cast<size_t>(count));
    }

    auto close(Carried &connection) -> void
    {
        connection.isClosed = true;
        reactor.unwatch(connection.near.get_handle());
        reactor.unwatch(connection.far.get_handle());
        connection.near.close();
        connection.far.close();
    }
};

StandInWire::StandInWire(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

StandInWire::~StandInWire()
{
    d->reactor.unwatch(d->acceptor.get_handle());
    d->acceptor.close();
    for (auto &connection : d->carried) {
        if (!connection.isClosed)
            d->close(connection);
    }
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
    for (auto &connection : d->carried) {
        if (connection.isClosed || connection.isFrozen)
            continue;
        connection.isFrozen = true;
        d->reactor.unwatch(connection.near.get_handle());
        d->reactor.unwatch(connection.far.get_handle());
    }
}

auto StandInWire::frozenCount() const -> int
{
    int count = 0;
    for (const auto &connection : d->carried)
        count += connection.isFrozen ? 1 : 0;
    return count;
}

} // namespace StandIns
