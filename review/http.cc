#include "http.hh"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <strings.h>

namespace Review {

namespace {

auto addressOf(const std::string &ip, int port) -> sockaddr_in
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

} // namespace

auto Message::field(const std::string &name) const -> std::string
{
    for (const auto &[known, value] : fields) {
        if (strcasecmp(known.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

auto Message::has(const std::string &name) const -> bool
{
    return std::any_of(fields.begin(), fields.end(), [&](const auto &one) {
        return strcasecmp(one.first.c_str(), name.c_str()) == 0;
    });
}

auto Message::secondWord() const -> std::string
{
    const auto from = startLine.find(' ');
    if (from == std::string::npos)
        return {};
    const auto to = startLine.find(' ', from + 1);
    return startLine.substr(from + 1, to == std::string::npos ? to : to - from - 1);
}

Connection::~Connection()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

auto Connection::open(const std::string &ip, int port) -> int
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

auto Connection::send(const std::string &bytes) -> bool
{
    size_t done = 0;
    while (done < bytes.size()) {
        const auto count = ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        done += static_cast<size_t>(count);
    }
    return true;
}

auto Connection::fill() -> bool
{
    if (m_deadline) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(*m_deadline - Clock::now()).count();
        pollfd entry = {m_fd, POLLIN, 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
            m_hasTimedOut = true;
            return false;
        }
    }
    char block[16384];
    const auto count = ::recv(m_fd, block, sizeof block, 0);
    if (count <= 0)
        return false;
    m_buffer.append(block, static_cast<size_t>(count));
    return true;
}

auto Connection::readLine(std::string &line) -> bool
{
    while (true) {
        const auto end = m_buffer.find("\r\n");
        if (end != std::string::npos) {
            line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            return true;
        }
        if (!fill())
            return false;
    }
}

auto Connection::readBytes(size_t count, std::string &into) -> bool
{
    while (m_buffer.size() < count) {
        if (!fill())
            return false;
    }
    into.append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    return true;
}

auto Connection::readHead(Message &message) -> bool
{
    message = {};
    if (!readLine(message.startLine))
        return false;
    std::string line;
    while (readLine(line)) {
        if (line.empty())
            return true;
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(line.substr(0, colon),
                                    value == std::string::npos ? "" : line.substr(value));
    }
    return false;
}

auto Connection::readBody(Message &message) -> bool
{
    if (message.field("Transfer-Encoding") == "chunked") {
        std::string line;
        while (readLine(line)) {
            const auto size = std::stoul(line, nullptr, 16);
            if (!readBytes(size, message.body) || !readLine(line))
                return false;
            if (size == 0)
                return true;
        }
        return false;
    }
    const std::string length = message.field("Content-Length");
    return length.empty() || readBytes(std::stoul(length), message.body);
}

auto Connection::peerHasClosed() const -> bool
{
    char byte = 0;
    const auto count = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

auto Connection::end() -> void
{
    ::shutdown(m_fd, SHUT_RDWR);
}

auto listenOn(const std::string &ip, int &port) -> int
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = addressOf(ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(fd, 512) != 0)
        return -1;
    socklen_t length = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    port = ntohs(address.sin_port);
    return fd;
}

auto freePort(const std::string &ip) -> int
{
    while (true) {
        int port = 0;
        const int stream = listenOn(ip, port);
        const int datagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf(ip, port);
        const bool isFree =
            ::bind(datagrams, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(stream);
        ::close(datagrams);
        if (isFree)
            return port;
    }
}

} // namespace Review
