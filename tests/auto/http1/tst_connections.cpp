// Connections between a client and a server on loopback, and how each detects the other's end.

#include <http1/clientconnection.h>
#include <http1/serverconnection.h>
#include <http1/tcplistener.h>
#include <http1/tcpstream.h>
#include <net/reactor.h>

#include <gtest/gtest.h>

#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace Http1;
using namespace std::chrono_literals;

namespace {

/// A client or server under test, and a peer that receives raw bytes and sends those of the test.
class Connections : public testing::Test
{
protected:
    auto SetUp() -> void override { loop = std::move(*Net::Reactor::create()); }

    auto listenRaw(std::function<void(TcpStream &, std::string_view)> onData) -> SocketAddress
    {
        listener = std::move(*TcpListener::listen(
            *loop, *SocketAddress::parse("127.0.0.1:0"), [this, onData](auto stream) {
                TcpStream *raw = stream.get();
                raw->setEvents({[this, raw, onData](std::string_view data) {
                                    received += data;
                                    onData(*raw, data);
                                },
                                [this](StreamEnd how) { peerEnds.push_back(how); }});
                accepted.push_back(std::move(stream));
            }));
        return SocketAddress::parse("127.0.0.1:" + std::to_string(listener->port())).value();
    }

    auto listenServer(std::function<void(ServerConnection &, const RequestHead &)> onRequest)
        -> SocketAddress
    {
        listener = std::move(*TcpListener::listen(
            *loop, *SocketAddress::parse("127.0.0.1:0"), [this, onRequest](auto stream) {
                servers.emplace_back();
                const size_t index = servers.size() - 1;
                ServerConnection::Events events;
                events.limits = [this] { return limits; };
                events.onRequest = [this, index, onRequest](const RequestHead &head,
                                                            std::string &&body) {
                    bodies.push_back(std::move(body));
                    onRequest(*servers[index], head);
                };
                events.onClientDisconnected = [this] { ++disconnectedCount; };
                events.onClosed = [this] { ++closedCount; };
                servers[index] =
                    std::make_unique<ServerConnection>(*loop, std::move(stream), std::move(events));
            }));
        return SocketAddress::parse("127.0.0.1:" + std::to_string(listener->port())).value();
    }

    auto call(ClientConnection &connection, std::function<bool(const ResponseHead &)> accept = {})
        -> void
    {
        ended.reset();
        body.clear();
        connection.call("POST /x HTTP/1.1\r\nContent-Length: 1\r\n\r\nz",
                        {[this, accept](const ResponseHead &head, Framing) {
                             status = head.status;
                             return !accept || accept(head);
                         },
                         [this](std::string_view data) { body += data; },
                         [this](CallEnd how) { ended = how; }});
    }

    /// Connects a plain socket with a small receive buffer.
    static auto connectSlowClient(const SocketAddress &to) -> int
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int bufferBytes = 64 << 10;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
        sockaddr_in peer = {};
        peer.sin_family = AF_INET;
        peer.sin_addr.s_addr = htonl(to.ip());
        peer.sin_port = htons(to.port());
        EXPECT_EQ(::connect(fd, reinterpret_cast<sockaddr *>(&peer), sizeof peer), 0);
        return fd;
    }

    auto runUntil(const std::function<bool()> &until, std::chrono::milliseconds timeout = 3s)
        -> bool
    {
        const auto limit = loop->now() + timeout;
        while (!until() && loop->now() < limit) {
            loop->restart();
            loop->callAfter(2ms, [this] { loop->stop(); });
            loop->run();
        }
        return until();
    }

    std::unique_ptr<Net::Reactor> loop;
    std::unique_ptr<TcpListener> listener;
    std::vector<std::unique_ptr<TcpStream>> accepted;
    std::vector<std::unique_ptr<ServerConnection>> servers;
    ServerLimits limits;
    std::vector<std::string> bodies;
    std::string received;
    std::vector<StreamEnd> peerEnds;
    int disconnectedCount = 0;
    int closedCount = 0;
    int status = 0;
    std::string body;
    std::optional<CallEnd> ended;
};

const std::string completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_F(Connections, CallCompletesAndConnectionIsReused)
{
    const auto address =
        listenRaw([](TcpStream &peer, std::string_view) { peer.write(completeAnswer); });
    auto connection = std::move(*ClientConnection::connect(*loop, address));
    for (int i = 0; i < 2; ++i) {
        call(*connection);
        ASSERT_TRUE(runUntil([this] { return ended.has_value(); }));
        EXPECT_EQ(*ended, CallEnd::Complete);
        EXPECT_EQ(body, "ok");
        EXPECT_TRUE(connection->isReusable());
    }
    EXPECT_EQ(accepted.size(), 1U);
}

TEST_F(Connections, CloseWithoutAnswerIsLostAndNeverRepeated)
{
    int requests = 0;
    const auto address = listenRaw([&](TcpStream &peer, std::string_view) {
        if (++requests == 1)
            peer.write(completeAnswer);
        else
            peer.closeNow();
    });
    auto connection = std::move(*ClientConnection::connect(*loop, address));
    call(*connection);
    ASSERT_TRUE(runUntil([this] { return ended.has_value(); }));
    call(*connection);
    ASSERT_TRUE(runUntil([this] { return ended.has_value(); }));
    EXPECT_EQ(*ended, CallEnd::Lost);
    EXPECT_FALSE(connection->isReusable());
    EXPECT_EQ(requests, 2);
    EXPECT_EQ(accepted.size(), 1U);
}

TEST_F(Connections, RefusedConnectionHasSentNothing)
{
    const auto address = listenRaw([](TcpStream &, std::string_view) {});
    listener.reset();
    auto connection = ClientConnection::connect(*loop, address);
    ASSERT_TRUE(connection);
    call(**connection);
    ASSERT_TRUE(runUntil([this] { return ended.has_value(); }));
    EXPECT_EQ(*ended, CallEnd::NotSent);
}

// A process is suspended between connecting and sending, and its permission expires meanwhile.
TEST_F(Connections, CallIsNotSentIfPermissionEndsBeforeTheConnectionIsEstablished)
{
    const auto address =
        listenRaw([](TcpStream &peer, std::string_view) { peer.write(completeAnswer); });
    auto connection = std::move(*ClientConnection::connect(*loop, address));
    bool isPermitted = true;
    connection->call("POST /order HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
                     {[](const ResponseHead &, Framing) { return true; }, [](std::string_view) {},
                      [this](CallEnd how) { ended = how; }, [&] { return isPermitted; }});
    isPermitted = false;
    ASSERT_TRUE(runUntil([this] { return ended.has_value(); }));
    EXPECT_EQ(*ended, CallEnd::NotSent);
    EXPECT_TRUE(runUntil([this] { return peerEnds.size() == 1; }));
    EXPECT_TRUE(received.empty());
}

// A listener is closed while established connections have not been accepted yet.
TEST_F(Connections, PendingConnectionsAreAcceptedBeforeTheListenerCloses)
{
    const auto address = listenServer(
        [](ServerConnection &server, const RequestHead &) { server.respond(200, {}, "ok"); });
    auto connection = std::move(*ClientConnection::connect(*loop, address));
    call(*connection);
    listener->acceptPending();
    listener.reset();
    ASSERT_TRUE(runUntil([this] { return ended.has_value(); }));
    EXPECT_EQ(*ended, CallEnd::Complete);
}

TEST_F(Connections, BytesAfterACompleteAnswerEndTheConnection)
{
    const auto address = listenRaw(
        [](TcpStream &peer, std::string_view) { peer.write(completeAnswer + "HTTP/1.1"); });
    auto connection = std::move(*ClientConnection::connect(*loop, address));
    call(*connection);
    ASSERT_TRUE(runUntil([this] { return ended.has_value(); }));
    EXPECT_EQ(*ended, CallEnd::Complete);
    EXPECT_FALSE(connection->isReusable());
}

TEST_F(Connections, LateAnswerOnAnIdleConnectionEndsIt)
{
    const auto address =
        listenRaw([](TcpStream &peer, std::string_view) { peer.write(completeAnswer); });
    auto connection = std::move(*ClientConnection::connect(*loop, address));
    call(*connection);
    ASSERT_TRUE(runUntil([this] { return ended.has_value(); }));
    bool idleEnded = false;
    connection->onIdleEnd([&] { idleEnded = true; });
    accepted[0]->write(completeAnswer);
    EXPECT_TRUE(runUntil([&] { return idleEnded; }));
    EXPECT_FALSE(connection->isReusable());
}

TEST_F(Connections, AnswerToAnEarlierRequestIsSkipped)
{
    const auto address = listenRaw([](TcpStream &peer, std::string_view) {
        peer.write("HTTP/1.1 200 OK\r\nFor: old\r\nContent-Length: 3\r\n\r\nold");
        peer.write("HTTP/1.1 200 OK\r\nFor: new\r\nContent-Length: 3\r\n\r\nnew");
    });
    auto connection = std::move(*ClientConnection::connect(*loop, address));
    call(*connection, [](const ResponseHead &head) {
        return head.fields.value("for") != std::string_view("old");
    });
    ASSERT_TRUE(runUntil([this] { return ended.has_value(); }));
    EXPECT_EQ(*ended, CallEnd::Complete);
    EXPECT_EQ(body, "new");
    EXPECT_FALSE(connection->isReusable());
}

TEST_F(Connections, AnswerWithoutLengthThatIsResetIsBroken)
{
    const auto address = listenRaw([](TcpStream &peer, std::string_view) {
        peer.write("HTTP/1.1 200 OK\r\n\r\nhalf");
        peer.reset();
    });
    auto connection = std::move(*ClientConnection::connect(*loop, address));
    call(*connection);
    ASSERT_TRUE(runUntil([this] { return ended.has_value(); }));
    EXPECT_NE(*ended, CallEnd::Complete);
}

// Guards against answers that are cut at a planned stop (issue 35, LOST): the client reads slowly,
// and the connection is to be closed after the answer.
TEST_F(Connections, LastAnswerToASlowClientIsSentWhole)
{
    const std::string half(3500 << 10, 'z');
    const auto address = listenServer([&](ServerConnection &server, const RequestHead &) {
        server.closeAfterAnswer();
        server.begin(200, {});
        server.write(half);
        server.write(half);
        server.finish();
    });
    const int fd = connectSlowClient(address);
    const std::string request = "GET /x HTTP/1.1\r\n\r\n";
    ASSERT_EQ(::send(fd, request.data(), request.size(), 0), static_cast<ssize_t>(request.size()));
    constexpr double bytesPerSecond = 2e6;
    std::string answer;
    std::vector<char> block(32 << 10);
    const auto begunAt = loop->now();
    const auto hasEnded = [&] {
        const double passed = std::chrono::duration<double>(loop->now() - begunAt).count();
        while (static_cast<double>(answer.size()) < passed * bytesPerSecond) {
            const auto count = ::recv(fd, block.data(), block.size(), MSG_DONTWAIT);
            if (count <= 0)
                return count == 0 || errno != EAGAIN;
            answer.append(block.data(), static_cast<size_t>(count));
        }
        return false;
    };
    EXPECT_TRUE(runUntil(hasEnded, 10s));
    EXPECT_GT(answer.size(), 2 * half.size());
    EXPECT_TRUE(answer.ends_with(lastChunk)) << answer.size() << " bytes";
    EXPECT_TRUE(runUntil([this] { return closedCount == 1; }));
    ::close(fd);
}

// Guards against a request that is read and dropped at a planned stop (issue 35, LOST): it has
// arrived, but the server has not read it when it closes its idle connections.
TEST_F(Connections, RequestThatArrivesBeforeTheCloseOfAnIdleConnectionIsAnswered)
{
    const auto address = listenServer(
        [](ServerConnection &server, const RequestHead &) { server.respond(200, {}, "ok"); });
    const auto client = std::move(*TcpStream::connect(*loop, address));
    std::string answer;
    client->setEvents({[&](std::string_view data) { answer += data; }, [](StreamEnd) {}});
    ASSERT_TRUE(
        runUntil([&] { return client->isConnected() && servers.size() == 1 && servers[0]; }));
    client->write("POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    servers[0]->closeAfterAnswer();
    EXPECT_TRUE(runUntil([&] { return answer.ends_with("ok"); }));
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(runUntil([this] { return closedCount == 1; }));
}

// Guards against the same (issue 35, LOST): a request that crosses the close of an idle connection
// may be repeated only if it was not read.
TEST_F(Connections, RequestThatCrossesTheCloseOfAnIdleConnectionIsNotRead)
{
    const auto address = listenServer([](ServerConnection &, const RequestHead &) {});
    const int fd = connectSlowClient(address);
    ASSERT_TRUE(runUntil([this] { return servers.size() == 1 && servers[0]; }));
    servers[0]->closeAfterAnswer();
    const std::string request = "POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    ASSERT_EQ(::send(fd, request.data(), request.size(), 0), static_cast<ssize_t>(request.size()));
    // A reset tells the client that the request was not read. Reading the error clears it.
    int error = 0;
    EXPECT_TRUE(runUntil([&] {
        socklen_t length = sizeof error;
        if (error == 0)
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
        return error == EPIPE || error == ECONNRESET;
    }));
    EXPECT_TRUE(bodies.empty());
    ::close(fd);
}

TEST_F(Connections, EarlyAnswerToAnUnfinishedRequestEndsTheConnection)
{
    const auto address = listenRaw([this](TcpStream &peer, std::string_view) {
        if (received.size() < 64U << 10)
            peer.write(completeAnswer);
    });
    auto connection = std::move(*ClientConnection::connect(*loop, address));
    constexpr size_t large = 3 << 20;
    ended.reset();
    std::string request =
        "POST /x HTTP/1.1\r\nContent-Length: " + std::to_string(large) + "\r\n\r\n";
    request += std::string(large, 'z');
    connection->call(request,
                     {[](const ResponseHead &, Framing) { return true; }, [](std::string_view) {},
                      [this](CallEnd how) { ended = how; }});
    ASSERT_TRUE(runUntil([this] { return ended.has_value(); }));
    EXPECT_EQ(*ended, CallEnd::Complete);
    EXPECT_FALSE(connection->isReusable());
}

TEST_F(Connections, ServerNoticesAClientThatLeavesWhileItWaits)
{
    const auto address = listenServer([](ServerConnection &, const RequestHead &) {});
    auto client = std::move(*TcpStream::connect(*loop, address));
    client->write("GET /x HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return bodies.size() == 1; }));
    const auto leftAt = loop->now();
    client->closeNow();
    ASSERT_TRUE(runUntil([this] { return disconnectedCount == 1; }));
    EXPECT_LT(loop->now() - leftAt, 500ms);
}

TEST_F(Connections, StreamEndedByTheServerDoesNotLookComplete)
{
    const auto address = listenServer([](ServerConnection &server, const RequestHead &) {
        server.begin(200, {});
        server.write("part");
        server.abort();
    });
    auto connection = std::move(*ClientConnection::connect(*loop, address));
    call(*connection);
    ASSERT_TRUE(runUntil([this] { return ended.has_value(); }));
    EXPECT_EQ(*ended, CallEnd::Broken);
}

TEST_F(Connections, AnswerBeforeTheConnectionEndsReachesTheClient)
{
    limits.message.bodyBytes = 16;
    const auto address = listenServer([](ServerConnection &, const RequestHead &) {});
    auto client = std::move(*TcpStream::connect(*loop, address));
    std::string answer;
    client->setEvents({[&](std::string_view data) { answer += data; }, [](StreamEnd) {}});
    client->write("POST /x HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'z'));
    ASSERT_TRUE(runUntil([&] { return answer.find("\r\n\r\n") != std::string::npos; }));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 413"));
}

// A caller sends an endless head or body, fast or in small pieces.
TEST_F(Connections, RequestWithoutEndIsRefusedAndItsConnectionEnds)
{
    limits.message = {1024, 4096};
    limits.headTimeout = 300ms;
    const auto address = listenServer([](ServerConnection &, const RequestHead &) {});
    const std::string chunked = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct Case
    {
        std::string opening;
        std::string piece;
        std::string status;
    };
    for (const Case &one : {Case{"GET /x HTTP/1.1\r\n", "X-More: 1\r\n", "431"},
                            Case{chunked, "4\r\nmore\r\n", "413"}}) {
        for (const size_t perPiece : {1U, 1000U}) {
            auto client = std::move(*TcpStream::connect(*loop, address));
            std::string answer;
            bool ended = false;
            client->setEvents(
                {[&](std::string_view data) { answer += data; }, [&](StreamEnd) { ended = true; }});
            client->write(one.opening);
            const auto begun = loop->now();
            auto last = begun;
            EXPECT_TRUE(runUntil([&] {
                if (!ended && loop->now() - last > 20ms && client->unsentBytes() == 0) {
                    last = loop->now();
                    for (size_t i = 0; i < perPiece; ++i)
                        client->write(one.piece);
                }
                return ended || answer.find("\r\n\r\n") != std::string::npos;
            }));
            EXPECT_LT(loop->now() - begun, 600ms);
            const std::string expected = perPiece == 1 ? "408" : one.status;
            // Closing with unread bytes may reset the connection before the answer is read.
            EXPECT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 " + expected)) << answer;
        }
    }
    EXPECT_TRUE(bodies.empty());
}

TEST_F(Connections, PipelinedRequestsAreAnsweredInOrder)
{
    const auto address = listenServer([](ServerConnection &server, const RequestHead &head) {
        server.respond(200, {}, head.target);
    });
    auto client = std::move(*TcpStream::connect(*loop, address));
    std::string answers;
    client->setEvents({[&](std::string_view data) { answers += data; }, [](StreamEnd) {}});
    client->write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return answers.find("/2") != std::string::npos; }));
    EXPECT_LT(answers.find("/1"), answers.find("/2"));
}

TEST_F(Connections, IdleConnectionEndsAfterItsTimeAndAtOnceWhenTheServerStops)
{
    limits.idleTimeout = 50ms;
    const auto address = listenServer(
        [](ServerConnection &server, const RequestHead &) { server.respond(200, {}, {}); });
    auto first = std::move(*TcpStream::connect(*loop, address));
    ASSERT_TRUE(runUntil([this] { return closedCount == 1; }));
    limits.idleTimeout = 10s;
    auto second = std::move(*TcpStream::connect(*loop, address));
    ASSERT_TRUE(runUntil([this] { return servers.size() == 2 && servers[1]; }));
    servers[1]->closeAfterAnswer();
    EXPECT_TRUE(runUntil([this] { return closedCount == 2; }));
}

namespace {

/// A peer that reads only when asked to, so that what is sent to it stays in the sender's kernel.
class UnreadingPeer
{
public:
    UnreadingPeer()
    {
        constexpr int smallest = 4096;
        setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &smallest, sizeof smallest);
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
        EXPECT_EQ(listen(m_listener, 1), 0);
    }

    ~UnreadingPeer()
    {
        ::close(m_listener);
        ::close(m_connection);
    }

    auto address() const -> SocketAddress
    {
        sockaddr_in own = {};
        socklen_t length = sizeof own;
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&own), &length);
        return *SocketAddress::parse("127.0.0.1:" + std::to_string(ntohs(own.sin_port)));
    }

    auto accept() -> void { m_connection = ::accept(m_listener, nullptr, nullptr); }

    /// Number of bytes that have arrived and were not read.
    auto arrivedBytes() const -> size_t
    {
        int count = 0;
        ioctl(m_connection, FIONREAD, &count);
        return static_cast<size_t>(count);
    }

    /// Reads until the connection ends and returns the number of bytes.
    auto readAll() -> size_t
    {
        size_t total = 0;
        std::array<char, 65536> block;
        ssize_t count = 0;
        while ((count = recv(m_connection, block.data(), block.size(), 0)) > 0)
            total += static_cast<size_t>(count);
        isReset = count < 0 && errno == ECONNRESET;
        return total;
    }

    bool isReset = false;

private:
    int m_listener = socket(AF_INET, SOCK_STREAM, 0);
    int m_connection = -1;
};

/// A request that doesn't fit into the peer's buffer.
const std::string LargeRequest(1 << 20, 'x');

auto sendLargeRequest(ClientConnection &connection) -> void
{
    connection.call(LargeRequest,
                    {[](const ResponseHead &, Framing) { return true; }, [](std::string_view) {},
                     [](CallEnd) {}});
}

} // namespace

// Guards against an order that arrives after it was given up (issue 35, ONE): the kernel goes on
// sending what a closed connection still holds.
TEST_F(Connections, NothingIsSentAfterAClosingReset)
{
    UnreadingPeer peer;
    auto connection = std::move(*ClientConnection::connect(*loop, peer.address()));
    connection->setResetsOnClose();
    sendLargeRequest(*connection);
    loop->callAfter(100ms, [this] { loop->stop(); });
    loop->run();
    peer.accept();
    const auto arrived = peer.arrivedBytes();
    ASSERT_GT(arrived, 0U);
    connection.reset();
    EXPECT_LE(peer.readAll(), arrived);
    EXPECT_TRUE(peer.isReset);
}

// The same if the process is killed.
TEST_F(Connections, NothingIsSentAfterTheProcessWasKilled)
{
    UnreadingPeer peer;
    const auto child = fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
        const auto own = std::move(*Net::Reactor::create());
        const auto connection = std::move(*ClientConnection::connect(*own, peer.address()));
        connection->setResetsOnClose();
        sendLargeRequest(*connection);
        own->run();
        _exit(0);
    }
    peer.accept();
    std::this_thread::sleep_for(200ms);
    const auto arrived = peer.arrivedBytes();
    ASSERT_GT(arrived, 0U);
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    EXPECT_LE(peer.readAll(), arrived);
    EXPECT_TRUE(peer.isReset);
}

// The same if the process is suspended: it reads nothing and gives nothing up.
TEST_F(Connections, KernelStopsSendingAfterTheAcknowledgementTimeout)
{
    UnreadingPeer peer;
    auto connection = std::move(*ClientConnection::connect(*loop, peer.address()));
    connection->setAcknowledgementTimeout(300ms);
    sendLargeRequest(*connection);
    loop->callAfter(100ms, [this] { loop->stop(); });
    loop->run();
    peer.accept();
    const auto arrived = peer.arrivedBytes();
    ASSERT_GT(arrived, 0U);
    std::this_thread::sleep_for(1s);
    EXPECT_LE(peer.readAll(), arrived);
}
