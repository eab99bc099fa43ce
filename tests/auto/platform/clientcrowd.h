#pragma once

#include <http1/socketaddress.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>
#include <string_view>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/// Many clients that send the same bytes on connections of their own, step by step, and read as
/// much or as little as the test says.
class ClientCrowd
{
public:
    struct Behaviour
    {
        std::string bytes; ///< What each client sends.
        size_t bytesPerStep = 64 << 10;
        size_t readBytesPerStep = 64 << 10; ///< 0 for clients that never read.
        int receiveBufferBytes = 0; ///< 0 for the kernel's default.
    };

    ClientCrowd(const Http1::SocketAddress &address, int clients, Behaviour behaviour)
        : m_behaviour(std::move(behaviour))
        , m_address(address)
        , m_missing(clients)
    { }

    ~ClientCrowd()
    {
        for (const Client &client : m_clients)
            ::close(client.fd);
    }

    ClientCrowd(const ClientCrowd &) = delete;
    auto operator=(const ClientCrowd &) -> ClientCrowd & = delete;

    /// Lets each client send and read once. Returns the number of bytes that moved, and of clients
    /// that connected.
    auto step() -> size_t
    {
        // A few at a time, so that the gateway's queue of new connections doesn't overflow.
        constexpr int connectsPerStep = 50;
        size_t moved = 0;
        for (int i = 0; i < connectsPerStep && m_missing > 0; ++i, --m_missing, ++moved)
            connect();
        for (Client &client : m_clients) {
            if (!client.isClosed)
                moved += send(client) + receive(client);
        }
        return moved;
    }

    auto openCount() const -> size_t
    {
        return static_cast<size_t>(
            std::count_if(m_clients.begin(), m_clients.end(),
                          [](const Client &client) { return !client.isClosed; }));
    }

private:
    struct Client
    {
        int fd = -1;
        size_t sent = 0;
        bool isClosed = false;
    };

    auto connect() -> void
    {
        Client client;
        client.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (m_behaviour.receiveBufferBytes > 0)
            setsockopt(client.fd, SOL_SOCKET, SO_RCVBUF, &m_behaviour.receiveBufferBytes,
                       sizeof m_behaviour.receiveBufferBytes);
        sockaddr_in to = {};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(m_address.ip());
        to.sin_port = htons(m_address.port());
        const int result = ::connect(client.fd, reinterpret_cast<const sockaddr *>(&to), sizeof to);
        client.isClosed = result != 0 && errno != EINPROGRESS;
        m_clients.push_back(client);
    }

    auto send(Client &client) -> size_t
    {
        const std::string_view rest = std::string_view(m_behaviour.bytes).substr(client.sent);
        if (rest.empty())
            return 0;
        const auto count = ::send(client.fd, rest.data(),
                                  std::min(rest.size(), m_behaviour.bytesPerStep), MSG_NOSIGNAL);
        if (count < 0) {
            client.isClosed = errno != EAGAIN && errno != EINTR;
            return 0;
        }
        client.sent += static_cast<size_t>(count);
        return static_cast<size_t>(count);
    }

    auto receive(Client &client) const -> size_t
    {
        std::array<char, 64 << 10> block;
        const size_t most = std::min(block.size(), m_behaviour.readBytesPerStep);
        if (most == 0 || client.isClosed)
            return 0;
        const auto count = ::recv(client.fd, block.data(), most, 0);
        if (count > 0)
            return static_cast<size_t>(count);
        client.isClosed = count == 0 || (errno != EAGAIN && errno != EINTR);
        return 0;
    }

    Behaviour m_behaviour;
    Http1::SocketAddress m_address;
    int m_missing;
    std::vector<Client> m_clients;
};
