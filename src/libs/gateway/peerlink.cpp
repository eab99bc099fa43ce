#include "peerlink.h"

#include <net/reactor.h>
#include <utils/jsonfield.h>
#include <utils/jsontext.h>

#include <array>
#include <cerrno>
#include <cstring>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Gateway {

namespace {

/// Largest payload of a datagram.
constexpr size_t MaxDatagramBytes = 60 << 10;

/// Datagrams received at a time, so that a flood of them doesn't keep everything else waiting.
constexpr int MaxConsecutiveDatagrams = 64;

auto toSockaddr(const Http1::SocketAddress &address) -> sockaddr_in
{
    sockaddr_in result = {};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.ip());
    result.sin_port = htons(address.port());
    return result;
}

} // namespace

struct PeerLink::Private
{
    Net::Reactor *reactor = nullptr;
    int fd = -1;
    MessageCallback onMessage;

    auto receive() -> void
    {
        std::array<char, MaxDatagramBytes> buffer;
        for (int i = 0; i < MaxConsecutiveDatagrams; ++i) {
            sockaddr_in from = {};
            socklen_t length = sizeof from;
            const auto count = ::recvfrom(fd, buffer.data(), buffer.size(), 0,
                                          reinterpret_cast<sockaddr *>(&from), &length);
            if (count < 0)
                return;
            const auto message = Utils::parseJson({buffer.data(), static_cast<size_t>(count)});
            if (message && message->is_object())
                onMessage(*message,
                          Http1::SocketAddress::create(ntohl(from.sin_addr.s_addr),
                                                       ntohs(from.sin_port)));
        }
    }
};

PeerLink::PeerLink(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

PeerLink::~PeerLink()
{
    d->reactor->unwatch(d->fd);
    ::close(d->fd);
}

auto PeerLink::open(Net::Reactor &reactor, const Http1::SocketAddress &own,
                    MessageCallback onMessage)
    -> Utils::Result<std::unique_ptr<PeerLink>, std::string>
{
    const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = toSockaddr(own);
    if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        const std::string reason = std::strerror(errno);
        if (fd >= 0)
            ::close(fd);
        return tl::unexpected("cannot open " + own.toString() + " for datagrams: " + reason);
    }
    auto data = std::make_unique<Private>();
    data->reactor = &reactor;
    data->fd = fd;
    data->onMessage = std::move(onMessage);
    reactor.watch(fd, {true, false}, [d = data.get()](Net::Interest) { d->receive(); });
    return std::unique_ptr<PeerLink>(new PeerLink(std::move(data)));
}

auto PeerLink::send(const Http1::SocketAddress &peer, const nlohmann::json &message) -> void
{
    const std::string text = Utils::toJsonText(message);
    const sockaddr_in address = toSockaddr(peer);
    // A datagram that cannot be sent is treated as lost; the next one carries newer data.
    ::sendto(d->fd, text.data(), text.size(), MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr *>(&address), sizeof address);
}

} // namespace Gateway
