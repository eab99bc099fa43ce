#include <links/framebuffer.h>
#include <links/linkauthentication.h>
#include <links/linkchannel.h>
#include <links/linkserver.h>
#include <net/reactor.h>
#include <standins/standinwire.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Links;

namespace {

const std::string secret = "a secret of the whole fleet";
constexpr std::chrono::seconds waitTimeout(20);

auto local(int port) -> std::string
{
    return "127.0.0.1:" + std::to_string(port);
}

/// A reactor and a server that answers each request with its body and the peer's name. Requests to
/// /silent get no answer.
class LinksTest : public testing::Test
{
protected:
    void SetUp() override
    {
        reactor = std::move(*Net::Reactor::create());
        server =
            std::move(*LinkServer::listen(*reactor, local(0), secret, [this](const auto &exchange) {
                ++handled;
                if (exchange->path() == "/silent") {
                    kept = exchange;
                    return;
                }
                exchange->send(exchange->body());
                exchange->send(exchange->peer());
                exchange->finish();
            }));
    }

    auto runUntil(const std::function<bool()> &isDone) -> bool
    {
        const auto end = reactor->now() + waitTimeout;
        check(isDone, end);
        reactor->run();
        reactor->restart();
        return isDone();
    }

    auto check(const std::function<bool()> &isDone, Utils::TimePoint end) -> void
    {
        if (isDone() || reactor->now() >= end)
            reactor->stop();
        else
            reactor->callAfter(std::chrono::milliseconds(5),
                               [this, isDone, end] { check(isDone, end); });
    }

    auto call(LinkChannel &channel, const std::string &path, const std::string &body)
        -> LinkChannel::CallId
    {
        return channel.call(
            path, body, [this](const auto &message) { messages.push_back(message); },
            [this](auto end) { outcome = end; });
    }

    std::unique_ptr<Net::Reactor> reactor;
    std::unique_ptr<LinkServer> server;
    std::shared_ptr<LinkExchange> kept;
    std::vector<std::string> messages;
    std::optional<LinkOutcome> outcome;
    int handled = 0;
};

} // namespace

TEST_F(LinksTest, CarriesMessagesBothWays)
{
    LinkChannel channel(*reactor, "entry-1", local(server->port()), secret);
    const std::string large(3 << 20, 'x');
    call(channel, "/echo", large);
    ASSERT_TRUE(runUntil([this] { return outcome.has_value(); }));
    EXPECT_EQ(*outcome, LinkOutcome::Finished);
    ASSERT_EQ(messages.size(), 2U);
    EXPECT_EQ(messages[0], large);
    EXPECT_EQ(messages[1], "entry-1");
}

TEST_F(LinksTest, RejectsAPeerWithoutTheSecret)
{
    LinkChannel channel(*reactor, "stranger", local(server->port()),
                        "another secret of a stranger");
    call(channel, "/echo", "x");
    ASSERT_TRUE(runUntil([this] { return outcome.has_value(); }));
    EXPECT_EQ(*outcome, LinkOutcome::Rejected);
    EXPECT_EQ(handled, 0);
}

TEST_F(LinksTest, ACallToAClosedPortIsNotSent)
{
    LinkChannel channel(*reactor, "entry-1", "127.0.0.1:1", secret);
    call(channel, "/echo", "x");
    ASSERT_TRUE(runUntil([this] { return outcome.has_value(); }));
    EXPECT_EQ(*outcome, LinkOutcome::NotSent);
}

TEST_F(LinksTest, ACallWhoseServerGoesAwayIsLost)
{
    LinkChannel channel(*reactor, "entry-1", local(server->port()), secret);
    call(channel, "/silent", "x");
    ASSERT_TRUE(runUntil([this] { return handled == 1; }));
    server.reset();
    ASSERT_TRUE(runUntil([this] { return outcome.has_value(); }));
    EXPECT_EQ(*outcome, LinkOutcome::Lost);
}

TEST_F(LinksTest, ACancelledCallGetsNoCallbacks)
{
    LinkChannel channel(*reactor, "entry-1", local(server->port()), secret);
    const auto id = call(channel, "/silent", "x");
    ASSERT_TRUE(runUntil([this] { return handled == 1; }));
    bool isClosed = false;
    kept->onClosed([&isClosed] { isClosed = true; });
    channel.cancel(id);
    ASSERT_TRUE(runUntil([&isClosed] { return isClosed; }));
    EXPECT_FALSE(outcome.has_value());
}

TEST_F(LinksTest, ASilentConnectionIsReplacedWhileNewOnesWork)
{
    auto wire =
        std::move(*StandIns::StandInWire::create(*reactor, local(0), local(server->port())));
    LinkChannel channel(*reactor, "entry-1", local(wire->port()), secret);
    call(channel, "/silent", "x");
    ASSERT_TRUE(runUntil([this] { return handled == 1; }));
    wire->freeze();
    ASSERT_TRUE(runUntil([this] { return outcome.has_value(); }));
    EXPECT_EQ(*outcome, LinkOutcome::Lost);
    EXPECT_TRUE(channel.isUp()) << "the peer is not down, and a new connection works";
    EXPECT_EQ(channel.replacedConnections(), 1);
    outcome.reset();
    messages.clear();
    call(channel, "/echo", "again");
    ASSERT_TRUE(runUntil([this] { return outcome.has_value(); }));
    EXPECT_EQ(*outcome, LinkOutcome::Finished);
}

TEST(LinkAuthentication, CoversPeerPathAndBody)
{
    const auto good = signRequest(secret, "entry-1", "/run", "body");
    EXPECT_TRUE(verifyRequest(secret, good, "/run", "body"));
    EXPECT_FALSE(verifyRequest(secret, good, "/cancel", "body"));
    EXPECT_FALSE(verifyRequest(secret, good, "/run", "other"));
    auto forged = good;
    forged.peer = "entry-2";
    EXPECT_FALSE(verifyRequest(secret, forged, "/run", "body"));
}

RC_GTEST_PROP(FrameBuffer, ReturnsThePayloadsHoweverTheBytesAreSplit,
              (const std::vector<std::string> &payloads))
{
    std::string bytes;
    for (const auto &payload : payloads)
        bytes += encodeFrame(payload);
    FrameBuffer buffer;
    std::vector<std::string> received;
    for (size_t at = 0; at < bytes.size();) {
        const size_t count =
            std::min<size_t>(static_cast<size_t>(*rc::gen::inRange(1, 9)), bytes.size() - at);
        buffer.append({bytes.data() + at, count});
        at += count;
        while (auto payload = buffer.next())
            received.push_back(*payload);
    }
    RC_ASSERT(received == payloads);
}
