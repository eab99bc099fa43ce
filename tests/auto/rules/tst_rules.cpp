#include <rules/ruleparser.h>
#include <rules/ruleset.h>
#include <rules/rulesfile.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rules;

namespace {

const std::string hash(64, 'a');
const std::string asked = " # asked by Lin Mei, bureau office";

struct ErrorCase
{
    std::string name;
    std::string text;
    int column;
    std::string nearMatch;
};

auto operator<<(std::ostream &stream, const ErrorCase &errorCase) -> std::ostream &
{
    return stream << errorCase.name;
}

class RuleErrors : public testing::TestWithParam<ErrorCase>
{ };

} // namespace

TEST(Rules, ReadsEachKindOfLine)
{
    const std::string text =
        "# a comment\n\ncustomer county-a rate 2000/s burst 8000 weight 2 key sha256:" + hash
        + asked + "\nkey sha256:" + std::string(64, 'b') + " customer county-a" + asked
        + "\nmodel narrative-3 engines drafting replicas 2 memory 18GiB" + asked
        + "\nadapter n3:x model narrative-3 memory 200MiB" + asked
        + "\nroute POST /returns service filing once identity header:Idempotency-Key" + asked
        + "\nroute GET /tables/* service filing" + asked + "\nopen GET /status" + asked
        + "\ndrain engine-1" + asked + "\n";
    const auto rules = parseRulesFile(text);
    ASSERT_TRUE(rules) << rules.error().front().toString("f");
    const RuleSet set(*rules);
    EXPECT_EQ(set.customer("county-a")->body.rate, 2000);
    EXPECT_EQ(set.customer("county-a")->source.person, "Lin Mei, bureau office");
    EXPECT_EQ(set.customer("county-a")->source.line, 3);
    EXPECT_EQ(set.customerOfKey(hash)->body.name, "county-a");
    EXPECT_EQ(set.customerOfKey(std::string(64, 'b'))->body.name, "county-a");
    EXPECT_EQ(set.customerOfKey(std::string(64, 'c')), nullptr);
    EXPECT_EQ(set.model("narrative-3")->body.memoryBytes, 18ULL << 30);
    EXPECT_EQ(set.adapter("n3:x")->body.model, "narrative-3");
    EXPECT_EQ(set.route("POST", "/returns")->body.once->name, "Idempotency-Key");
    EXPECT_EQ(set.route("GET", "/tables/7")->body.service, "filing");
    EXPECT_EQ(set.route("GET", "/returns"), nullptr);
    EXPECT_NE(set.openRoute("GET", "/status"), nullptr);
    EXPECT_NE(set.drain("engine-1"), nullptr);
}

TEST_P(RuleErrors, ReportLineColumnAndNearMatch)
{
    const auto rule = parseRule(GetParam().text, 7);
    ASSERT_FALSE(rule);
    EXPECT_EQ(rule.error().line, 7);
    EXPECT_EQ(rule.error().column, GetParam().column);
    EXPECT_EQ(rule.error().nearMatch, GetParam().nearMatch);
    EXPECT_FALSE(rule.error().expected.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table, RuleErrors,
    testing::Values(ErrorCase{"unknown rule", "custmer a rate 1/s burst 1" + asked, 1, "customer"},
                    ErrorCase{"wrong keyword", "customer a rat 1/s burst 1" + asked, 12, "rate"},
                    ErrorCase{"rate without unit", "customer a rate 2000 burst 1" + asked, 17, ""},
                    ErrorCase{"negative burst", "customer a rate 1/s burst -1" + asked, 27, ""},
                    ErrorCase{"short key hash", "key sha256:12 customer a" + asked, 5, ""},
                    ErrorCase{"missing end", "model m engines e replicas 2 memory" + asked, 36, ""},
                    ErrorCase{"memory without unit",
                              "model m engines e replicas 2 memory 18" + asked, 37, ""},
                    ErrorCase{"replicas not whole",
                              "model m engines e replicas 1.5 memory 1GiB" + asked, 28, ""},
                    ErrorCase{"unknown method", "route PSOT /x service s" + asked, 7, "POST"},
                    ErrorCase{"relative path", "route POST x service s" + asked, 12, ""},
                    ErrorCase{"identity place",
                              "route POST /x service s once identity cookie:x" + asked, 39, ""},
                    ErrorCase{"words too many", "drain a b" + asked, 9, ""},
                    ErrorCase{"no comment", "drain a", 8, ""},
                    ErrorCase{"comment without person", "drain a # because", 8, ""}));

TEST(Rules, ReportsConflictsBetweenLines)
{
    const auto duplicate = parseRulesFile("drain a" + asked + "\ndrain a" + asked + "\n");
    ASSERT_FALSE(duplicate);
    EXPECT_EQ(duplicate.error().front().line, 2);
    const auto unknown =
        parseRulesFile("customer county-a rate 1/s burst 1" + asked + "\nkey sha256:" + hash
                       + " customer county-b" + asked + "\n");
    ASSERT_FALSE(unknown);
    EXPECT_EQ(unknown.error().front().nearMatch, "county-a");
    const auto sharedKey =
        parseRulesFile("customer a rate 1/s burst 1 key sha256:" + hash + asked
                       + "\ncustomer b rate 1/s burst 1 key sha256:" + hash + asked + "\n");
    EXPECT_FALSE(sharedKey);
}

RC_GTEST_PROP(Rules, AnyInputGivesARuleOrAnErrorWithinTheLine, (const std::string &text))
{
    const auto rule = parseRule(text, 1);
    if (!rule)
        RC_ASSERT(rule.error().column >= 1
                  && rule.error().column <= static_cast<int>(text.size()) + 1);
}
