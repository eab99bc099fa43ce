// Blocking HTTP/1.1 for the stand-ins: one message at a time on one connection.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    auto field(const std::string &name) const -> std::string;
    auto has(const std::string &name) const -> bool;
    /// Second word of the start line: a request's target, or a response's status.
    auto secondWord() const -> std::string;
    auto method() const -> std::string { return startLine.substr(0, startLine.find(' ')); }
};

/// One end of a TCP connection. Reads end at `deadline`, or never if there is none.
class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    { }
    ~Connection();
    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    static auto open(const std::string &ip, int port) -> int;

    auto send(const std::string &bytes) -> bool;
    auto readHead(Message &message) -> bool;
    /// Reads a body with a length or in chunks; `onData` may be called many times.
    auto readBody(Message &message) -> bool;
    auto readMessage(Message &message) -> bool { return readHead(message) && readBody(message); }
    auto peerHasClosed() const -> bool;
    /// Ends the connection from another thread; its own one closes it.
    auto end() -> void;
    auto setDeadline(Clock::time_point deadline) -> void { m_deadline = deadline; }
    auto hasTimedOut() const -> bool { return m_hasTimedOut; }

private:
    auto fill() -> bool;
    auto readLine(std::string &line) -> bool;
    auto readBytes(size_t count, std::string &into) -> bool;

    int m_fd;
    std::string m_buffer;
    std::optional<Clock::time_point> m_deadline;
    bool m_hasTimedOut = false;
};

/// Listens on `port` of `ip`, or on a free one if it is 0; sets `port`.
auto listenOn(const std::string &ip, int &port) -> int;
/// Returns a port of `ip` that is free for TCP and UDP.
auto freePort(const std::string &ip) -> int;

} // namespace Review
