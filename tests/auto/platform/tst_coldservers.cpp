// A backend server has started lately and tolerates few requests.

#include "gatewayfixture.h"

#include <platform/backendcodec.h>
#include <platform/configurationcodec.h>
#include <platform/headercodec.h>

#include <algorithm>

namespace {

class ColdServers : public Gateways
{
protected:
    auto SetUp() -> void override
    {
        Gateways::SetUp();
        putConfiguration(
            2, {{"services", {{{"name", "app"}, {"coldStartS", 3.0}, {"coldPerS", 16.0}}}}});
    }

    /// Sends requests all the time for a while and returns how many of them were answered 200.
    auto sendFor(std::chrono::milliseconds time) -> int
    {
        const auto end = loop->now() + time;
        std::vector<std::shared_ptr<CallerAnswer>> answers;
        while (loop->now() < end) {
            answers.push_back(std::make_shared<CallerAnswer>());
            sendOnNewConnection(*answers.back(), address,
                                makeRequest("/file/x", "a" + std::to_string(++sent)));
            runUntil([] { return false; }, 5ms);
        }
        runUntil([&] {
            return std::all_of(answers.begin(), answers.end(),
                               [](const auto &answer) { return answer->end.has_value(); });
        });
        for (const auto &answer : answers)
            EXPECT_THAT(answer->status, testing::AnyOf(200, 503));
        return static_cast<int>(
            std::count_if(answers.begin(), answers.end(),
                          [](const auto &answer) { return answer->status == 200; }));
    }

    int sent = 0;
};

const std::string entry = R"({"service":"app","address":"10.0.0.1:80","zone":"a","version":"v1",
"slots":8,"state":"ready","coldRemainingMs":2400,"sequence":0})";

} // namespace

TEST(ColdServerCodec, EntriesAndAnswersTellTheColdTime)
{
    const auto server = Platform::decodeBackend("i-1", entry);
    ASSERT_TRUE(server) << server.error();
    EXPECT_EQ(server->coldFor, 2400ms);
    std::string faulty = entry;
    faulty.replace(faulty.find("2400"), 4, "\"x\"");
    EXPECT_FALSE(Platform::decodeBackend("i-1", faulty));
    for (const auto &[text, expected] :
         std::map<std::string, std::optional<std::chrono::milliseconds>>{
             {"2400", 2400ms}, {"0", 0ms}, {"-1", {}}, {"nan", {}}, {"soon", {}}, {"", {}}}) {
        Http1::ResponseHead head;
        head.fields.add("Cold-Ms", text);
        EXPECT_EQ(Platform::decodeAnswer(head).coldFor, expected) << text;
    }
}

TEST(ColdServerCodec, ServicesTellTheirColdStart)
{
    const auto decode = [](const std::string &fields) {
        return Platform::decodeConfiguration(R"({"version":1,"services":[{"name":"s")" + fields
                                             + "}]}");
    };
    const auto plain = decode("");
    ASSERT_TRUE(plain) << plain.error();
    EXPECT_FALSE(plain->services.at("s").coldStart.isEnabled());
    EXPECT_FALSE(
        decode(R"(,"coldStartS":0,"coldPerS":16)")->services.at("s").coldStart.isEnabled());
    const auto cold = decode(R"(,"coldStartS":3.0,"coldPerS":16.0)");
    ASSERT_TRUE(cold) << cold.error();
    EXPECT_EQ(cold->services.at("s").coldStart.time, 3000ms);
    EXPECT_EQ(cold->services.at("s").coldStart.perSecond, 16);
    EXPECT_FALSE(decode(R"(,"coldStartS":-1)"));
    EXPECT_FALSE(decode(R"(,"coldPerS":1e300)"));
}

// Guards against: a server that crashes because all that waits is sent to it when it has started.
TEST_F(ColdServers, GetFewRequestsASecondUntilTheyAreWarm)
{
    auto &engine = addEngine("i-1", "app");
    engine.coldFor = 60s;
    engine.announce();
    startReadyGateway();
    runUntil([] { return false; }, 1s); // The gateway learns that there is no other one.
    const int served = sendFor(1000ms);
    // What waits is sent for 0.7 s more; the limit is 29 in any second.
    EXPECT_LE(engine.runs(), 29 * 17 / 10);
    EXPECT_GE(engine.runs(), 5);
    EXPECT_EQ(served, engine.runs());
    engine.coldFor = 0s;
    engine.announce();
    runUntil([] { return false; }, 1s);
    const int before = engine.runs();
    sendFor(500ms);
    EXPECT_GE(engine.runs() - before, 29) << "a warm server is not limited";
}

// Guards against: the entries of servers that restarted during an evacuation, which are old.
TEST_F(ColdServers, OfADomainThatIsNoLongerEvacuatedAreCold)
{
    auto &engine = addEngine("i-1", "app");
    store->put("op", "evacuate/a", "{}");
    startReadyGateway();
    runUntil([] { return false; }, 1s);
    store->remove("op", "evacuate/a");
    runUntil([] { return false; }, 300ms);
    sendFor(1000ms);
    EXPECT_GE(engine.runs(), 5);
    EXPECT_LE(engine.runs(), 29 * 17 / 10);
}
