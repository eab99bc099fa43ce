// Decoders of what other writers leave in the store, send as reports, heads or datagrams: changed
// at random, a document is rejected with a reason or decoded to values within their stated bounds.

#include <gateway/dutymessages.h>
#include <platform/backendcodec.h>
#include <platform/configurationcodec.h>
#include <platform/headercodec.h>
#include <platform/ordercodec.h>
#include <utils/jsonfield.h>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <array>
#include <random>

using namespace Platform;
using nlohmann::json;

namespace {

constexpr int Rounds = 4000;

const std::string entry = R"({"service":"s","address":"10.128.0.9:8080","zone":"a","version":"v1",
"slots":64,"state":"ready","coldRemainingMs":0,"stage":"both","leavesMs":400,"sequence":4,
"models":[{"name":"m1","version":1,"adapters":["a1@1"]}],"born":1700000000000,
"atHand":{"inMemory":["m2"],"onDisk":["m2","m3"]}})";

const std::string report =
    R"({"stage":"both","models":[{"name":"m1","version":1,"adapters":["a1"]}],
"busy":false,"sequence":2,"waiting":1,"running":12,"kvUsed":41000,"kvTotal":90000,"handles":0,
"coming":["m1/a2@1"]})";

const std::string configuration = R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/a/",
"routeType":"safe","timeoutMs":1500,"targetLatencyMs":100,"priority":0,"service":"s",
"maxAttempts":2,"resumable":false,"gapAimMs":250}],"services":[{"name":"s","engine":{"slots":8,
"weightsMb":130000.0,"adapterSlots":2,"loadsPerS":10.0,"models":[{"name":"m1","weightsMb":60000.0,
"loadS":6.0,"adapters":3,"adapterMb":10.0,"warmS":0.3,"diskS":0.5}]}}],"limits":{
"maxHeaderBytes":4096,"maxBodyBytes":100000,"headerTimeoutMs":1000,"idleTimeoutMs":5000},
"tenants":[{"name":"county","apiKeys":["k"],"unit":"token_stream","plainTokens":10,
"ratePerS":100000,"burst":100000}]})";

/// Changes documents and texts at random. The same seed makes the same changes on all platforms.
class Mutator
{
public:
    explicit Mutator(std::uint32_t seed)
        : m_random(seed)
    { }

    auto below(size_t count) -> size_t { return m_random() % count; }

    auto oddValue() -> json
    {
        static const std::vector<json> values = {nullptr,
                                                 true,
                                                 "",
                                                 "x",
                                                 "-1",
                                                 json::array(),
                                                 json::object(),
                                                 -1,
                                                 0,
                                                 1,
                                                 65535,
                                                 65536,
                                                 70000,
                                                 std::numeric_limits<std::int32_t>::max(),
                                                 std::numeric_limits<std::int64_t>::min(),
                                                 std::numeric_limits<std::int64_t>::max(),
                                                 std::numeric_limits<std::uint64_t>::max(),
                                                 4294967300,
                                                 -0.5,
                                                 1e9,
                                                 1e300,
                                                 -1e300,
                                                 5e-324,
                                                 json::array({json::array({json::array()})}),
                                                 std::string(300, 'a'),
                                                 std::string("nul\0byte", 8),
                                                 "0.0.0.0:0",
                                                 "255.255.255.255:70000"};
        return values[below(values.size())];
    }

    /// Replaces, removes or adds one value somewhere in the document.
    auto change(json &document) -> void
    {
        json *at = &document;
        while (at->is_structured() && !at->empty() && below(4) != 0) {
            auto child = at->begin();
            std::advance(child, static_cast<std::ptrdiff_t>(below(at->size())));
            at = &*child;
        }
        if (at->is_object() && !at->empty() && below(3) == 0)
            at->erase(std::next(at->begin(), static_cast<std::ptrdiff_t>(below(at->size()))));
        else if (at->is_array() && below(2) == 0)
            at->push_back(oddValue());
        else
            *at = oddValue();
    }

    auto document(const std::string &text) -> json
    {
        json result = json::parse(text);
        for (size_t changes = 1 + below(3); changes > 0; --changes)
            change(result);
        return result;
    }

    /// Changes bytes, cuts the text, or repeats a part of it many times.
    auto bytes(std::string text) -> std::string
    {
        if (text.empty())
            return text;
        switch (below(4)) {
        case 0:
            text.resize(below(text.size()));
            break;
        case 1:
            text.insert(below(text.size()), below(20000), "[{\"\xff-9e,"[below(8)]);
            break;
        default:
            for (size_t changes = 1 + below(6); changes > 0; --changes)
                text[below(text.size())] = static_cast<char>(below(256));
        }
        return text;
    }

    /// A changed document, as text that may not even be JSON.
    auto text(const std::string &original) -> std::string
    {
        if (below(4) == 0)
            return bytes(original);
        return document(original).dump(-1, ' ', false, json::error_handler_t::replace);
    }

private:
    std::mt19937 m_random;
};

template <typename Decoded>
auto expectReasonOr(const Decoded &decoded, const std::string &text) -> bool
{
    if (decoded)
        return true;
    EXPECT_FALSE(decoded.error().empty()) << text.substr(0, 200);
    return false;
}

} // namespace

// Guards against a process that ends, or that uses a server that can't be one (issue 32, odd
// entry).
TEST(Fuzz, ServerEntries)
{
    Mutator mutator(1);
    int accepted = 0;
    for (int i = 0; i < Rounds; ++i) {
        const std::string text = mutator.text(entry);
        const auto server = decodeBackend("i-1", text);
        if (!expectReasonOr(server, text))
            continue;
        ++accepted;
        EXPECT_GT(server->address.port(), 0) << text;
        EXPECT_NE(server->address.ip(), 0U) << text;
        EXPECT_GE(server->slots, 1) << text;
        EXPECT_GE(server->ordersAccepted, 0) << text;
        EXPECT_GE(server->startedAtMs, 0) << text;
        if (server->leavesIn) {
            EXPECT_GE(server->leavesIn->count(), 0) << text;
            EXPECT_LE(*server->leavesIn, std::chrono::hours(24 * 365)) << text;
        }
    }
    EXPECT_GT(accepted, 0);
    EXPECT_LT(accepted, Rounds);
}

TEST(Fuzz, EngineReports)
{
    Mutator mutator(2);
    int accepted = 0;
    for (int i = 0; i < Rounds; ++i) {
        const std::string text = mutator.text(report);
        const auto decoded = decodeReport(text);
        if (!expectReasonOr(decoded, text))
            continue;
        ++accepted;
        EXPECT_GE(decoded->ordersAccepted, 0) << text;
        EXPECT_GE(decoded->running, 0) << text;
        EXPECT_GE(decoded->waiting, 0) << text;
    }
    EXPECT_GT(accepted, 0);
}

TEST(Fuzz, Configurations)
{
    Mutator mutator(3);
    int accepted = 0;
    for (int i = 0; i < Rounds; ++i) {
        const std::string text = mutator.text(configuration);
        const auto decoded = decodeConfiguration(text);
        if (!expectReasonOr(decoded, text))
            continue;
        ++accepted;
        for (const auto &[name, service] : decoded->services) {
            if (!service.engine)
                continue;
            EXPECT_GE(service.engine->batchSlots, 0) << text;
            EXPECT_GE(service.engine->weightsMb, 0) << text;
            EXPECT_GE(service.engine->adapterSlots, 0) << text;
            EXPECT_GE(service.engine->storeLoadsPerSecond, 0) << text;
        }
    }
    EXPECT_GT(accepted, 0);
}

// Heads of callers and of servers hold numbers, lists and names of anybody's choice.
TEST(Fuzz, Heads)
{
    Mutator mutator(4);
    const std::vector<std::pair<std::string, std::string>> fields = {
        {"Attempt-Id", "9c41d07be2a35f68"},
        {"Model", "m1/a3"},
        {"Token-Count", "1460,80"},
        {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
        {"Deadline-Ms", "12000"},
        {"Authorization", "Bearer key"},
        {"Last-Event-Id", "7"},
        {"Resumes", "9c41d07be2a35f68"},
        {"Content-Type", "application/json"},
        {"X-Other", "kept"},
        {"Server-Load", "3,0,8"},
        {"Keep-Alive", "timeout=5"},
        {"Retry-After", "0.5"},
        {"Server-Limit", "2.5"},
        {"Not-Executed", "1"}};
    static const std::array<const char *, 12> odd = {"nan",
                                                     "inf",
                                                     "-1",
                                                     "1e300",
                                                     "18446744073709551616",
                                                     "-9223372036854775809",
                                                     "",
                                                     ",",
                                                     ":,:",
                                                     "1,2,3,4,5",
                                                     "0x10",
                                                     "a:1,b:-1,c:99999999999999999999"};
    for (int i = 0; i < Rounds; ++i) {
        Http1::RequestHead head;
        head.method = "POST";
        head.target = "/a/x";
        head.fields.add("Host", "h");
        Http1::ResponseHead answer;
        answer.status = std::array{200, 421, 429, 503}[mutator.below(4)];
        for (const auto &[name, value] : fields) {
            const std::string changed = mutator.below(2) == 0 ? value
                : mutator.below(2) == 0                       ? odd[mutator.below(odd.size())]
                                                              : mutator.bytes(value);
            head.fields.add(name, changed);
            answer.fields.add(name, changed);
        }
        const auto request = decodeRequest(head, "body");
        if (expectReasonOr(request, "head")) {
            EXPECT_GE(request->promptTokens, 0);
            EXPECT_GE(request->maxAnswerTokens, 0);
            EXPECT_GE(request->tokens(), 0);
            EXPECT_TRUE(!request->patience || request->patience->count() >= 0);
            EXPECT_NO_THROW(static_cast<void>(json(request->modelName()).dump()));
            Gateway::AttemptDetails details;
            details.backendId = "i-1";
            details.customer = "county";
            EXPECT_NO_THROW(encodeBackendRequest(*request, details));
            EXPECT_NO_THROW(encodeRefusalFields(request->attemptId, {}));
        }
        const auto decoded = decodeAnswer(answer);
        EXPECT_TRUE(!decoded.pause || decoded.pause->count() >= 0);
        EXPECT_TRUE(!decoded.rateLimit || *decoded.rateLimit >= 0);
        EXPECT_TRUE(!decoded.idleTimeout || decoded.idleTimeout->count() >= 0);
        if (decoded.load) {
            EXPECT_GE(decoded.load->running, 0);
            EXPECT_GE(decoded.load->waiting, 0);
        }
    }
}

// A datagram of another gateway is decoded or rejected with an exception that its receiver handles.
TEST(Fuzz, MessagesBetweenGateways)
{
    Mutator mutator(5);
    Gateway::HolderMessage holder;
    holder.name = "g1";
    holder.lease = {Utils::StoreEra(1), 7};
    holder.members = {*Http1::SocketAddress::parse("10.0.0.1:7600")};
    Gateway::DemandMessage demand;
    demand.name = "g2";
    demand.demand = json::array();
    Gateway::EngineMessage engine;
    engine.id = "i-1";
    engine.report.models = {{"m1", {"a1"}}};
    for (int i = 0; i < Rounds; ++i) {
        try {
            const auto decoded =
                Gateway::HolderMessage::fromJson(mutator.document(holder.toJson().dump()));
            for (const auto &member : decoded.members)
                EXPECT_GT(member.port(), 0);
            Gateway::DemandMessage::fromJson(mutator.document(demand.toJson().dump()));
            Gateway::EngineMessage::fromJson(mutator.document(engine.toJson().dump()));
        } catch (const json::exception &) {
            continue;
        }
    }
}

// Guards against: an order that can't be written ends the process that holds the lease (review,
// case 1). Names in it are valid, as all of them come from the decoders above; a mistake there must
// not end the process either.
TEST(Fuzz, Orders)
{
    Mutator mutator(6);
    for (int i = 0; i < Rounds; ++i) {
        Gateway::EngineOrder order;
        order.model = mutator.bytes("m1");
        order.adapter = mutator.bytes("a\xc3\xa5");
        order.holder = mutator.bytes("g1");
        order.fence = mutator.below(100);
        if (mutator.below(2) == 0)
            order.expectedOrders = 7;
        std::string text;
        ASSERT_NO_THROW(text = encodeOrder("i-1", order));
        const auto body = Utils::parseJson(text.substr(text.find("\r\n\r\n") + 4));
        ASSERT_TRUE(body && body->is_object()) << text.substr(0, 200);
        EXPECT_NO_THROW(encodeReportRequest("i-1"));
    }
}

// What is decoded can be written again: messages to other gateways hold it.
TEST(Fuzz, DecodedNamesCanBeWritten)
{
    Mutator mutator(7);
    const auto isWritable = [](const std::string &name) {
        return name.size() <= 200 && Utils::parseJson(json(name).dump());
    };
    for (int i = 0; i < Rounds; ++i) {
        std::vector<std::string> names;
        if (const auto server = decodeBackend("i-1", mutator.text(entry))) {
            names = {server->service, server->failureDomain, server->softwareVersion};
            for (const auto &[model, adapters] : server->models) {
                names.push_back(model);
                names.insert(names.end(), adapters.begin(), adapters.end());
            }
        }
        if (const auto decoded = decodeReport(mutator.text(report))) {
            Gateway::EngineMessage message;
            message.id = "i-1";
            message.report = *decoded;
            EXPECT_NO_THROW(static_cast<void>(message.toJson().dump()));
        }
        if (const auto decoded = decodeConfiguration(mutator.text(configuration))) {
            for (const auto &customer : decoded->customers)
                names.push_back(customer.name);
        }
        for (const std::string &name : names)
            EXPECT_TRUE(isWritable(name)) << name;
    }
}
