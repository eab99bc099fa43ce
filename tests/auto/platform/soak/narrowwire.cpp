#include "narrowwire.h"

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

constexpr milliseconds TickPause(5);
/// What a tick that came late may make up for.
constexpr milliseconds LongestTick(100);
/// Connections take turns by so much.
constexpr size_t PacketBytes = 1500;
/// Connections that wait to be accepted.
constexpr int Backlog = 1024;
constexpr double BytesPerMbit = 125000;

enum class Move { Some, Nothing, Closed, Failed };

struct Carried
{
    ACE_SOCK_Stream near;
    ACE_SOCK_Stream far;
    std::string toNear;
    std::string toFar;
};

auto isOver(Move result) -> bool
{
    return result == Move::Closed || result == Move::Failed;
}

auto isRetriable() -> bool
{
    return errno == EWOULDBLOCK || errno == EAGAIN;
}

/// Moves up to `limit` bytes; `held` keeps what the receiver has no room for.
auto move(ACE_SOCK_Stream &from, ACE_SOCK_Stream &to, std::string &held, size_t limit,
          size_t &moved) -> Move
{
    moved = 0;
    if (held.empty()) {
        std::array<char, PacketBytes> block;
        const ssize_t count = from.recv(block.data(), std::min(limit, block.size()));
        if (count == 0)
            return Move::Closed;
        if (count < 0)
            return isRetriable() ? Move::Nothing : Move::Failed;
        moved = static_cast<size_t>(count);
        held.assign(block.data(), moved);
    }
    const ssize_t sent = to.send(held.data(), held.size());
    if (sent < 0 && !isRetriable())
        return Move::Failed;
    held.erase(0, static_cast<size_t>(std::max<ssize_t>(sent, 0)));
    return held.empty() ? Move::Some : Move::Nothing;
}

} // namespace

struct NarrowWire::Private
{
    Net::Reactor &reactor;
    ACE_INET_Addr target;
    ACE_SOCK_Acceptor acceptor;
    std::list<Carried> carried;
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
        ACE_SOCK_Stream near;
        const ACE_Time_Value noWait = ACE_Time_Value::zero;
        ACE_Time_Value wait = noWait;
        while (acceptor.accept(near, nullptr, &wait) == 0) {
            ACE_SOCK_Stream far;
            ACE_SOCK_Connector connector;
            if (connector.connect(far, target) != 0) {
                near.close();
                continue;
            }
            near.enable(ACE_NONBLOCK);
            far.enable(ACE_NONBLOCK);
            carried.push_back({near, far, {}, {}});
            wait = noWait;
        }
    }

    auto tick() -> void
    {
        acceptAll();
        const TimePoint now = reactor.now();
        const auto passed = std::min<Utils::Duration>(now - lastTick, LongestTick);
        lastTick = now;
        budget = std::min(budget, 0.0) + bytesPerSecond * Utils::toSeconds(passed);
        for (auto one = carried.begin(); one != carried.end();)
            one = goOn(one, carryOut(*one));
        const bool isLimited = carryIn();
        if (!isLimited)
            backlogSince.reset();
        else if (!backlogSince)
            backlogSince = now;
    }

    auto carryOut(Carried &one) -> Move
    {
        size_t moved = 0;
        Move result = Move::Some;
        while (result == Move::Some)
            result = move(one.near, one.far, one.toFar, PacketBytes, moved);
        return result;
    }

    /// Takes turns between connections; true if bytes may have to wait for the next tick.
    auto carryIn() -> bool
    {
        bool hasMoved = true;
        while (hasMoved) {
            hasMoved = false;
            for (auto one = carried.begin(); one != carried.end();) {
                if (bytesPerSecond > 0 && budget <= 0)
                    return true;
                size_t moved = 0;
                const Move result = move(one->far, one->near, one->toNear, PacketBytes, moved);
                budget -= static_cast<double>(moved);
                hasMoved = hasMoved || result == Move::Some;
                one = goOn(one, result);
            }
            // Connections that were served first go last.
            if (!carried.empty())
                carried.splice(carried.end(), carried, carried.begin());
        }
        return false;
    }

    /// A connection that one end has closed or reset ends alike for the other.
    auto goOn(std::list<Carried>::iterator one, Move result) -> std::list<Carried>::iterator
    {
        if (!isOver(result))
            return std::next(one);
        if (result == Move::Failed) {
            linger discard = {1, 0};
            one->near.set_option(SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
            one->far.set_option(SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        }
        one->near.close();
        one->far.close();
        return carried.erase(one);
    }
};

NarrowWire::NarrowWire(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

NarrowWire::~NarrowWire()
{
    d->acceptor.close();
    for (auto one = d->carried.begin(); one != d->carried.end();)
        one = d->goOn(one, Move::Failed);
}

auto NarrowWire::create(Net::Reactor &reactor, const Http1::SocketAddress &target)
    -> Utils::Result<std::unique_ptr<NarrowWire>, std::string>
{
    auto data = std::make_unique<Private>(reactor, target.toString());
    const ACE_INET_Addr where("127.0.0.1:0");
    // Who connects may wait for it and share this thread.
    if (data->acceptor.open(where, 1, PF_INET, Backlog) != 0)
        return tl::unexpected(std::string("cannot listen for a narrow link"));
    data->acceptor.enable(ACE_NONBLOCK);
    data->lastTick = reactor.now();
    Private *wire = data.get();
    data->timer =
        std::make_unique<Net::PeriodicTimer>(reactor, TickPause, [wire] { wire->tick(); });
    return std::unique_ptr<NarrowWire>(new NarrowWire(std::move(data)));
}

auto NarrowWire::address() const -> Http1::SocketAddress
{
    ACE_INET_Addr where;
    d->acceptor.get_local_addr(where);
    return *Http1::SocketAddress::parse("127.0.0.1:" + std::to_string(where.get_port_number()));
}

auto NarrowWire::setMbitPerSecond(double rate) -> void
{
    d->bytesPerSecond = rate * BytesPerMbit;
}

auto NarrowWire::backlogTime() const -> Utils::Duration
{
    return d->backlogSince ? d->reactor.now() - *d->backlogSince : Utils::Duration::zero();
}

} // namespace Soak
