// Blocking HTTP/1.1 on loopback for the review's stand-ins: small, and strict about what it reads.
#pragma once

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace standins {

inline auto nowMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline auto loopback(int port) -> sockaddr_in
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

inline auto portOf(int fd) -> int
{
    sockaddr_in bound = {};
    socklen_t length = sizeof bound;
    getsockname(fd, reinterpret_cast<sockaddr *>(&bound), &length);
    return ntohs(bound.sin_port);
}

/// Listens on a free port, or on the given one. Returns -1 if that fails.
inline auto listenOn(int port = 0) -> int
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(fd, 1024) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// A port that nothing uses, below those that outgoing connections take; another one each time.
inline auto freePort() -> int
{
    static std::mt19937 random(std::random_device{}());
    static std::set<int> given;
    std::uniform_int_distribution<int> choose(18000, 31999);
    while (true) {
        const int port = choose(random);
        const int tcp = listenOn(port);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree = tcp >= 0
            && ::bind(udp, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(udp);
        if (tcp >= 0)
            ::close(tcp);
        if (isFree && given.insert(port).second)
            return port;
    }
}

inline auto connectTo(int port) -> int
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline auto sendAll(int fd, const std::string &text) -> bool
{
    size_t done = 0;
    while (done < text.size()) {
        const auto count = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        done += static_cast<size_t>(count);
    }
    return true;
}

struct Message
{
    std::string first; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool isWhole = false;

    auto field(const std::string &name) const -> std::string
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    auto has(const std::string &name) const -> bool
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return true;
        }
        return false;
    }
    auto method() const -> std::string { return first.substr(0, first.find(' ')); }
    auto target() const -> std::string
    {
        const auto from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
    auto status() const -> int
    {
        const auto space = first.find(' ');
        return space == std::string::npos ? 0 : std::atoi(first.c_str() + space + 1);
    }
};

/// One end of a connection, with what has been received and not read yet.
class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    { }
    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;
    ~Connection() { close(); }

    auto fd() const -> int { return m_fd; }
    auto close() -> void
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }
    auto reset() -> void
    {
        const linger now = {1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    auto send(const std::string &text) -> bool { return m_fd >= 0 && sendAll(m_fd, text); }
    /// True once the peer has closed the connection.
    auto hasEnded() const -> bool
    {
        char byte = 0;
        const auto count = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Reads one message; false if none came whole before `untilMs`. `message` then holds what came.
    auto read(Message &message, std::int64_t untilMs, bool isAnswer) -> bool
    {
        message = {};
        size_t end = 0;
        while ((end = m_received.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(untilMs))
                return false;
        }
        parseHead(m_received.substr(0, end), message);
        m_received.erase(0, end + 4);
        const int status = isAnswer ? message.status() : 0;
        if (isAnswer && (status == 204 || status == 304 || (status >= 100 && status < 200))) {
            message.isWhole = true;
            return true;
        }
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0)
            return message.isWhole = readChunks(message.body, untilMs);
        if (message.has("Content-Length"))
            return message.isWhole = readLength(
                       message.body, std::stoul(message.field("Content-Length")), untilMs);
        if (!isAnswer)
            return message.isWhole = true;
        while (receive(untilMs)) { }
        message.body = std::move(m_received);
        m_received.clear();
        return message.isWhole = m_hasEnded;
    }

    /// Bytes after the last message; waits for some until `untilMs`.
    auto rest(std::int64_t untilMs) -> std::string
    {
        while (receive(untilMs)) { }
        return m_received;
    }

private:
    auto receive(std::int64_t untilMs) -> bool
    {
        pollfd entry = {m_fd, POLLIN, 0};
        const auto left = untilMs - nowMs();
        if (m_fd < 0 || left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
            return false;
        char block[16384];
        const auto count = ::recv(m_fd, block, sizeof block, 0);
        m_hasEnded = count == 0;
        if (count <= 0)
            return false;
        m_received.append(block, static_cast<size_t>(count));
        return true;
    }

    static auto parseHead(const std::string &head, Message &message) -> void
    {
        size_t from = 0;
        while (from <= head.size()) {
            const auto end = std::min(head.find("\r\n", from), head.size());
            const std::string line = head.substr(from, end - from);
            from = end + 2;
            const auto colon = line.find(':');
            if (message.first.empty()) {
                message.first = line;
            } else if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                message.fields.emplace_back(
                    line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
            }
        }
    }

    auto readLength(std::string &body, size_t length, std::int64_t untilMs) -> bool
    {
        while (m_received.size() < length) {
            if (!receive(untilMs)) {
                body = m_received;
                return false;
            }
        }
        body = m_received.substr(0, length);
        m_received.erase(0, length);
        return true;
    }

    auto readChunks(std::string &body, std::int64_t untilMs) -> bool
    {
        while (true) {
            size_t end = 0;
            while ((end = m_received.find("\r\n")) == std::string::npos) {
                if (!receive(untilMs))
                    return false;
            }
            const size_t length = std::stoul(m_received, nullptr, 16);
            m_received.erase(0, end + 2);
            std::string chunk;
            if (!readLength(chunk, length + 2, untilMs)) {
                body += chunk;
                return false;
            }
            if (length == 0)
                return true;
            body += chunk.substr(0, length);
        }
    }

    int m_fd;
    std::string m_received;
    bool m_hasEnded = false;
};

} // namespace standins
