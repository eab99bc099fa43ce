// Servers of several software versions serve side by side. Each test checks that a stream goes on
// only at the version that began it, in one answer and over the caller's attempts.

#include "gatewayfixture.h"

#include <gateway/streamorigins.h>

#include <ostream>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

const std::string m1 = "Model: m1\r\nToken-Count: 10,10\r\n";

/// Knows what the test tells it, and records what the gateway notes.
class FakeStreamOrigins : public Gateway::StreamOrigins
{
public:
    struct Begun
    {
        std::string attempt;
        std::string service;
        std::string version;
        auto operator==(const Begun &) const -> bool = default;
    };

    explicit FakeStreamOrigins(Net::Reactor &reactor)
        : m_reactor(reactor)
    { }

    auto mayBegin(const std::string &, const std::string &version) const -> bool override
    {
        return unconfirmedVersions.count(version) == 0;
    }

    auto noteBegun(const std::string &attempt, const std::string &service,
                   const std::string &version) -> void override
    {
        begun.push_back({attempt, service, version});
        if (onBegun)
            onBegun();
    }

    auto find(const std::string &attempt, const std::string &, Utils::Duration patience,
              Callback done) -> Ticket override
    {
        ++finds;
        const Ticket ticket = ++m_lastTicket;
        const auto found = versions.find(attempt);
        const bool isFound = found != versions.end() && answerTime <= patience;
        const auto version = isFound ? std::optional(found->second) : std::nullopt;
        const auto timer = m_reactor.callAfter(std::min<Utils::Duration>(answerTime, patience),
                                               [this, ticket, version, done = std::move(done)] {
                                                   m_pending.erase(ticket);
                                                   done(version);
                                               });
        m_pending[ticket] = timer;
        return ticket;
    }

    auto cancel(Ticket ticket) -> void override
    {
        const auto found = m_pending.find(ticket);
        if (found == m_pending.end())
            return;
        ++cancelled;
        m_reactor.cancel(found->second);
        m_pending.erase(found);
    }

    auto pendingCount() const -> size_t { return m_pending.size(); }

    std::map<std::string, std::string> versions; ///< By attempt.
    std::set<std::string> unconfirmedVersions; ///< No stream may begin at these.
    std::chrono::milliseconds answerTime{5};
    std::function<void()> onBegun;
    std::vector<Begun> begun;
    int finds = 0;
    int cancelled = 0;

private:
    Net::Reactor &m_reactor;
    Ticket m_lastTicket = 0;
    std::map<Ticket, Net::Reactor::TimerId> m_pending;
};

auto PrintTo(const FakeStreamOrigins::Begun &one, std::ostream *out) -> void
{
    *out << one.attempt << " at " << one.service << ' ' << one.version;
}

class StreamVersions : public Gateways
{
protected:
    auto SetUp() -> void override
    {
        Gateways::SetUp();
        origins = std::make_unique<FakeStreamOrigins>(*loop);
    }

    auto TearDown() -> void override { gateway.reset(); }

    auto startVersionedGateway() -> void
    {
        startGateway();
        gateway->setStreamOrigins(*origins);
        ASSERT_TRUE(runUntil([this] { return readinessStatus() == 200; }));
    }

    auto addVersion(const std::string &id, const std::string &version,
                    const std::set<std::string> &models = {"m1"}, const std::string &service = "lm")
        -> EmulatedEngine &
    {
        auto &engine = addEngine(id, service, models);
        engine.softwareVersion = version;
        engine.behaviour.ignoresOrders = true; // Loads would change the entry.
        engine.announce();
        return engine;
    }

    static auto takeUp(const std::string &attempt, int lastEvent) -> std::string
    {
        return m1 + "Resumes: " + attempt + "\r\nLast-Event-Id: " + std::to_string(lastEvent)
            + "\r\n";
    }

    static auto versionsIn(const std::string &body) -> std::set<std::string>
    {
        std::set<std::string> versions;
        const std::string mark = " by ";
        for (size_t at = body.find(mark); at != std::string::npos; at = body.find(mark, at + 1)) {
            const auto begin = at + mark.size();
            versions.insert(body.substr(begin, body.find('\n', begin) - begin));
        }
        return versions;
    }

    auto wait(std::chrono::milliseconds time) -> void
    {
        runUntil([] { return false; }, time);
    }

    std::unique_ptr<FakeStreamOrigins> origins;
};

/// What a request that takes up a stream names in a way that tells nothing.
struct UnclearTakeUp
{
    std::string name;
    std::string fields;
};

auto PrintTo(const UnclearTakeUp &one, std::ostream *out) -> void
{
    *out << one.name;
}

class UnclearTakeUps : public StreamVersions, public testing::WithParamInterface<UnclearTakeUp>
{ };

} // namespace

// Guards against an answer joined from two software versions (issue 35, ORDER): streams break off,
// and servers of both versions are free.
TEST_F(StreamVersions, AnswerIsContinuedOnlyByTheVersionThatBeganIt)
{
    for (int i = 1; i <= 6; ++i)
        addVersion("i-" + std::to_string(i), i % 2 == 0 ? "v2" : "v1").behaviour.cutAfterEvents = 2;
    startVersionedGateway();
    for (int i = 1; i <= 3; ++i) {
        const auto answer = sendRequest(makeRequest("/batch/x", "a" + std::to_string(i), m1));
        EXPECT_FALSE(answer->isWhole());
        EXPECT_EQ(versionsIn(answer->body).size(), 1U) << answer->body;
        EXPECT_EQ(events(answer->body), (std::vector<int>{1, 2, 3, 4}));
    }
}

// Guards against an answer joined from two software versions (issue 35, ORDER): only servers of
// another version are left. The caller must see at once that the answer is incomplete.
TEST_F(StreamVersions, AnswerWhoseVersionIsGoneIsBrokenOff)
{
    auto &first = addVersion("i-1", "v1");
    first.behaviour.cutAfterEvents = 2;
    startVersionedGateway();
    auto answer = std::make_shared<CallerAnswer>();
    first.behaviour.eventInterval = 600ms;
    const auto sentAt = loop->now();
    sendOnNewConnection(*answer, address, makeRequest("/batch/x", "a1", m1));
    ASSERT_TRUE(runUntil([&] { return first.runs() == 1; }));
    auto &other = addVersion("i-2", "v2");
    ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }));
    EXPECT_LT(loop->now() - sentAt, 1350ms);
    EXPECT_FALSE(answer->isWhole());
    EXPECT_EQ(events(answer->body), (std::vector<int>{1, 2}));
    EXPECT_EQ(other.arrivals().size(), 0U);
}

// Guards against unknown versions that are taken for equal (issue 35, ORDER): the entries name no
// version.
TEST_F(StreamVersions, AnswerOfAnUnnamedVersionIsContinuedByNoServer)
{
    addVersion("i-1", "").behaviour.cutAfterEvents = 2;
    addVersion("i-2", "").behaviour.cutAfterEvents = 2;
    startVersionedGateway();
    const auto answer = sendRequest(makeRequest("/batch/x", "a1", m1));
    EXPECT_FALSE(answer->isWhole());
    EXPECT_EQ(events(answer->body), (std::vector<int>{1, 2}));
    EXPECT_EQ(engines[0]->runs() + engines[1]->runs(), 1);
}

// A stream that no caller has seen an event of may begin anew at any version.
TEST_F(StreamVersions, RequestWithoutAnEventIsRepeatedAtAnyVersion)
{
    auto &first = addVersion("i-1", "v1");
    auto &second = addVersion("i-2", "v2");
    first.behaviour.losesAnswers = second.behaviour.losesAnswers = true;
    startVersionedGateway();
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, address, makeRequest("/batch/x", "a1", m1));
    ASSERT_TRUE(runUntil([&] { return first.runs() + second.runs() == 1; }));
    (first.runs() == 1 ? second : first).behaviour.losesAnswers = false;
    ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }));
    EXPECT_TRUE(answer->isWhole());
    EXPECT_EQ(events(answer->body), allEvents);
}

// Guards against streams that a caller takes up at another software version (issue 35, ORDER).
TEST_F(StreamVersions, TakeUpGoesToTheVersionThatBeganTheStream)
{
    addVersion("i-1", "v1");
    addVersion("i-2", "v2");
    startVersionedGateway();
    int number = 0;
    for (const std::string version : {"v1", "v2"}) {
        origins->versions["a0"] = version;
        const auto answer =
            sendRequest(makeRequest("/batch/x", "a" + std::to_string(++number), takeUp("a0", 2)));
        EXPECT_TRUE(answer->isWhole());
        EXPECT_EQ(events(answer->body), (std::vector<int>{3, 4, 5}));
        EXPECT_EQ(versionsIn(answer->body), std::set<std::string>{version});
        ASSERT_FALSE(origins->begun.empty());
        EXPECT_EQ(origins->begun.back(), (FakeStreamOrigins::Begun{"a0", "lm", version}));
    }
}

// Guards against a taken-up stream that goes on at another software version when it breaks off
// again (issue 35, ORDER).
TEST_F(StreamVersions, TakeUpThatBreaksOffIsContinuedByTheSameVersion)
{
    for (int i = 1; i <= 6; ++i)
        addVersion("i-" + std::to_string(i), i % 2 == 0 ? "v2" : "v1").behaviour.cutAfterEvents = 1;
    startVersionedGateway();
    int number = 0;
    for (const std::string version : {"v1", "v2"}) {
        origins->versions["a0"] = version;
        const auto answer =
            sendRequest(makeRequest("/batch/x", "a" + std::to_string(++number), takeUp("a0", 2)));
        EXPECT_EQ(events(answer->body), (std::vector<int>{3, 4}));
        EXPECT_EQ(versionsIn(answer->body), std::set<std::string>{version});
    }
}

// Guards against a stream of unknown origin that is joined (issue 35, ORDER): it is refused at
// once, as not run, and costs no quota.
TEST_F(StreamVersions, TakeUpOfAnUnknownStreamIsRefused)
{
    putConfiguration(2,
                     {{"tenants",
                       {{{"name", "county"},
                         {"apiKeys", {"key1"}},
                         {"unit", "token_stream"},
                         {"plainTokens", 10},
                         {"ratePerS", 1},
                         {"burst", 40}}}}});
    auto &engine = addVersion("i-1", "v1");
    startVersionedGateway();
    const auto sentAt = loop->now();
    constexpr int count = 8;
    for (int i = 1; i <= count; ++i) {
        const auto answer =
            sendRequest(makeRequest("/batch/x", "a" + std::to_string(i), takeUp("a0", 2)));
        EXPECT_EQ(answer->status, 503);
        EXPECT_TRUE(answer->fields.has("Retry-After"));
    }
    EXPECT_LT(loop->now() - sentAt, 700ms);
    EXPECT_EQ(origins->finds, count);
    EXPECT_EQ(engine.arrivals().size(), 0U);
    EXPECT_TRUE(sendRequest(makeRequest("/batch/x", "b1", m1))->isWhole());
}

// Guards against a stream that is taken up at another service of its route, chosen by the new
// attempt's name (issue 35, ORDER).
TEST_F(StreamVersions, TakeUpGoesToTheServiceThatBeganTheStream)
{
    putConfiguration(
        2,
        {{"routes",
          {{{"name", "r"},
            {"host", "h.example"},
            {"prefix", "/flow/"},
            {"routeType", "streaming"},
            {"timeoutMs", 1500},
            {"targetLatencyMs", 100},
            {"trafficSplit",
             {{{"service", "app"}, {"weight", 1.0}}, {{"service", "lm"}, {"weight", 1.0}}}},
            {"maxAttempts", 2},
            {"resumable", true}}}}});
    addVersion("i-1", "v1", {"m1"}, "app");
    addVersion("i-2", "v1", {"m1"}, "lm");
    startVersionedGateway();
    for (int i = 1; i <= 4; ++i) {
        const std::string first = "a" + std::to_string(i);
        EXPECT_TRUE(sendRequest(makeRequest("/flow/x", first, m1))->isWhole());
        ASSERT_FALSE(origins->begun.empty());
        const auto begun = origins->begun.back();
        EXPECT_EQ(begun.attempt, first);
        origins->versions[first] = "v1";
        for (const std::string suffix : {"b", "c", "d"}) {
            sendRequest(makeRequest("/flow/x", first + suffix, takeUp(first, 2)));
            EXPECT_EQ(origins->begun.back(), begun);
        }
    }
}

// Guards against unknown versions that are taken for equal (issue 35, ORDER): it is known that the
// stream began at a server whose entry named no version.
TEST_F(StreamVersions, TakeUpOfAStreamOfAnUnnamedVersionIsRefused)
{
    auto &engine = addVersion("i-1", "");
    origins->versions["a0"] = "";
    startVersionedGateway();
    EXPECT_EQ(sendRequest(makeRequest("/batch/x", "a1", takeUp("a0", 2)))->status, 503);
    EXPECT_EQ(engine.arrivals().size(), 0U);
}

// Guards against a join where the caller names no stream, or none that can be told (issue 35,
// ORDER).
TEST_P(UnclearTakeUps, AreRefused)
{
    auto &engine = addVersion("i-1", "v1");
    origins->versions = {{"a0", "v1"}, {"a00", "v1"}, {"", "v1"}, {std::string(3000, 'x'), "v1"}};
    startVersionedGateway();
    const auto answer = sendRequest(makeRequest("/batch/x", "a1", m1 + GetParam().fields));
    EXPECT_EQ(answer->status, 503);
    EXPECT_TRUE(answer->fields.has("Retry-After"));
    EXPECT_EQ(engine.arrivals().size(), 0U);
    EXPECT_EQ(origins->finds, 0);
    EXPECT_EQ(sendRequest(makeRequest("/draft/x", "a2", m1))->status, 200);
}

INSTANTIATE_TEST_SUITE_P(
    StreamVersions, UnclearTakeUps,
    testing::Values(
        UnclearTakeUp{"NoAttempt", "Last-Event-Id: 2\r\n"},
        UnclearTakeUp{"EmptyAttempt", "Resumes:\r\nLast-Event-Id: 2\r\n"},
        UnclearTakeUp{"EventThatIsNoNumber", "Resumes: a0\r\nLast-Event-Id: two\r\n"},
        UnclearTakeUp{"EmptyEvent", "Resumes: a0\r\nLast-Event-Id:\r\n"},
        UnclearTakeUp{"EventOutOfRange", "Resumes: a0\r\nLast-Event-Id: 99999999999999999999\r\n"},
        UnclearTakeUp{"NegativeEvent", "Resumes: a0\r\nLast-Event-Id: -2\r\n"},
        UnclearTakeUp{"TwoAttempts", "Resumes: a0\r\nResumes: a00\r\nLast-Event-Id: 2\r\n"},
        UnclearTakeUp{"TwoEvents", "Resumes: a0\r\nLast-Event-Id: 2\r\nLast-Event-Id: 3\r\n"},
        UnclearTakeUp{"LongAttempt",
                      "Resumes: " + std::string(3000, 'x') + "\r\nLast-Event-Id: 2\r\n"}),
    [](const auto &one) { return one.param.name; });

// A caller may name the attempt alone; it gets the stream from its start, at the same version.
TEST_F(StreamVersions, TakeUpWithoutALastEventStaysAtItsVersion)
{
    addVersion("i-1", "v1");
    addVersion("i-2", "v2");
    startVersionedGateway();
    for (const std::string version : {"v1", "v2"}) {
        origins->versions["a0"] = version;
        const auto answer =
            sendRequest(makeRequest("/batch/x", "a-" + version, m1 + "Resumes: a0\r\n"));
        EXPECT_EQ(events(answer->body), allEvents);
        EXPECT_EQ(versionsIn(answer->body), std::set<std::string>{version});
    }
}

// The fields mean nothing where answers are no streams.
TEST_F(StreamVersions, PlainRequestsAreNotTakenForTakeUps)
{
    addEngine("i-1", "app");
    startVersionedGateway();
    EXPECT_EQ(sendRequest(makeRequest("/file/x", "a1", "Last-Event-Id: 2\r\n"))->status, 200);
    EXPECT_EQ(sendRequest(makeRequest("/look/x", "a2", "Resumes: a0\r\n"))->status, 200);
    EXPECT_EQ(origins->finds, 0);
}

// Guards against a version that is told only after the caller has an event of it (issue 35, ORDER).
TEST_F(StreamVersions, VersionIsNotedBeforeTheFirstEventReachesTheCaller)
{
    addVersion("i-1", "v1");
    startVersionedGateway();
    auto answer = std::make_shared<CallerAnswer>();
    origins->onBegun = [&] {
        EXPECT_EQ(answer->status, 0);
        // Nothing that was written before is still on its way.
        EXPECT_EQ(answer->body, "");
    };
    sendOnNewConnection(*answer, address, makeRequest("/batch/x", "a1", m1));
    ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }));
    EXPECT_EQ(origins->begun, (std::vector<FakeStreamOrigins::Begun>{{"a1", "lm", "v1"}}));
    // Streams that can't be taken up are not noted.
    EXPECT_TRUE(sendRequest(makeRequest("/draft/x", "a2", m1))->isWhole());
    EXPECT_EQ(origins->begun.size(), 1U);
}

// Guards against streams that begin at a version of which other gateways can't know (issue 35,
// ORDER).
TEST_F(StreamVersions, NoStreamBeginsAtAVersionThatIsNotConfirmed)
{
    auto &newer = addVersion("i-2", "v2");
    origins->unconfirmedVersions = {"v2"};
    startVersionedGateway();
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, address, makeRequest("/batch/x", "a1", m1));
    wait(200ms);
    EXPECT_EQ(newer.arrivals().size(), 0U);
    EXPECT_TRUE(sendRequest(makeRequest("/draft/x", "a2", m1))->isWhole());
    EXPECT_EQ(newer.arrivals().size(), 1U);
    origins->unconfirmedVersions.clear();
    ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }));
    EXPECT_TRUE(answer->isWhole());
    EXPECT_EQ(newer.arrivals().size(), 2U);
}

// Guards against a version that is dropped from what a waiting request requires (issue 35, ORDER).
TEST_F(StreamVersions, TakeUpWaitsForAServerOfItsVersion)
{
    auto &old = addVersion("i-1", "v1");
    auto &newer = addVersion("i-2", "v2");
    old.behaviour.processingTime = 300ms;
    origins->versions["a0"] = "v1";
    startVersionedGateway();
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    constexpr int moreThanSlots = 10;
    for (int i = 1; i <= moreThanSlots; ++i) {
        answers.push_back(std::make_shared<CallerAnswer>());
        sendOnNewConnection(*answers.back(), address,
                            makeRequest("/batch/x", "a" + std::to_string(i), takeUp("a0", 2)));
    }
    for (const auto &answer : answers) {
        ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }));
        EXPECT_TRUE(answer->isWhole());
        EXPECT_EQ(events(answer->body), (std::vector<int>{3, 4, 5}));
        EXPECT_EQ(versionsIn(answer->body), std::set<std::string>{"v1"});
    }
    EXPECT_EQ(newer.arrivals().size(), 0U);
}

// A take-up that no server can serve is refused at once, as not run.
TEST_F(StreamVersions, TakeUpIsRefusedIfNoServerOfItsVersionIsLeft)
{
    auto &old = addVersion("i-1", "v1");
    auto &newer = addVersion("i-2", "v2");
    origins->versions = {{"a0", "v1"}, {"b0", "v3"}};
    startVersionedGateway();
    auto sentAt = loop->now();
    EXPECT_EQ(sendRequest(makeRequest("/batch/x", "b1", takeUp("b0", 2)))->status, 503);
    EXPECT_LT(loop->now() - sentAt, 300ms);
    old.announce("draining");
    wait(800ms);
    sentAt = loop->now();
    const auto answer = sendRequest(makeRequest("/batch/x", "a1", takeUp("a0", 2)));
    EXPECT_LT(loop->now() - sentAt, 300ms);
    EXPECT_EQ(answer->status, 503);
    EXPECT_TRUE(answer->fields.has("Retry-After"));
    EXPECT_EQ(old.arrivals().size() + newer.arrivals().size(), 0U);
}

// The version's last server leaves while the take-up waits for it.
TEST_F(StreamVersions, WaitingTakeUpIsRefusedWhenTheLastServerOfItsVersionLeaves)
{
    putConfiguration(2,
                     {{"routes",
                       {{{"name", "r"},
                         {"host", "h.example"},
                         {"prefix", "/batch/"},
                         {"routeType", "streaming"},
                         {"timeoutMs", 8000},
                         {"service", "lm"},
                         {"resumable", true}}}}});
    auto &old = addVersion("i-1", "v1");
    auto &newer = addVersion("i-2", "v2");
    old.behaviour.processingTime = 5s;
    origins->versions["a0"] = "v1";
    startVersionedGateway();
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    constexpr int moreThanSlots = 9;
    for (int i = 1; i <= moreThanSlots; ++i) {
        std::string request = makeRequest("/batch/x", "a" + std::to_string(i), takeUp("a0", 2));
        const std::string deadline = "Deadline-Ms: 1400";
        request.replace(request.find(deadline), deadline.size(), "Deadline-Ms: 8000");
        answers.push_back(std::make_shared<CallerAnswer>());
        sendOnNewConnection(*answers.back(), address, request);
    }
    ASSERT_TRUE(runUntil([&] { return old.arrivals().size() == moreThanSlots - 1; }));
    old.withdraw();
    const auto withdrawnAt = loop->now();
    const auto &waiting = answers.back();
    ASSERT_TRUE(runUntil([&] { return waiting->end.has_value(); }));
    EXPECT_LT(loop->now() - withdrawnAt, 1500ms);
    EXPECT_EQ(waiting->status, 503);
    EXPECT_TRUE(waiting->fields.has("Retry-After"));
    EXPECT_EQ(newer.arrivals().size(), 0U);
}

// Guards against: no stream can be taken up where the model is held at another version only
// (review, case 4).
TEST_F(StreamVersions, ModelIsLoadedAtTheVersionOfATakeUp)
{
    addVersion("i-1", "v1", {"m2"}).behaviour.ignoresOrders = false;
    addVersion("i-2", "v2", {"m1"}).behaviour.ignoresOrders = false;
    addVersion("i-3", "v2", {"m3"}).behaviour.ignoresOrders = false;
    origins->versions["a0"] = "v1";
    startVersionedGateway();
    const auto answer = sendRequest(makeRequest("/batch/x", "a1", takeUp("a0", 2)));
    EXPECT_TRUE(answer->isWhole());
    EXPECT_EQ(events(answer->body), (std::vector<int>{3, 4, 5}));
    EXPECT_EQ(engines[0]->runs(), 1);
    EXPECT_EQ(engines[1]->runs() + engines[2]->runs(), 0);
}

// No server holds the model: it is loaded, as for any request.
TEST_F(StreamVersions, TakeUpWaitsWhileItsModelIsLoaded)
{
    addVersion("i-1", "v1", {"m2"}).behaviour.ignoresOrders = false;
    origins->versions["a0"] = "v1";
    startVersionedGateway();
    const auto answer = sendRequest(makeRequest("/batch/x", "a1", takeUp("a0", 2)));
    EXPECT_TRUE(answer->isWhole());
    EXPECT_EQ(events(answer->body), (std::vector<int>{3, 4, 5}));
}

// The origin is not found in time, the caller leaves, or the gateway stops.
TEST_F(StreamVersions, TakeUpWhoseOriginIsNotFoundEndsInTime)
{
    auto &engine = addVersion("i-1", "v1");
    origins->versions["a0"] = "v1";
    origins->answerTime = 60s;
    startVersionedGateway();
    const auto sentAt = loop->now();
    const auto answer = sendRequest(makeRequest("/batch/x", "a1", takeUp("a0", 2)));
    EXPECT_LT(loop->now() - sentAt, 1400ms);
    EXPECT_EQ(answer->status, 503);

    auto left = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*left, address, makeRequest("/batch/x", "a2", takeUp("a0", 2)));
    ASSERT_TRUE(runUntil([&] { return origins->pendingCount() == 1; }));
    left->connection->closeNow();
    EXPECT_TRUE(runUntil([&] { return origins->pendingCount() == 0; }, 300ms));
    EXPECT_EQ(origins->cancelled, 1);

    auto cut = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*cut, address, makeRequest("/batch/x", "a3", takeUp("a0", 2)));
    ASSERT_TRUE(runUntil([&] { return origins->pendingCount() == 1; }));
    gateway.reset();
    EXPECT_EQ(origins->pendingCount(), 0U);
    EXPECT_EQ(engine.arrivals().size(), 0U);
}

// Guards against the version of a process that has ended (issue 35, ORDER): a server starts again
// under its id with other software, and a stream begins there before the list tells.
TEST_F(StreamVersions, StreamThatBeganBeforeARestartWasListedIsOfNoKnownVersion)
{
    // The gateway has no connection to the servers of a service without models.
    putConfiguration(2,
                     {{"routes",
                       {{{"name", "r"},
                         {"host", "h.example"},
                         {"prefix", "/flow/"},
                         {"routeType", "streaming"},
                         {"timeoutMs", 1500},
                         {"targetLatencyMs", 100},
                         {"service", "app"},
                         {"maxAttempts", 2},
                         {"resumable", true}}}}});
    auto &server = addVersion("i-1", "v1", {"m1"}, "app");
    auto &other = addVersion("i-2", "v1", {"m1"}, "app");
    other.failureDomain = "z";
    other.announce();
    startVersionedGateway();
    server.crash();
    server.softwareVersion = "v2";
    server.restart("i-1", false);
    server.setModels({"m1"});
    server.behaviour.eventInterval = 250ms;
    server.behaviour.cutAfterEvents = 4;
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, address, makeRequest("/flow/x", "a1", m1));
    ASSERT_TRUE(runUntil([&] { return !origins->begun.empty(); }));
    EXPECT_EQ(origins->begun.back(), (FakeStreamOrigins::Begun{"a1", "app", "v1"}));
    server.announce();
    ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }));
    EXPECT_FALSE(answer->isWhole());
    EXPECT_EQ(versionsIn(answer->body), std::set<std::string>{"v2"});
    EXPECT_EQ(origins->begun.back(), (FakeStreamOrigins::Begun{"a1", "app", ""}));
    EXPECT_EQ(other.arrivals().size(), 0U);
}

// Guards against the version of the entry as it stands when a stream begins, instead of that of the
// incarnation to which the request was sent (issue 35, ORDER).
TEST_F(StreamVersions, StreamThatBeginsAfterItsServersEntryWasReplacedIsOfNoKnownVersion)
{
    putConfiguration(2,
                     {{"routes",
                       {{{"name", "r"},
                         {"host", "h.example"},
                         {"prefix", "/batch/"},
                         {"routeType", "streaming"},
                         {"timeoutMs", 4000},
                         {"targetLatencyMs", 1000},
                         {"service", "lm"},
                         {"maxAttempts", 2},
                         {"resumable", true}}}}});
    auto &server = addVersion("i-1", "v1");
    server.behaviour.processingTime = 1000ms;
    server.behaviour.cutAfterEvents = 2;
    startVersionedGateway();
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, address, makeRequest("/batch/x", "a1", m1));
    ASSERT_TRUE(runUntil([&] { return server.runs() == 1; }));
    auto &other = addVersion("i-2", "v2");
    server.softwareVersion = "v2";
    server.restart("i-1"); // The former process is still writing its answer.
    ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }));
    EXPECT_FALSE(answer->isWhole());
    EXPECT_EQ(versionsIn(answer->body), std::set<std::string>{"v1"});
    EXPECT_EQ(origins->begun, (std::vector<FakeStreamOrigins::Begun>{{"a1", "lm", ""}}));
    EXPECT_EQ(other.arrivals().size(), 0U);
}

// Guards against the version of a process that has ended (issue 35, ORDER): connections to a server
// are lost, and the list does not tell yet that it has started again.
TEST_F(StreamVersions, NoStreamBeginsAtAServerThatMayHaveStartedAgain)
{
    auto &server = addVersion("i-1", "v1");
    startVersionedGateway();
    EXPECT_TRUE(sendRequest(makeRequest("/batch/x", "a1", m1))->isWhole());
    server.crash();
    server.softwareVersion = "v2";
    server.restart("i-1", false);
    server.setModels({"m1"});
    auto answer = std::make_shared<CallerAnswer>();
    sendOnNewConnection(*answer, address, makeRequest("/batch/x", "a2", m1));
    wait(500ms);
    EXPECT_EQ(server.arrivals().size(), 1U);
    EXPECT_EQ(origins->begun.size(), 1U);
    server.announce();
    ASSERT_TRUE(runUntil([&] { return answer->end.has_value(); }));
    wait(700ms);
    EXPECT_TRUE(sendRequest(makeRequest("/batch/x", "a3", m1))->isWhole());
    EXPECT_EQ(origins->begun.back(), (FakeStreamOrigins::Begun{"a3", "lm", "v2"}));
}

// The same for a stream that a caller takes up.
TEST_F(StreamVersions, NoStreamIsTakenUpAtAServerThatMayHaveStartedAgain)
{
    auto &server = addVersion("i-1", "v1");
    origins->versions["a0"] = "v1";
    startVersionedGateway();
    EXPECT_TRUE(sendRequest(makeRequest("/batch/x", "a1", m1))->isWhole());
    server.crash();
    server.softwareVersion = "v2";
    server.restart("i-1", false);
    server.setModels({"m1"});
    const auto answer = sendRequest(makeRequest("/batch/x", "a2", takeUp("a0", 2)));
    EXPECT_EQ(answer->status, 503);
    EXPECT_EQ(server.arrivals().size(), 1U);
}

// Connections are lost, but the server runs on: its report shows that.
TEST_F(StreamVersions, ServerThatHasOnlyLostItsConnectionsIsConfirmedByItsReport)
{
    auto &server = addVersion("i-1", "v1");
    startVersionedGateway();
    EXPECT_TRUE(sendRequest(makeRequest("/batch/x", "a1", m1))->isWhole());
    server.resetConnections();
    const auto sentAt = loop->now();
    EXPECT_TRUE(sendRequest(makeRequest("/batch/x", "a2", m1))->isWhole());
    EXPECT_LT(loop->now() - sentAt, 500ms);
}

// The report of the server doesn't tell when it was started; the list would show a restart by then.
TEST_F(StreamVersions, ServerWhoseReportTellsNoStartIsConfirmedByTheList)
{
    auto &server = addVersion("i-1", "v1");
    server.behaviour.reportsStart = false;
    startVersionedGateway();
    EXPECT_TRUE(sendRequest(makeRequest("/batch/x", "a1", m1))->isWhole());
    server.resetConnections();
    int number = 1;
    EXPECT_TRUE(runUntil(
        [&] {
            return sendRequest(makeRequest("/batch/x", "a" + std::to_string(++number), m1))
                ->isWhole();
        },
        12s));
}

// Guards against: a gateway that the store turns away goes on with a stream at a server that has
// started again with other software, as the lease holder tells what the new process has loaded
// (review, case 3). The gateway had no connection to the server.
TEST_F(StreamVersions, NoStreamIsTakenUpWhereTheLeaseHolderTellsOfAnotherStart)
{
    auto &server = addVersion("i-1", "v1", {"m2"});
    origins->versions["a0"] = "v1";
    startGateway("g1");
    const auto holder = std::move(gateway);
    const auto holderRows = std::move(rows);
    ASSERT_TRUE(runUntil([&] { return !store->value("acaciahall", "placement").empty(); }));
    startGateway("g2");
    gateway->setStreamOrigins(*origins);
    ASSERT_TRUE(runUntil([this] { return readinessStatus() == 200; }));
    const auto startedAtMs = json::parse(store->value("servers", "i-1"))["born"].get<int>();
    server.softwareVersion = "v2";
    server.restart("i-1", false);
    server.setModels({"m1"});
    const json message = {{"kind", "engine"},
                          {"id", "i-1"},
                          {"orders", 1},
                          {"started", startedAtMs + 1},
                          {"models", {{"m1", json::array()}}}};
    const int fd = ::socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(peers.ip());
    to.sin_port = htons(peers.port());
    const std::string text = message.dump();
    ASSERT_EQ(::sendto(fd, text.data(), text.size(), 0, reinterpret_cast<const sockaddr *>(&to),
                       sizeof to),
              static_cast<ssize_t>(text.size()));
    ::close(fd);
    wait(100ms);
    const auto answer = sendRequest(makeRequest("/batch/x", "a1", takeUp("a0", 2)));
    EXPECT_EQ(answer->status, 503);
    EXPECT_EQ(server.runs(), 0);
    server.announce();
    wait(700ms);
    EXPECT_TRUE(sendRequest(makeRequest("/batch/x", "a2", m1))->isWhole());
    EXPECT_EQ(origins->begun.back(), (FakeStreamOrigins::Begun{"a2", "lm", "v2"}));
}
