// A gateway goes on serving, and goes on following its tables, beside rows and datagrams of other
// writers that can't be read.

#include "gatewayfixture.h"

#include <utils/eventlog.h>

#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

/// Limits the stack to that of a thread on small systems.
class SmallStack
{
public:
    SmallStack()
    {
        getrlimit(RLIMIT_STACK, &m_former);
        rlimit small = m_former;
        small.rlim_cur = 2 << 20;
        setrlimit(RLIMIT_STACK, &small);
    }
    ~SmallStack() { setrlimit(RLIMIT_STACK, &m_former); }
    SmallStack(const SmallStack &) = delete;
    auto operator=(const SmallStack &) -> SmallStack & = delete;

private:
    rlimit m_former = {};
};

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

// Guards against: an entry with a number too large or an address that no engine can have.
TEST_F(OddEntries, EveryKindOfOddEntryLeavesTheOtherServersInUse)
{
    addEngine("e1", "app");
    startReadyGateway();
    ASSERT_EQ(statusOf("/look/x"), 200);
    constexpr size_t depth = 300000;
    const std::vector<std::pair<std::string, std::string>> fields = {
        {"address", R"("10.1.0.1:70000")"},
        {"address", R"("10.1.0.1:0")"},
        {"address", R"("0.0.0.0:8080")"},
        {"address", R"("255.255.255.255:8080")"},
        {"slots", "0"},
        {"slots", "4294967300"},
        {"born", "18446744073709551615"},
        {"born", "9223372036854775807"},
        {"sequence", "-1"},
        {"sequence", "1e999"},
        {"sequence", "99999999999999999999999"},
        {"leavesMs", "1e300"},
        {"models", nested(depth)},
        {"atHand", nested(depth)},
        {"extra", nested(depth)},
    };
    for (const auto &[name, value] : fields) {
        std::string text = entryOf("e1").dump();
        text.pop_back();
        // The last field of a name counts.
        store->put("servers", "odd", text + ",\"" + name + "\":" + value + "}");
        wait(100ms);
        EXPECT_EQ(statusOf("/look/x"), 200) << name;
    }
    EXPECT_TRUE(isFollowingTheList());
}

// Guards against: an entry with a start time that is too large under a known id, after which the
// server's own entries count as those of an earlier incarnation.
TEST_F(OddEntries, ServersOwnEntryCountsAfterOneWithAnImpossibleStart)
{
    EmulatedEngine &engine = addEngine("e1", "app");
    startReadyGateway();
    ASSERT_EQ(statusOf("/look/x"), 200);
    json odd = entryOf("e1");
    odd["born"] = INT64_MAX;
    store->put("servers", "e1", odd.dump());
    wait(1s);
    engine.announce();
    EXPECT_TRUE(runUntil([&] { return statusOf("/look/x") == 200; }));
    engine.announce("draining");
    EXPECT_TRUE(runUntil([&] { return statusOf("/look/x") == 503; }));
}

// Guards against: a server whose entry another writer has spoiled stays in use.
TEST_F(OddEntries, SpoiledEntryNamesNoServerToUseUntilItIsReadableAgain)
{
    EmulatedEngine &engine = addEngine("e1", "app");
    startReadyGateway();
    for (const bool isEncoded : {false, true}) {
        ASSERT_EQ(statusOf("/look/x"), 200);
        if (isEncoded)
            store->putEncoded("servers", "e1", "no base64!");
        else
            store->put("servers", "e1", "{}");
        EXPECT_TRUE(runUntil([&] { return statusOf("/look/x") == 503; })) << isEncoded;
        engine.announce();
        EXPECT_TRUE(runUntil([&] { return statusOf("/look/x") == 200; })) << isEncoded;
    }
}

// Guards against: a line in the log for each of many writes of the same odd entry.
TEST_F(OddEntries, OneFaultOfAnEntryIsLoggedOnce)
{
    addEngine("e1", "app");
    startReadyGateway();
    testing::internal::CaptureStderr();
    for (int i = 0; i < 4; ++i) {
        store->put("servers", "odd", R"({"slots":0})");
        wait(300ms);
    }
    Utils::flushLog();
    const std::string log = testing::internal::GetCapturedStderr();
    size_t lines = 0;
    for (size_t at = log.find("entry-rejected"); at != std::string::npos;
         at = log.find("entry-rejected", at + 1))
        ++lines;
    EXPECT_EQ(lines, 1) << log;
}

// Guards against: a deeply nested datagram exhausts the stack and ends the process.
TEST_F(OddEntries, DeeplyNestedDatagramsDoNotEndTheGateway)
{
    addEngine("e1", "app");
    startReadyGateway();
    ASSERT_TRUE(runUntil([&] { return !store->value("acaciahall", "placement").empty(); }));
    wait(300ms);
    const SmallStack stack;
    constexpr size_t depth = 29000;
    for (const char *kind : {"demand", "holder", "engine", "want", "limit", "strike"}) {
        for (const char *field : {"demand", "seen", "lease", "members", "models", "name"})
            sendDatagram("{\"kind\":\"" + std::string(kind) + "\",\"" + field
                         + "\":" + nested(depth) + "}");
    }
    wait(200ms);
    EXPECT_EQ(statusOf("/look/x"), 200);
    EXPECT_TRUE(isFollowingTheList());
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

// Guards against: a caller's adapter name that is not UTF-8 ends the holder of the placement lease,
// which orders the adapter (review, case 1).
TEST_F(OddEntries, NamesThatAreNotUtf8DoNotEndTheLeaseHolder)
{
    addEngine("e1", "lm", {"m1"});
    startReadyGateway();
    ASSERT_TRUE(runUntil([&] { return !store->value("acaciahall", "placement").empty(); }));
    wait(300ms);
    for (const std::string name : {"m1/b\xe5t", "m\xff/a1", "\xe5", "m1/a\x7f"}) {
        const auto answer = sendRequest(
            makeRequest("/draft/x", "odd", "Model: " + name + "\r\nToken-Count: 1,1\r\n"));
        EXPECT_EQ(answer->status, 400) << name;
    }
    const auto answer =
        sendRequest(makeRequest("/draft/x", "good", "Model: m1\r\nToken-Count: 10,10\r\n"));
    EXPECT_EQ(answer->status, 200);
}

// Guards against: an entry without some of its fields moves a server to the service that it names
// (review, ROUTE).
TEST_F(OddEntries, IncompleteEntryDoesNotMoveAServerToAnotherService)
{
    EmulatedEngine &engine = addEngine("e1", "app");
    EmulatedEngine &other = addEngine("e2", "lm", {"m1"});
    startReadyGateway();
    ASSERT_EQ(statusOf("/look/x"), 200);
    json odd = entryOf("e2");
    odd["service"] = "app";
    for (const char *field : {"slots", "version", "coldRemainingMs"})
        odd.erase(field);
    store->put("servers", "e2", odd.dump());
    wait(300ms);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(statusOf("/look/x"), 200);
    EXPECT_EQ(other.runs(), 0);
    EXPECT_EQ(engine.runs(), 21);
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, metrics, "GET /metrics HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(runUntil([&] { return answer->end.has_value(); }));
    EXPECT_NE(answer->body.find("acacia_entries_rejected_total{what=\"server\"} 1"),
              std::string::npos);
}
