#include <entry/requestscreen.h>
#include <rules/rulesfile.h>
#include <utils/hashing.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Entry;
using Admission::RefusalReason;

namespace {

const std::string key = "the key of county a";
const ScreenLimits limits{std::chrono::seconds(30), std::chrono::seconds(600)};

auto rules() -> Rules::RuleSet
{
    const std::string asked = " # asked by Lin Mei\n";
    return Rules::RuleSet(*Rules::parseRulesFile(
        "customer county-a rate 10/s burst 100 key sha256:" + Utils::sha256Hex(key) + asked
        + "model m engines g replicas 1 memory 1GiB" + asked + "adapter m:x model m memory 1MiB"
        + asked + "route POST /returns service filing once identity header:Idempotency-Key" + asked
        + "route POST /fields service filing once identity field:id" + asked + "open GET /status"
        + asked));
}

auto request(const std::string &method, const std::string &path, const std::string &body)
    -> Net::HttpRequest
{
    Net::HttpRequest made;
    made.method = method;
    made.path = path;
    made.body = body;
    made.headers["authorization"] = "Bearer " + key;
    return made;
}

auto reasonFor(const Net::HttpRequest &made) -> std::optional<RefusalReason>
{
    const auto screened = screenRequest(made, rules(), limits);
    return screened ? std::nullopt : std::optional(screened.error().reason);
}

} // namespace

TEST(RequestScreen, ReadsACompletionRequest)
{
    const auto plain = screenRequest(
        request("POST", "/v1/completions", R"({"model":"m","prompt":"abcd","max_tokens":9})"),
        rules(), limits);
    ASSERT_TRUE(plain);
    EXPECT_EQ(plain->customer, "county-a");
    EXPECT_EQ(plain->estimate.total(), 10);
    EXPECT_TRUE(plain->mayRepeat());
    const auto adapted =
        screenRequest(request("POST", "/v1/chat/completions", R"({"model":"m:x","messages":[]})"),
                      rules(), limits);
    ASSERT_TRUE(adapted);
    EXPECT_EQ(adapted->model, "m");
    EXPECT_EQ(adapted->adapter, "m:x");
}

TEST(RequestScreen, FindsASubmissionsIdentity)
{
    auto submission = request("POST", "/returns", "{}");
    EXPECT_EQ(reasonFor(submission), RefusalReason::MissingIdentity);
    submission.headers["idempotency-key"] = "daan-1";
    EXPECT_EQ(screenRequest(submission, rules(), limits)->submissionIdentity, "daan-1");
    EXPECT_FALSE(screenRequest(submission, rules(), limits)->mayRepeat());
    EXPECT_EQ(screenRequest(request("POST", "/fields", R"({"id":"f-7"})"), rules(), limits)
                  ->submissionIdentity,
              "f-7");
    EXPECT_EQ(reasonFor(request("POST", "/fields", "not json")), RefusalReason::MissingIdentity);
}

TEST(RequestScreen, RefusesInvalidRequestsWithTheRightReason)
{
    const std::string path = "/v1/completions";
    const std::vector<std::pair<Net::HttpRequest, RefusalReason>> table = {
        {request("POST", path, "{"), RefusalReason::MalformedBody},
        {request("POST", path, "[]"), RefusalReason::MalformedBody},
        {request("POST", path, R"({"prompt":"x"})"), RefusalReason::MalformedBody},
        {request("POST", path, R"({"model":7,"prompt":"x"})"), RefusalReason::MalformedBody},
        {request("POST", path, R"({"model":"m"})"), RefusalReason::MalformedBody},
        {request("POST", path, R"({"model":"m","prompt":"x","stream":"yes"})"),
         RefusalReason::MalformedBody},
        {request("POST", path, R"({"model":"m","prompt":"x","max_tokens":0})"),
         RefusalReason::MalformedBody},
        {request("POST", path, R"({"model":"other","prompt":"x"})"), RefusalReason::UnknownModel},
        {request("GET", path, ""), RefusalReason::MethodNotAllowed},
        {request("GET", "/returns", ""), RefusalReason::MethodNotAllowed},
        {request("POST", "/nowhere", ""), RefusalReason::UnknownRoute},
    };
    for (const auto &[made, reason] : table)
        EXPECT_EQ(reasonFor(made), reason) << made.method << made.path << made.body;
    auto late = request("POST", path, R"({"model":"m","prompt":"x"})");
    for (const auto *timeout : {"x", "-1", "0", "nan", "1s"}) {
        late.headers["x-request-timeout"] = timeout;
        EXPECT_EQ(reasonFor(late), RefusalReason::MalformedBody) << timeout;
    }
}

TEST(RequestScreen, OnlyTheKeyIdentifiesTheCustomer)
{
    auto made = request("POST", "/v1/completions", R"({"model":"m","prompt":"x"})");
    made.headers["x-customer"] = "somebody-else";
    EXPECT_EQ(screenRequest(made, rules(), limits)->customer, "county-a");
    for (const auto &authorization : {std::string("Bearer nonsense"),
                                      "Bearer " + Utils::sha256Hex(key), "Bearer " + key + " "}) {
        made.headers["authorization"] = authorization;
        EXPECT_EQ(reasonFor(made), RefusalReason::WrongKey) << authorization;
    }
    for (const auto *authorization : {"", "Basic abc", "Bearer", "Bearer "}) {
        made.headers["authorization"] = authorization;
        EXPECT_EQ(reasonFor(made), RefusalReason::NoKey) << authorization;
    }
}

TEST(RequestScreen, OpenRoutesNeedNoKey)
{
    auto made = request("GET", "/status", "");
    made.headers.clear();
    EXPECT_EQ(screenRequest(made, rules(), limits)->kind, ScreenedRequest::Kind::OwnStatus);
}

RC_GTEST_PROP(RequestScreen, AnyBodyIsScreenedOrRefused, (const std::string &body))
{
    const auto screened = screenRequest(request("POST", "/v1/completions", body), rules(), limits);
    RC_ASSERT(screened || screened.error().ran == Admission::Ran::No);
}
