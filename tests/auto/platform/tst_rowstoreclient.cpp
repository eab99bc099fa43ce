// The store's client when the store's answers are slow, endless, or truncated.

#include <http1/tcplistener.h>
#include <http1/tcpstream.h>
#include <net/reactor.h>
#include <platform/rowstoreclient.h>

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Gateway::RowSet;
using Gateway::StoreError;

namespace {

/// A store that answers a call with the same piece of data every few milliseconds.
class RowStoreCalls : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        loop = std::move(*Net::Reactor::create());
        listener = std::move(*Http1::TcpListener::listen(
            *loop, *Http1::SocketAddress::parse("127.0.0.1:0"),
            [this](std::unique_ptr<Http1::TcpStream> stream) {
                peer = std::move(stream);
                peer->setEvents({[this](std::string_view) {
                                     peer->write(opening);
                                     sendMore();
                                 },
                                 [this](Http1::StreamEnd) { closed = true; }});
            }));
        client = std::make_unique<Platform::RowStoreClient>(
            *loop, *Http1::SocketAddress::parse("127.0.0.1:" + std::to_string(listener->port())));
    }

    auto sendMore() -> void
    {
        if (closed || pieces == 0)
            return;
        --pieces;
        if (peer->unsentBytes() <= piece.size())
            peer->write(piece);
        loop->callAfter(pause, [this] { sendMore(); });
    }

    /// Lists the table and returns the time that it took.
    auto list() -> Utils::Duration
    {
        const auto begun = loop->now();
        client->list(
            "servers", {}, [this] { ++progress; },
            [this](const auto &result) {
                answer = result;
                loop->stop();
            });
        loop->run();
        loop->restart();
        const auto took = loop->now() - begun;
        loop->callAfter(50ms, [this] { loop->stop(); });
        loop->run();
        loop->restart();
        return took;
    }

    std::unique_ptr<Net::Reactor> loop;
    std::unique_ptr<Http1::TcpListener> listener;
    std::unique_ptr<Http1::TcpStream> peer;
    std::unique_ptr<Platform::RowStoreClient> client;
    std::string opening;
    std::string piece;
    int pieces = 1 << 20;
    std::chrono::milliseconds pause{1};
    bool closed = false;
    int progress = 0; ///< Number of progress callbacks.
    Utils::Result<RowSet, StoreError> answer = tl::unexpected(StoreError::Conflict);
};

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// A long list over a slow link takes longer than the timeout for a silent store.
TEST_F(RowStoreCalls, SlowAnswerThatMakesProgressIsAwaited)
{
    const std::string body = "{\"rows\":[],\"ver\":7}";
    opening = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size() + 20) + "\r\n\r\n"
        + body;
    piece = " ";
    pieces = 20;
    pause = 100ms;
    const auto took = list();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->version.number, 7U);
    EXPECT_GT(took, 1900ms);
    EXPECT_GE(progress, 20);
}

// Guards against a large configuration that is never received: its answer was aborted after six
// seconds on a slow link and requested again from the start.
TEST_F(RowStoreCalls, LargeAnswerOnASlowLinkIsReceivedCompletely)
{
    const std::string body = "{\"rows\":[],\"ver\":7}";
    constexpr size_t pieceBytes = 20 << 10;
    constexpr int pieceCount = 80;
    opening = "HTTP/1.1 200 OK\r\nContent-Length: "
        + std::to_string(body.size() + pieceCount * pieceBytes) + "\r\n\r\n" + body;
    piece = std::string(pieceBytes, ' ');
    pieces = pieceCount;
    pause = 100ms;
    const auto took = list();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->version.number, 7U);
    EXPECT_GT(took, 7s);
}

TEST_F(RowStoreCalls, SilentStoreTimesOut)
{
    opening = chunkedHead;
    pieces = 0;
    EXPECT_LT(list(), 2s);
    EXPECT_FALSE(answer);
    EXPECT_TRUE(closed);
}

TEST_F(RowStoreCalls, EndlessBodyIsCutOff)
{
    opening = chunkedHead;
    piece = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    EXPECT_LT(list(), 2s);
    EXPECT_FALSE(answer);
    EXPECT_TRUE(closed);
}

TEST_F(RowStoreCalls, EndlessHeadIsCutOff)
{
    opening = "HTTP/1.1 200 OK\r\n";
    piece = "X-More: and more\r\n";
    EXPECT_LT(list(), 2s);
    EXPECT_FALSE(answer);
    EXPECT_TRUE(closed);
}

TEST_F(RowStoreCalls, SlowEndlessBodyIsCutOff)
{
    opening = chunkedHead;
    piece = "1\r\n \r\n";
    pause = 50ms;
    EXPECT_LT(list(), 7s);
    EXPECT_FALSE(answer);
    EXPECT_TRUE(closed);
}

// Guards against: one row that can't be read made the whole answer unreadable.
TEST_F(RowStoreCalls, RowsThatCannotBeReadLeaveTheOthersInTheAnswer)
{
    const std::string good = R"({"table":"servers","part":"","key":"a","value":"e30=","ver":3})";
    const std::vector<std::string> odd = {
        R"({"key":"b","value":"no base64!","ver":4})",
        R"({"key":"b","value":7,"ver":4})",
        R"({"key":"b","ver":4})",
        R"({"key":"b","value":"e30=","ver":"4"})",
        R"({"key":"b","value":"e30=","ver":4.5})",
        R"({"key":"b","value":"e30=","ver":-4})",
        R"({"key":"b","value":"e30=","ver":18446744073709551615})",
        R"({"key":"b","value":"e30=","ver":4,"removed":1})",
    };
    const std::vector<std::string> withoutKey = {
        "7",
        "null",
        "[]",
        R"({"value":"e30=","ver":4})",
        R"({"key":7,"value":"e30=","ver":4})",
        R"({"key":"b","part":7,"value":"e30=","ver":4})",
    };
    pieces = 0;
    const auto listWith = [&](const std::string &row) {
        const std::string body = R"({"ver":9,"rows":[)" + row + "," + good + "]}";
        opening =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        list();
        ASSERT_TRUE(answer) << row;
        EXPECT_EQ(answer->version.number, 9) << row;
        ASSERT_FALSE(answer->rows.empty()) << row;
        EXPECT_EQ(answer->rows.back().key, "a") << row;
        EXPECT_EQ(answer->rows.back().value, "{}") << row;
        EXPECT_FALSE(answer->rows.back().fault) << row;
    };
    for (const std::string &row : odd) {
        listWith(row);
        ASSERT_EQ(answer->rows.size(), 2) << row;
        EXPECT_EQ(answer->rows.front().key, "b") << row;
        EXPECT_TRUE(answer->rows.front().fault) << row;
    }
    for (const std::string &row : withoutKey) {
        listWith(row);
        EXPECT_EQ(answer->rows.size(), 1) << row;
    }
}
