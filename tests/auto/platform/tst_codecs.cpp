// The platform's wire format: what is decoded, what is rejected, and what is never forwarded.

#include <platform/backendcodec.h>
#include <platform/configurationcodec.h>
#include <platform/headercodec.h>
#include <platform/ordercodec.h>

#include <gtest/gtest.h>

using namespace Platform;
using namespace std::chrono_literals;

namespace {

const std::string entry = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"a",
"version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"stage":"both",
"models":[{"name":"m1","version":1,"adapters":["a1@1"]}],"sequence":4,"born":1700000000000,
"atHand":{"inMemory":["m2"],"onDisk":["m2","m3"]}})";

auto replaced(std::string text, const std::string &from, const std::string &to) -> std::string
{
    return text.replace(text.find(from), from.size(), to);
}

auto makeHead() -> Http1::RequestHead
{
    Http1::RequestHead head;
    head.method = "POST";
    head.target = "/lohu/2f?x=1";
    head.fields.add("Host", "ficu95.example");
    head.fields.add("Attempt-Id", "9c41");
    head.fields.add("Model", "m1/a3");
    head.fields.add("Token-Count", "1460,80");
    head.fields.add("Prompt-Prefix", "5c1e:800,91bd:410");
    head.fields.add("Deadline-Ms", "12000");
    head.fields.add("Authorization", "Bearer secretkey");
    head.fields.add("Connection", "keep-alive, X-Hop");
    head.fields.add("X-Hop", "1");
    head.fields.add("X-Other", "kept");
    return head;
}

} // namespace

TEST(Codecs, BackendEntry)
{
    const auto server = decodeBackend("i-1", entry);
    ASSERT_TRUE(server) << server.error();
    EXPECT_EQ(server->address.toString(), "10.128.0.9:8080");
    EXPECT_EQ(server->models.at("m1"), std::set<std::string>{"a1"});
    EXPECT_EQ(server->copiesOnDisk, (std::vector<std::string>{"m2", "m3"}));
    EXPECT_EQ(server->startedAtMs, 1700000000000);
    EXPECT_FALSE(server->isLeaving);
}

TEST(Codecs, MalformedEntriesAreRejected)
{
    const std::vector<std::string> table = {
        "",
        "[]",
        "\xff\xfe",
        replaced(entry, R"("slots":64)", R"("slots":"64")"),
        replaced(entry, R"("address":"10.128.0.9:8080",)", ""),
        replaced(entry, "10.128.0.9:8080", "host:8080"),
        replaced(entry, R"("state":"ready")", R"("state":"resting")"),
        replaced(entry, R"("sequence":4)", R"("sequence":4.5)"),
        replaced(entry, R"("born":1700000000000)", R"("born":1.5)"),
        replaced(entry, R"("service":"huvo11a")", R"("service":7)"),
        replaced(entry, R"([{"name":"m1")", R"([{"name":1)"),
    };
    for (const std::string &bytes : table)
        EXPECT_FALSE(decodeBackend("i-1", bytes)) << bytes;
}

TEST(Codecs, ConfigurationIsAcceptedEntirelyOrNotAtAll)
{
    const std::string good = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/",
"routeType":"streaming","timeoutMs":25000,"targetLatencyMs":3000,"priority":0,"service":"s",
"maxAttempts":2,"authExempt":false,"sessionAffinity":true,"resumable":true,"gapAimMs":250},
{"name":"q","host":"h","prefix":"/a/b/","routeType":"unsafe","timeoutMs":800,
"trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}]}],
"services":[{"name":"s","healthPath":"/health","maxConnections":360,"engine":{"slots":64,
"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":2.8,"models":[{"name":"m1","weightsMb":65100.0,
"loadS":6.0,"adapters":28,"adapterMb":12.0,"warmS":0.38,"diskS":1.0}]}},{"name":"t"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000},"tenants":[{"name":"c","apiKeys":["k1","k2"],"priority":1,
"unit":"token_stream","plainTokens":200,"ratePerS":45999,"burst":45999}]})";
    const auto configuration = decodeConfiguration(good);
    ASSERT_TRUE(configuration) << configuration.error();
    EXPECT_EQ(configuration->findRoute("h", "/a/x")->name, "r");
    EXPECT_EQ(configuration->findRoute("h", "/a/b/x")->name, "q");
    EXPECT_FALSE(configuration->findRoute("h", "/a"));
    EXPECT_FALSE(configuration->findRoute("other", "/a/x"));
    EXPECT_EQ(configuration->findCustomer("k2")->name, "c");
    EXPECT_FALSE(configuration->findCustomer(""));
    const auto &model = configuration->findService("s")->engine->models.at("m1");
    EXPECT_EQ(model.diskLoadTime, 1000ms);
    EXPECT_EQ(model.storeLoadTime, 6000ms);
    EXPECT_FALSE(decodeConfiguration(replaced(good, R"("timeoutMs":800)", R"("timeoutMs":"x")")));
    EXPECT_FALSE(decodeConfiguration(replaced(good, "unsafe", "perhaps")));
    EXPECT_FALSE(decodeConfiguration(good.substr(0, good.size() / 2)));
}

TEST(Codecs, RequestIsDecoded)
{
    const auto request = decodeRequest(makeHead(), "body");
    ASSERT_TRUE(request);
    EXPECT_EQ(request->model, "m1");
    EXPECT_EQ(request->adapter, "a3");
    EXPECT_EQ(request->tokens(), 1540);
    EXPECT_EQ(request->key, "secretkey");
    EXPECT_EQ(request->path, "/lohu/2f");
    EXPECT_EQ(request->patience, 12000ms);
    ASSERT_EQ(request->promptParts.size(), 2U);
    EXPECT_EQ(request->promptParts[1].tokens, 410);
}

TEST(Codecs, BackendRequestIsEncoded)
{
    auto head = makeHead();
    for (const char *forged :
         {"Tenant", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Expect-Instance", "Request-Urgency"})
        head.fields.add(forged, "forged");
    const auto request = decodeRequest(head, "body");
    ASSERT_TRUE(request);
    Gateway::AttemptDetails details;
    details.backendId = "i-1";
    details.customer = "county";
    details.timeLeft = 900ms;
    const std::string bytes = encodeBackendRequest(*request, details);
    EXPECT_TRUE(bytes.starts_with("POST /lohu/2f?x=1 HTTP/1.1\r\n"));
    for (const char *line : {"Attempt-Id: 9c41\r\n", "Model: m1/a3\r\n", "Token-Count: 1460,80\r\n",
                             "Tenant: county\r\n", "Expect-Instance: i-1\r\n",
                             "Deadline-Ms: 900\r\n", "X-Other: kept\r\n", "Content-Length: 4\r\n"})
        EXPECT_NE(bytes.find(line), std::string::npos) << line;
    for (const char *absent : {"forged", "secretkey", "X-Hop", "12000"})
        EXPECT_EQ(bytes.find(absent), std::string::npos) << absent;
    EXPECT_TRUE(bytes.ends_with("\r\n\r\nbody"));
}

TEST(Codecs, AnswersTellWhetherTheRequestRan)
{
    Http1::ResponseHead head;
    head.status = 503;
    EXPECT_FALSE(decodeAnswer(head).isNotRun);
    head.fields.add("Not-Executed", "1");
    EXPECT_TRUE(decodeAnswer(head).isNotRun);
    head = {};
    head.status = 421;
    head.fields.add("Instance-Id", "i-2");
    EXPECT_TRUE(decodeAnswer(head).isNotRun);
    EXPECT_EQ(decodeAnswer(head).actualServerId, "i-2");
    head = {};
    head.status = 200;
    head.fields.add("Server-Load", "3,1,8");
    head.fields.add("Keep-Alive", "timeout=5");
    head.fields.add("Server-Stamp", "s");
    const auto answer = decodeAnswer(head);
    EXPECT_TRUE(answer.isSigned);
    EXPECT_EQ(answer.load->waiting, 1);
    EXPECT_EQ(answer.idleTimeout, 5s);
    EXPECT_EQ(answer.forwarded.value("Server-Stamp"), "s");
    EXPECT_FALSE(answer.forwarded.has("Server-Load"));
}

// Guards against an estimate that is not used, or one that is negative or overflows.
TEST(Codecs, LengthHintIsDecoded)
{
    EXPECT_FALSE(decodeRequest(makeHead(), {})->lengthHint);
    for (const auto &[text, expected] : std::map<std::string, std::optional<int>>{
             {"120", 120}, {" 7 ", 7}, {"-1", {}}, {"x", {}}, {"99999999999", {}}, {"1e3", {}}}) {
        auto head = makeHead();
        head.fields.add("Length-Hint", text);
        const auto request = decodeRequest(head, {});
        ASSERT_TRUE(request) << text;
        EXPECT_EQ(request->lengthHint, expected) << text;
    }
}

// Guards against a reported load that is dropped because of a fourth figure (servers that share
// their machine report how long work takes there).
TEST(Codecs, LoadWithAFourthFigureIsDecoded)
{
    for (const char *text : {"3,1,8,170", "3, 1, 8, 170.0", "3,1,8,", "3,1,8,x", "3,1,8,-5",
                             "3,1,8,0", "3,1,8,nan", "3,1,8,inf", "3,1,8,1e999", "3,1,8,170,9"}) {
        Http1::ResponseHead head;
        head.fields.add("Server-Load", text);
        const auto answer = decodeAnswer(head);
        ASSERT_TRUE(answer.load) << text;
        EXPECT_EQ(answer.load->running, 3) << text;
        EXPECT_EQ(answer.load->waiting, 1) << text;
        EXPECT_EQ(answer.load->slots, 8) << text;
    }
    const auto slowdownOf = [](const char *text) {
        Http1::ResponseHead head;
        head.fields.add("Server-Load", text);
        return decodeAnswer(head).load->slowdown;
    };
    EXPECT_EQ(slowdownOf("3,1,8,170"), 1.7);
    EXPECT_EQ(slowdownOf("3,1,8, 50 "), 0.5);
    for (const char *text : {"3,1,8", "3,1,8,", "3,1,8,x", "3,1,8,-5", "3,1,8,0", "3,1,8,nan"})
        EXPECT_FALSE(slowdownOf(text)) << text;
}

TEST(Codecs, RateLimitIsDecoded)
{
    Http1::ResponseHead head{200, {}, true};
    EXPECT_FALSE(decodeAnswer(head).rateLimit);
    EXPECT_FALSE(decodeAnswer(head).hasMalformedRateLimit);
    head.fields.add("Server-Limit", " 2.3 ");
    EXPECT_EQ(decodeAnswer(head).rateLimit, 2.3);
    EXPECT_FALSE(decodeAnswer(head).forwarded.has("Server-Limit"));
    Http1::ResponseHead none{503, {}, true};
    none.fields.add("Server-Limit", "0");
    EXPECT_EQ(decodeAnswer(none).rateLimit, 0.0);
    for (const char *text : {"many", "-1", "inf", "nan", "1 2", ""}) {
        Http1::ResponseHead faulty{200, {}, true};
        faulty.fields.add("Server-Limit", text);
        EXPECT_FALSE(decodeAnswer(faulty).rateLimit) << text;
        EXPECT_TRUE(decodeAnswer(faulty).hasMalformedRateLimit) << text;
    }
}

TEST(Codecs, LeavingAndRetryAfterAreDecoded)
{
    Http1::ResponseHead head{503, {}, true};
    EXPECT_FALSE(decodeAnswer(head).isLeaving);
    EXPECT_FALSE(decodeAnswer(head).pause);
    head.fields.add("Server-Leaving", "1");
    head.fields.add("Retry-After", "1.25");
    const auto answer = decodeAnswer(head);
    EXPECT_TRUE(answer.isLeaving);
    EXPECT_EQ(answer.pause, 1250ms);
    EXPECT_FALSE(answer.forwarded.has("Server-Leaving"));
    EXPECT_FALSE(answer.forwarded.has("Retry-After"));
    head.status = 200;
    EXPECT_FALSE(decodeAnswer(head).pause) << "only a refusal asks for a pause";
    for (const char *text : {"soon", "-1", "0", "nan", ""}) {
        Http1::ResponseHead faulty{503, {}, true};
        faulty.fields.add("Retry-After", text);
        EXPECT_FALSE(decodeAnswer(faulty).pause) << text;
    }
    Http1::ResponseHead endless{503, {}, true};
    endless.fields.add("Retry-After", "inf");
    EXPECT_EQ(decodeAnswer(endless).pause, 60s);
}

TEST(Codecs, OrdersAndReports)
{
    Gateway::EngineOrder order;
    order.model = "m1";
    order.holder = "front-1";
    order.fence = 41;
    order.expectedOrders = 2;
    const std::string bytes = encodeOrder("i-1", order);
    EXPECT_NE(bytes.find(R"("op":"loading")"), std::string::npos);
    EXPECT_NE(bytes.find(R"("expected":2)"), std::string::npos);
    EXPECT_EQ(bytes.find("adapter"), std::string::npos);
    EXPECT_EQ(decodeOrderStatus(202), Gateway::OrderResult::Accepted);
    EXPECT_EQ(decodeOrderStatus(409), Gateway::OrderResult::Conflict);
    EXPECT_EQ(decodeOrderStatus(500), Gateway::OrderResult::Unknown);
    const auto report = decodeReport(
        R"({"stage":"both","models":[{"name":"m1","version":1,"adapters":["a1@1"]}],"busy":true,
"sequence":2,"waiting":1,"running":12,"coming":["m1/a2@1"]})");
    ASSERT_TRUE(report) << report.error();
    EXPECT_TRUE(report->isBusy);
    EXPECT_EQ(report->loadingAdapters, std::set<std::string>{"m1/a2"});
    EXPECT_FALSE(decodeReport("{}"));
    EXPECT_FALSE(report->startedAtMs);
    const std::string started = R"({"models":[],"busy":false,"sequence":1,"born":1700000000000})";
    EXPECT_EQ(decodeReport(started)->startedAtMs, 1700000000000);
    for (const std::string odd : {"\"1700000000000\"", "1.5", "null", "[1]"})
        EXPECT_FALSE(decodeReport(replaced(started, "1700000000000", odd))->startedAtMs) << odd;
}

TEST(Codecs, RefusalsCarryRetryAfter)
{
    const auto fields = encodeRefusalFields("9c41", 1500ms);
    EXPECT_EQ(fields.value("Retry-After"), "1.500");
    EXPECT_EQ(fields.value("Attempt-Id"), "9c41");
    EXPECT_FALSE(encodeRefusalFields("9c41", {}).has("Retry-After"));
}

// Guards against: an entry with a number that its field can't have, read as another number.
TEST(Codecs, EntriesWithNumbersOutOfRangeAreRejected)
{
    const std::vector<std::string> table = {
        replaced(entry, R"("slots":64)", R"("slots":0)"),
        replaced(entry, R"("slots":64)", R"("slots":-1)"),
        replaced(entry, R"("slots":64)", R"("slots":4294967300)"),
        replaced(entry, R"("slots":64)", R"("slots":18446744073709551615)"),
        replaced(entry, R"("sequence":4)", R"("sequence":-1)"),
        replaced(entry, R"("sequence":4)", R"("sequence":9223372036854775808)"),
        replaced(entry, R"("sequence":4)", R"("sequence":9223372036854775807)"),
        replaced(entry, R"("sequence":4)", R"("sequence":1e999)"),
        replaced(entry, "1700000000000", "18446744073709551615"),
        replaced(entry, "1700000000000", "9223372036854775807"),
        replaced(entry, "1700000000000", "-1"),
        replaced(entry, R"("sequence":4)", R"("sequence":4,"leavesMs":1e300)"),
        replaced(entry, R"("sequence":4)", R"("sequence":4,"leavesMs":"soon")"),
    };
    for (const std::string &bytes : table)
        EXPECT_FALSE(decodeBackend("i-1", bytes)) << bytes;
    const auto late =
        decodeBackend("i-1", replaced(entry, R"("sequence":4)", R"("sequence":4,"leavesMs":-3)"));
    ASSERT_TRUE(late) << late.error();
    EXPECT_EQ(late->leavesIn, 0ms);
}

TEST(Codecs, ReportsWithNumbersOutOfRangeAreRejected)
{
    const std::string report = R"({"models":[],"coming":[],"sequence":5,"running":3,"waiting":1})";
    ASSERT_TRUE(decodeReport(report));
    EXPECT_FALSE(decodeReport(replaced(report, ":5", ":-5")));
    EXPECT_FALSE(decodeReport(replaced(report, ":5", ":18446744073709551615")));
    EXPECT_FALSE(decodeReport(replaced(report, ":3", ":4294967300")));
    EXPECT_FALSE(decodeReport(replaced(report, ":1", ":-1")));
}

// Guards against: a configuration with a number that its field can't have, read as another number.
TEST(Codecs, ConfigurationsWithNumbersOutOfRangeAreRejected)
{
    const std::string good = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/",
"routeType":"streaming","timeoutMs":25000,"targetLatencyMs":3000,"priority":1,"maxAttempts":2,
"gapAimMs":250,"trafficSplit":[{"service":"s","weight":0.25}]}],
"services":[{"name":"s","maxConnections":12,"engine":{"slots":8,"weightsMb":130000,
"adapterSlots":6,"loadsPerS":10,"models":[{"name":"m","weightsMb":60000,"loadS":6,"adapters":3}]}}],
"tenants":[{"name":"t","apiKeys":["k"],"priority":5,"plainTokens":10,"ratePerS":20,"burst":40}],
"limits":{"maxHeaderBytes":4096,"maxBodyBytes":100000,"headerTimeoutMs":1000,
"idleTimeoutMs":5000}})";
    ASSERT_TRUE(decodeConfiguration(good)) << decodeConfiguration(good).error();
    const std::vector<std::pair<std::string, std::vector<std::string>>> table = {
        {R"("version":7)", {"-1", "18446744073709551615", "1.5"}},
        {R"("timeoutMs":25000)", {"-1", "1e300", "1e18"}},
        {R"("targetLatencyMs":3000)", {"-1", "1e308"}},
        {R"("gapAimMs":250)", {"-250", "1e300"}},
        {R"("priority":1)", {"4294967300", "-9223372036854775808"}},
        {R"("maxAttempts":2)", {"-1", "4294967298"}},
        {R"("weight":0.25)", {"-0.25", "1e308"}},
        {R"("maxConnections":12)", {"4294967308"}},
        {R"("slots":8)", {"-8", "4294967304"}},
        {R"("weightsMb":130000)", {"-1", "1e308"}},
        {R"("adapterSlots":6)", {"-6", "18446744073709551615"}},
        {R"("loadsPerS":10)", {"-10", "1e300"}},
        {R"("weightsMb":60000)", {"-60000", "1e308"}},
        {R"("loadS":6)", {"-6", "1e300"}},
        {R"("adapters":3)", {"-3", "4294967299"}},
        {R"("priority":5)", {"4294967301"}},
        {R"("plainTokens":10)", {"-10", "1e308"}},
        {R"("ratePerS":20)", {"-20", "1e308"}},
        {R"("burst":40)", {"-40", "1e308"}},
        {R"("maxHeaderBytes":4096)", {"-1", "18446744073709551615"}},
        {R"("maxBodyBytes":100000)", {"-1"}},
        {R"("headerTimeoutMs":1000)", {"-1", "1e300"}},
        {R"("idleTimeoutMs":5000)", {"-1", "1e300"}},
    };
    for (const auto &[field, values] : table) {
        const std::string name = field.substr(0, field.find(':') + 1);
        for (const std::string &value : values)
            EXPECT_FALSE(decodeConfiguration(replaced(good, field, name + value))) << name << value;
    }
}

// Guards against: a time or count in a head that overflows later.
TEST(Codecs, NumbersInHeadsAreBounded)
{
    for (const char *text : {"nan", "-nan", "-1", "-inf", "1e999999"}) {
        Http1::RequestHead head;
        head.fields.add("Deadline-Ms", text);
        EXPECT_FALSE(decodeRequest(head, {})) << text;
    }
    for (const char *text : {"inf", "1e300", "1e19"}) {
        Http1::RequestHead head;
        head.fields.add("Deadline-Ms", text);
        const auto request = decodeRequest(head, {});
        ASSERT_TRUE(request) << text;
        EXPECT_GE(*request->patience, 24h) << text;
        EXPECT_LE(*request->patience, 24h * 366) << text;
    }
    Http1::RequestHead tokens;
    tokens.fields.add("Token-Count", "2147483647,2147483647");
    EXPECT_FALSE(decodeRequest(tokens, {}));
    for (const char *text : {"2147483647,2147483647,1", "-1,-2147483648,8", "99999999999,1,2"}) {
        Http1::ResponseHead head;
        head.fields.add("Server-Load", text);
        const auto answer = decodeAnswer(head);
        if (answer.load) {
            EXPECT_GE(answer.load->running, 0) << text;
            EXPECT_GE(answer.load->waiting, 0) << text;
            EXPECT_LE(std::int64_t(answer.load->running) + answer.load->waiting, 2000000000)
                << text;
        }
    }
    Http1::ResponseHead idle;
    idle.fields.add("Keep-Alive", "timeout=-5");
    EXPECT_FALSE(decodeAnswer(idle).idleTimeout);
}

// Guards against: an entry that names an address that no engine can have, or an id that would
// change the heads of requests to it.
TEST(Codecs, EntriesWithoutAUsableAddressOrIdAreRejected)
{
    const std::string address = R"("10.128.0.9:8080")";
    for (const char *text :
         {R"("10.128.0.9:0")", R"("10.128.0.9:70000")", R"("10.128.0.9:-1")", R"("10.128.0.9:")",
          R"("0.0.0.0:8080")", R"("0.1.2.3:8080")", R"("255.255.255.255:8080")",
          R"("224.0.0.1:8080")", R"("240.0.0.1:8080")", R"("10.128.0.9\u0000.1:8080")",
          R"("10.128.0.9:8080\u0000")", R"("10.128.0.9:8080 ")"})
        EXPECT_FALSE(decodeBackend("i-1", replaced(entry, address, text))) << text;
    EXPECT_TRUE(decodeBackend("i-1", replaced(entry, address, R"("127.0.0.1:8080")")));
    for (const std::string &id :
         {std::string(), std::string("a b"), std::string("a\r\nX: y"), std::string("a\0b", 3),
          std::string("\xc3\xa9"), std::string("\x7f")})
        EXPECT_FALSE(decodeBackend(id, entry)) << id;
}
