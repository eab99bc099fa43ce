// A call that must not be retried reaches the server once, also over a reused connection.

#include <net/httpclient.h>
#include <net/reactor.h>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <string>

namespace {

/// Answers the first request of a connection; closes it on the second one without an answer.
class ClosingServer
{
public:
    explicit ClosingServer(Net::Reactor &reactor)
        : m_reactor(reactor)
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        bind(m_listener, reinterpret_cast<sockaddr *>(&address), length);
        listen(m_listener, 16);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_reactor.watch(m_listener, {true, false}, [this](Net::Interest) {
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
            if (fd >= 0)
                m_reactor.watch(fd, {true, false}, [this, fd](Net::Interest) { serve(fd); });
        });
    }
    ~ClosingServer()
    {
        m_reactor.unwatch(m_listener);
        close(m_listener);
    }
    auto url() const -> std::string
    {
        return "http://127.0.0.1:" + std::to_string(m_port) + "/submissions";
    }
    auto requests() const -> int { return m_requests; }

private:
    auto serve(int fd) -> void
    {
        char bytes[4096];
        const auto count = read(fd, bytes, sizeof bytes);
        if (count > 0 && std::string(bytes, static_cast<size_t>(count)).find("POST") == 0) {
            ++m_requests;
            if (m_served[fd]++ == 0) {
                const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                EXPECT_EQ(write(fd, answer.data(), answer.size()),
                          static_cast<ssize_t>(answer.size()));
                return;
            }
        }
        m_served.erase(fd);
        m_reactor.unwatch(fd);
        close(fd);
    }

    Net::Reactor &m_reactor;
    int m_listener;
    int m_port = 0;
    int m_requests = 0;
    std::map<int, int> m_served;
};

} // namespace

TEST(HttpClient, PostOverConnectionClosedByServerIsNotSentAgain)
{
    auto reactor = Net::Reactor::create();
    ASSERT_TRUE(reactor);
    Net::Reactor &loop = **reactor;
    ClosingServer server(loop);
    Net::HttpClient client(loop);
    Net::HttpCall call;
    call.method = "POST";
    call.url = server.url();
    call.body = "x";
    int answers = 0;
    client.start(call, [&](const Net::HttpOutcome &) {
        ++answers;
        client.start(call, [&](const Net::HttpOutcome &) {
            ++answers;
            loop.stop();
        });
    });
    loop.callAfter(std::chrono::seconds(5), [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(answers, 2);
    EXPECT_EQ(server.requests(), 2);
}
