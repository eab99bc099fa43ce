// A gateway goes on serving, and goes on following its tables, beside rows and datagrams of other
// writers that can't be read.

#include "gatewayfixture.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

class OddEntries : public Gateways
{
protected:
    /// Sends a datagram to the gateway.
    auto sendDatagram(const std::string &text) const -> void
    {
        const int fd = ::socket(AF_INET, SOCK_DGRAM, 0);
        sockaddr_in to = {};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(peers.ip());
        to.sin_port = htons(peers.port());
        EXPECT_EQ(::sendto(fd, text.data(), text.size(), 0, reinterpret_cast<const sockaddr *>(&to),
                           sizeof to),
                  static_cast<ssize_t>(text.size()));
        ::close(fd);
    }

    auto statusOf(const std::string &target) -> int
    {
        return sendRequest(makeRequest(target, "id-" + std::to_string(++m_requests)))->status;
    }

    auto wait(std::chrono::milliseconds time) -> void
    {
        const auto from = loop->now();
        runUntil([&] { return loop->now() - from >= time; }, time + 1s);
    }

    /// True once a server that is listed from now on gets requests.
    auto isFollowingTheList() -> bool
    {
        EmulatedEngine &added = addEngine("added" + std::to_string(engines.size()), "app");
        return runUntil([&] {
            statusOf("/look/x");
            return added.runs() > 0;
        });
    }

    /// Text of an array that holds an array, and so on.
    static auto nested(size_t depth) -> std::string
    {
        return std::string(depth, '[') + std::string(depth, ']');
    }

    auto entryOf(const std::string &id) const -> json
    {
        return json::parse(store->value("servers", id));
    }

private:
    int m_requests = 0;
};

} // namespace

// Guards against: one row that can't be read stopped the list of servers for all gateways.
TEST_F(OddEntries, RowThatIsNoBase64LeavesTheOtherServersInUse)
{
    addEngine("e1", "app");
    startReadyGateway();
    ASSERT_EQ(statusOf("/look/x"), 200);
    store->putEncoded("servers", "odd", "no base64!");
    wait(300ms);
    EXPECT_EQ(statusOf("/look/x"), 200);
    EXPECT_TRUE(isFollowingTheList());
}

// Guards against: a gateway that starts beside a row that can't be read never becomes ready.
TEST_F(OddEntries, GatewayStartsBesideARowThatIsNoBase64)
{
    addEngine("e1", "app");
    store->putEncoded("servers", "odd", "no base64!");
    startReadyGateway();
    EXPECT_EQ(statusOf("/look/x"), 200);
    EXPECT_TRUE(isFollowingTheList());
}

// Guards against: a spoiled lease row keeps all gateways from the placement lease.
TEST_F(OddEntries, SpoiledLeaseRowIsTakenOver)
{
    addEngine("e1", "lm", {"m1"});
    startReadyGateway();
    ASSERT_TRUE(runUntil([&] { return !store->value("acaciahall", "placement").empty(); }));
    store->putEncoded("acaciahall", "placement", "no base64!");
    EXPECT_TRUE(
        runUntil([&] { return store->value("acaciahall", "placement").starts_with("{"); }, 12s));
}

// Guards against: a caller's model name that is not UTF-8 ends the process, as it can't be sent to
// the lease holder.
TEST_F(OddEntries, ModelNameThatIsNotUtf8DoesNotEndTheGateway)
{
    addEngine("e1", "lm", {"m1"});
    startReadyGateway("g1");
    const auto holder = std::move(gateway);
    const auto holderRows = std::move(rows);
    ASSERT_TRUE(runUntil([&] { return !store->value("acaciahall", "placement").empty(); }));
    startReadyGateway("g2");
    wait(1s);
    auto answer =
        sendRequest(makeRequest("/draft/x", "odd", "Model: m\xff\xfe\r\nToken-Count: 10,10\r\n"));
    EXPECT_NE(answer->status, 200);
    wait(500ms);
    answer = sendRequest(makeRequest("/draft/x", "good", "Model: m1\r\nToken-Count: 10,10\r\n"));
    EXPECT_EQ(answer->status, 200);
}
