#include "tcplistener.h"

#include "http1constants.h"
#include "tcpstream.h"

#include <net/reactor.h>

#include <cerrno>
#include <cstring>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Http1 {

struct TcpListener::Private
{
    Net::Reactor *reactor = nullptr;
    int fd = -1;
    AcceptCallback onAccept;
    Net::Reactor::TimerId retryTimer = 0;

    auto watch() -> void
    {
        reactor->watch(fd, {true, false}, [this](Net::Interest) { acceptAll(); });
    }

    auto acceptAll() -> void
    {
        while (fd >= 0) {
            const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (accepted >= 0) {
                onAccept(TcpStream::adopt(*reactor, accepted));
                continue;
            }
            if (errno == EINTR || errno == ECONNABORTED)
                continue;
            if (errno != EAGAIN && errno != EWOULDBLOCK)
                pause();
            return;
        }
    }

    /// The connection that can't be accepted would keep the socket readable and the event loop
    /// busy.
    auto pause() -> void
    {
        reactor->unwatch(fd);
        reactor->cancel(retryTimer);
        retryTimer = reactor->callAfter(Constants::AcceptRetryDelay, [this] {
            watch();
            acceptAll();
        });
    }
};

TcpListener::TcpListener(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

TcpListener::~TcpListener()
{
    d->reactor->cancel(d->retryTimer);
    d->reactor->unwatch(d->fd);
    ::close(d->fd);
}

auto TcpListener::listen(Net::Reactor &reactor, const SocketAddress &address,
                         AcceptCallback onAccept)
    -> Utils::Result<std::unique_ptr<TcpListener>, std::string>
{
    auto data = std::make_unique<Private>();
    data->reactor = &reactor;
    data->onAccept = std::move(onAccept);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &Constants::ReceiveBufferBytes,
               sizeof Constants::ReceiveBufferBytes);
    sockaddr_in bindAddress = {};
    bindAddress.sin_family = AF_INET;
    bindAddress.sin_addr.s_addr = htonl(address.ip());
    bindAddress.sin_port = htons(address.port());
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr *>(&bindAddress), sizeof bindAddress) != 0
        || ::listen(fd, Constants::ListenBacklog) != 0) {
        const std::string reason = std::strerror(errno);
        if (fd >= 0)
            ::close(fd);
        return tl::unexpected("cannot listen on " + address.toString() + ": " + reason);
    }
    data->fd = fd;
    data->watch();
    return std::unique_ptr<TcpListener>(new TcpListener(std::move(data)));
}

auto TcpListener::acceptPending() -> void
{
    d->acceptAll();
}

auto TcpListener::port() const -> std::uint16_t
{
    sockaddr_in bound = {};
    socklen_t length = sizeof bound;
    getsockname(d->fd, reinterpret_cast<sockaddr *>(&bound), &length);
    return ntohs(bound.sin_port);
}

} // namespace Http1
