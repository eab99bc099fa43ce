#include "connectprobe.h"

#include <net/reactor.h>

#include <cerrno>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Gateway {

struct ConnectProbe::Private : std::enable_shared_from_this<ConnectProbe::Private>
{
    Net::Reactor *reactor = nullptr;
    int fd = -1;
    Net::Reactor::TimerId timer = 0;
    std::function<void(Outcome)> onEnd;

    auto close() -> void
    {
        reactor->cancel(timer);
        if (fd < 0)
            return;
        reactor->unwatch(fd);
        ::close(fd);
        fd = -1;
    }

    auto end(Outcome outcome) -> void
    {
        const auto self = shared_from_this();
        close();
        const auto callback = std::move(onEnd);
        onEnd = nullptr;
        if (callback)
            callback(outcome);
    }

    static auto outcomeOf(int error) -> Outcome
    {
        if (error == 0)
            return Outcome::Accepted;
        return error == ECONNREFUSED ? Outcome::Refused : Outcome::Unknown;
    }

    auto handleReady() -> void
    {
        int error = 0;
        socklen_t length = sizeof error;
        if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
            error = errno;
        end(outcomeOf(error));
    }
};

ConnectProbe::ConnectProbe(std::shared_ptr<Private> data)
    : d(std::move(data))
{ }

ConnectProbe::~ConnectProbe()
{
    d->onEnd = nullptr;
    d->close();
}

auto ConnectProbe::start(Net::Reactor &reactor, const Http1::SocketAddress &address,
                         Utils::Duration timeout, std::function<void(Outcome)> onEnd)
    -> std::unique_ptr<ConnectProbe>
{
    auto data = std::make_shared<Private>();
    data->reactor = &reactor;
    data->onEnd = std::move(onEnd);
    const auto endLater = [&reactor, &data](Utils::Duration delay, Outcome outcome) {
        data->timer = reactor.callAfter(delay, [weak = std::weak_ptr<Private>(data), outcome] {
            if (const auto self = weak.lock())
                self->end(outcome);
        });
    };
    std::unique_ptr<ConnectProbe> probe(new ConnectProbe(data));
    data->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (data->fd < 0) {
        endLater(Utils::Duration::zero(), Outcome::Unknown);
        return probe;
    }
    sockaddr_in peer = {};
    peer.sin_family = AF_INET;
    peer.sin_addr.s_addr = htonl(address.ip());
    peer.sin_port = htons(address.port());
    if (::connect(data->fd, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0
        && errno != EINPROGRESS) {
        endLater(Utils::Duration::zero(), Private::outcomeOf(errno));
        return probe;
    }
    endLater(timeout, Outcome::Unknown);
    reactor.watch(data->fd, {false, true}, [d = data.get()](Net::Interest) { d->handleReady(); });
    return probe;
}

} // namespace Gateway
