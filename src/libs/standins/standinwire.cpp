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

/// Bytes of one direction that have not been handed on.
struct Direction
{
    std::deque<std::pair<TimePoint, std::string>> waiting; ///< With the time they may go on.
    bool hasEnded = false; ///< The sender has closed.
};

/// One carried connection.
struct Carried
{
    ACE_SOCK_Stream near;
    ACE_SOCK_Stream far;
    Direction toNear;
    Direction toFar;
    bool isFrozen = false;
    bool isClosed = false;
};

auto isRetriable() -> bool
{
    return errno == EWOULDBLOCK || errno == EAGAIN;
}

} // namespace

struct StandInWire::Private
{
    Net::Reactor &reactor;
    std::string target;
    ACE_SOCK_Acceptor acceptor;
    std::list<std::shared_ptr<Carried>> carried;
    Silence silence = Silence::None;
    Utils::Duration delay{0};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    Private(Net::Reactor &loop, const std::string &targetAddress)
        : reactor(loop)
        , target(targetAddress)
    { }

    auto acceptOne() -> void
    {
        std::erase_if(carried, [](const auto &one) { return one->isClosed; });
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
        carried.push_back(std::make_shared<Carried>());
        carried.back()->near = near;
        carried.back()->far = far;
        update(carried.back());
    }

    auto passesToFar() const -> bool
    {
        return silence == Silence::None || silence == Silence::FromTarget;
    }

    auto passesToNear() const -> bool
    {
        return silence == Silence::None || silence == Silence::ToTarget;
    }

    auto canWrite(const Direction &direction) const -> bool
    {
        return !direction.waiting.empty() && direction.waiting.front().first <= reactor.now();
    }

    auto update(const std::shared_ptr<Carried> &connection) -> void
    {
        if (connection->isClosed || connection->isFrozen)
            return;
        const auto carry = [this, weak = std::weak_ptr<Carried>(connection)](Net::Interest) {
            if (const auto one = weak.lock())
                pump(one);
        };
        const Net::Interest near = {passesToFar() && !connection->toFar.hasEnded,
                                    passesToNear() && canWrite(connection->toNear)};
        const Net::Interest far = {passesToNear() && !connection->toNear.hasEnded,
                                   passesToFar() && canWrite(connection->toFar)};
        watch(connection->near, near, carry);
        watch(connection->far, far, carry);
    }

    auto watch(const ACE_SOCK_Stream &stream, Net::Interest interest,
               const Net::Reactor::ReadyCallback &carry) -> void
    {
        if (interest.read || interest.write)
            reactor.watch(stream.get_handle(), interest, carry);
        else
            reactor.unwatch(stream.get_handle());
    }

    auto pump(const std::shared_ptr<Carried> &connection) -> void
    {
        if (connection->isFrozen || connection->isClosed)
            return;
        bool isOpen = true;
        if (passesToFar())
            isOpen = receive(connection, connection->near, connection->toFar)
                && deliver(connection->far, connection->toFar);
        if (passesToNear())
            isOpen = isOpen && receive(connection, connection->far, connection->toNear)
                && deliver(connection->near, connection->toNear);
        const bool isOver = (connection->toFar.hasEnded && connection->toFar.waiting.empty())
            || (connection->toNear.hasEnded && connection->toNear.waiting.empty());
        if (isOpen && !isOver)
            update(connection);
        else
            close(*connection);
    }

    auto receive(const std::shared_ptr<Carried> &connection, ACE_SOCK_Stream &from, Direction &into)
        -> bool
    {
        if (into.hasEnded)
            return true;
        std::array<char, 65536> block;
        const ssize_t count = from.recv(block.data(), block.size());
        if (count < 0)
            return isRetriable();
        if (count == 0) {
            into.hasEnded = true;
            return true;
        }
        into.waiting.emplace_back(reactor.now() + delay,
                                  std::string(block.data(), static_cast<size_t>(count)));
        if (delay > Utils::Duration::zero())
            pumpLater(connection);
        return true;
    }

    auto pumpLater(const std::shared_ptr<Carried> &connection) -> void
    {
        reactor.callAfter(delay,
                          [this, isAlive = alive, weak = std::weak_ptr<Carried>(connection)] {
                              const auto one = weak.lock();
                              if (*isAlive && one)
                                  pump(one);
                          });
    }

    auto deliver(ACE_SOCK_Stream &to, Direction &direction) const -> bool
    {
        while (canWrite(direction)) {
            std::string &bytes = direction.waiting.front().second;
            const ssize_t count = to.send(bytes.data(), bytes.size());
            if (count < 0)
                return isRetriable();
            bytes.erase(0, static_cast<size_t>(count));
            if (!bytes.empty())
                return true;
            direction.waiting.pop_front();
        }
        return true;
    }

    auto close(Carried &connection) -> void
    {
        if (connection.isClosed)
            return;
        connection.isClosed = true;
        reactor.unwatch(connection.near.get_handle());
        reactor.unwatch(connection.far.get_handle());
        connection.near.close();
        connection.far.close();
    }

    auto reset(Carried &connection) -> void
    {
        if (connection.isClosed)
            return;
        linger discard = {1, 0};
        connection.near.set_option(SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        connection.far.set_option(SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        close(connection);
    }

    auto updateAll() -> void
    {
        const auto all = carried;
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
    for (const auto &connection : d->carried)
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
    for (const auto &connection : d->carried) {
        if (connection->isClosed || connection->isFrozen)
            continue;
        connection->isFrozen = true;
        d->reactor.unwatch(connection->near.get_handle());
        d->reactor.unwatch(connection->far.get_handle());
    }
}

auto StandInWire::frozenCount() const -> int
{
    return static_cast<int>(std::count_if(d->carried.begin(), d->carried.end(),
                                          [](const auto &one) { return one->isFrozen; }));
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
    for (const auto &connection : d->carried)
        d->reset(*connection);
}

} // namespace StandIns
