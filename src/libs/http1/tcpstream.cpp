#include "tcpstream.h"

#include "http1constants.h"

#include <net/reactor.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Http1 {

namespace {

/// Frees the memory of a text; assigning an empty one would keep it.
auto release(std::string &text) -> void
{
    std::string().swap(text);
}

} // namespace

struct TcpStream::Private : std::enable_shared_from_this<TcpStream::Private>
{
    Net::Reactor *reactor = nullptr;
    int fd = -1;
    Events events;
    std::string unsent;
    bool connected = false;
    bool sent = false;
    bool lingering = false;
    bool shutDown = false;
    bool readingPaused = false;
    size_t unsentOffset = 0; ///< Of the first unsent byte in `unsent`.
    Net::Reactor::TimerId lingerTimer = 0;
    std::function<void()> onSent; ///< While lingering.

    auto watch() -> void
    {
        if (fd < 0)
            return;
        const bool wantsWrite = !connected || !unsent.empty();
        reactor->watch(fd, {connected && !readingPaused, wantsWrite},
                       [self = shared_from_this()](Net::Interest ready) {
                           if (ready.write)
                               self->handleWritable();
                           if (ready.read)
                               self->handleReadable();
                       });
    }

    auto close() -> void
    {
        if (fd < 0)
            return;
        reactor->cancel(lingerTimer);
        reactor->unwatch(fd);
        ::close(fd);
        fd = -1;
        notifySent();
    }

    auto notifySent() -> void
    {
        const auto callback = std::move(onSent);
        onSent = nullptr;
        if (callback)
            callback();
    }

    auto startLingerTimer() -> void
    {
        reactor->cancel(lingerTimer);
        lingerTimer = reactor->callAfter(Constants::LingerTimeout,
                                         [self = shared_from_this()] { self->close(); });
    }

    auto end(StreamEnd how) -> void
    {
        const auto keep = shared_from_this();
        close();
        const auto onEnd = std::move(events.onEnd);
        events = {};
        if (onEnd)
            onEnd(how);
    }

    auto handleWritable() -> void
    {
        if (fd < 0)
            return;
        if (!connected) {
            int error = 0;
            socklen_t length = sizeof error;
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
            if (error != 0)
                return end(StreamEnd::Broken);
            connected = true;
            if (events.maySend && !events.maySend())
                return end(StreamEnd::Broken);
        }
        if (flush())
            watch();
    }

    /// Drops sent bytes without moving the others each time, and frees the memory at the end.
    auto takeSent(size_t count) -> void
    {
        sent = true;
        unsentOffset += count;
        if (unsentOffset == unsent.size()) {
            release(unsent);
            unsentOffset = 0;
        } else if (unsentOffset > unsent.size() / 2) {
            unsent.substr(unsentOffset).swap(unsent);
            unsentOffset = 0;
        }
    }

    /// Sends as much as possible; returns false if the connection ended.
    auto flush() -> bool
    {
        bool hasProgress = false;
        while (!unsent.empty()) {
            const auto count = ::send(fd, unsent.data() + unsentOffset,
                                      unsent.size() - unsentOffset, MSG_NOSIGNAL);
            if (count < 0) {
                if (errno == EAGAIN || errno == EWOULDBLOCK)
                    break;
                if (errno == EINTR)
                    continue;
                end(StreamEnd::Broken);
                return false;
            }
            takeSent(static_cast<size_t>(count));
            hasProgress = true;
            if (lingering)
                startLingerTimer();
        }
        if (hasProgress && events.onSent) {
            const auto notify = events.onSent;
            notify();
        }
        if (fd < 0)
            return false;
        if (lingering && !shutDown && unsent.empty()) {
            shutDown = true;
            ::shutdown(fd, SHUT_WR);
            notifySent();
        }
        return true;
    }

    /// Sends data that was written while nothing else was unsent.
    auto sendFirst() -> void
    {
        if (!connected || unsent.empty())
            return;
        const auto count = ::send(fd, unsent.data(), unsent.size(), MSG_NOSIGNAL);
        if (count > 0)
            takeSent(static_cast<size_t>(count));
        // An error is reported again at the next writable event, which ends the connection.
        if (!unsent.empty())
            watch();
    }

    auto handleReadable() -> void
    {
        const auto keep = shared_from_this();
        std::array<char, Constants::ReadBlockBytes> block;
        for (int reads = 0; fd >= 0 && !readingPaused && reads < Constants::MaxConsecutiveReads;
             ++reads) {
            const auto count = ::recv(fd, block.data(), block.size(), 0);
            if (count < 0) {
                if (errno == EINTR)
                    continue;
                if (errno != EAGAIN && errno != EWOULDBLOCK)
                    end(StreamEnd::Broken);
                return;
            }
            if (count == 0)
                return lingering ? close() : end(StreamEnd::Finished);
            if (events.onData) {
                const auto onData = events.onData;
                onData({block.data(), static_cast<size_t>(count)});
            }
            if (static_cast<size_t>(count) < block.size())
                return;
        }
    }
};

namespace {

auto setOption(int fd, int level, int option, int value) -> void
{
    setsockopt(fd, level, option, &value, sizeof value);
}

auto configure(int fd) -> void
{
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    const int interval = static_cast<int>(Constants::KeepAliveInterval.count());
    setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, Constants::KeepAliveProbes);
    setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(Constants::PeerTimeout.count()));
}

} // namespace

TcpStream::TcpStream(std::shared_ptr<Private> data)
    : d(std::move(data))
{ }

TcpStream::~TcpStream()
{
    if (d->lingering)
        return;
    d->events = {};
    d->close();
}

auto TcpStream::connect(Net::Reactor &reactor, const SocketAddress &peer)
    -> Utils::Result<std::unique_ptr<TcpStream>, std::string>
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return tl::unexpected(std::string("cannot create a socket: ") + std::strerror(errno));
    configure(fd);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(peer.ip());
    address.sin_port = htons(peer.port());
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        && errno != EINPROGRESS) {
        const std::string reason = std::strerror(errno);
        ::close(fd);
        return tl::unexpected("cannot connect to " + peer.toString() + ": " + reason);
    }
    auto data = std::make_shared<Private>();
    data->reactor = &reactor;
    data->fd = fd;
    data->watch();
    return std::unique_ptr<TcpStream>(new TcpStream(std::move(data)));
}

auto TcpStream::adopt(Net::Reactor &reactor, int fd) -> std::unique_ptr<TcpStream>
{
    configure(fd);
    auto data = std::make_shared<Private>();
    data->reactor = &reactor;
    data->fd = fd;
    data->connected = true;
    data->watch();
    return std::unique_ptr<TcpStream>(new TcpStream(std::move(data)));
}

auto TcpStream::setEvents(Events events) -> void
{
    d->events = std::move(events);
}

auto TcpStream::write(std::string_view data) -> void
{
    if (d->fd < 0)
        return;
    const bool wasIdle = d->unsent.empty();
    if (unsentBytes() > Constants::MaxUnsentBytes) {
        // The event loop then reports the end, so that no callback is called inside `write`.
        ::shutdown(d->fd, SHUT_RDWR);
        return;
    }
    d->unsent += data;
    if (wasIdle)
        d->sendFirst();
}

auto TcpStream::writeWhole(std::string data) -> void
{
    if (d->fd < 0 || !d->unsent.empty())
        return write(data);
    d->unsent = std::move(data);
    d->sendFirst();
}

auto TcpStream::pauseReading() -> void
{
    d->readingPaused = true;
    d->watch();
}

auto TcpStream::resumeReading() -> void
{
    if (!d->readingPaused)
        return;
    d->readingPaused = false;
    d->watch();
    // A connection that ended meanwhile may no longer be reported by the event loop.
    d->reactor->callAfter(Utils::Duration::zero(), [data = d] {
        if (!data->readingPaused && !data->lingering)
            data->handleReadable();
    });
}

auto TcpStream::closeGracefully(std::function<void()> onSent) -> void
{
    d->events = {};
    d->readingPaused = false;
    d->onSent = std::move(onSent);
    if (d->fd < 0)
        return d->notifySent();
    d->lingering = true;
    d->startLingerTimer();
    if (!d->unsent.empty())
        return d->watch();
    d->shutDown = true;
    ::shutdown(d->fd, SHUT_WR);
    d->watch();
    d->notifySent();
}

auto TcpStream::closeNow() -> void
{
    d->events = {};
    d->close();
}

auto TcpStream::reset() -> void
{
    setResetsOnClose();
    closeNow();
}

auto TcpStream::setResetsOnClose() -> void
{
    const linger resetOnClose = {1, 0};
    if (d->fd >= 0)
        setsockopt(d->fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
}

auto TcpStream::setAcknowledgementTimeout(std::chrono::milliseconds timeout) -> void
{
    // The kernel takes 0 for its own, much longer default.
    constexpr std::chrono::milliseconds shortest(1);
    if (d->fd >= 0)
        setOption(d->fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                  static_cast<int>(std::max(timeout, shortest).count()));
}

auto TcpStream::peerHasClosed() const -> bool
{
    if (d->fd < 0)
        return true;
    char byte = 0;
    const auto count = ::recv(d->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

auto TcpStream::hasUnreadBytes() const -> bool
{
    char byte = 0;
    return d->fd >= 0 && ::recv(d->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

auto TcpStream::isConnected() const -> bool
{
    return d->connected && d->fd >= 0;
}

auto TcpStream::hasSent() const -> bool
{
    return d->sent;
}

auto TcpStream::unsentBytes() const -> size_t
{
    return d->unsent.size() - d->unsentOffset;
}

} // namespace Http1
