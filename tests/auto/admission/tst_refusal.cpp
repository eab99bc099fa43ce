#include <admission/refusal.h>
#include <admission/tokenestimate.h>

#include <gtest/gtest.h>

#include <set>

using namespace Admission;

TEST(Refusal, EveryReasonHasAUniqueCodeAndSurvivesSerialization)
{
    std::set<std::string> codes;
    for (const auto &entry : refusalCatalogue()) {
        EXPECT_TRUE(codes.insert(std::string(entry.code)).second) << entry.code;
        EXPECT_GE(entry.httpStatus, 400);
        for (const auto ran : {Ran::No, Ran::Yes, Ran::Unknown}) {
            const Refusal refusal{entry.reason, ran, std::chrono::milliseconds(1500), "d", "r",
                                  "p",          "c"};
            const auto back = refusalFromJson(toJson(refusal));
            ASSERT_TRUE(back);
            EXPECT_EQ(back->reason, refusal.reason);
            EXPECT_EQ(back->ran, refusal.ran);
            EXPECT_EQ(back->retryAfter, refusal.retryAfter);
            EXPECT_EQ(back->crash, "c");
        }
    }
    EXPECT_EQ(codes.size(), static_cast<size_t>(RefusalReason::Internal) + 1);
}

TEST(Refusal, RejectsDocumentsThatAreNotRefusals)
{
    for (const auto *text : {"{}", "[]", "1", R"({"code":"no_such","ran":"no","retryAfter":0})",
                             R"({"code":"no_key"})"})
        EXPECT_FALSE(refusalFromJson(nlohmann::json::parse(text))) << text;
}

TEST(TokenEstimate, CountsPromptAndMaxGeneratedTokens)
{
    const auto estimate = estimateCompletion({{"prompt", "12345678"}, {"max_tokens", 100}});
    ASSERT_TRUE(estimate);
    EXPECT_EQ(estimate->total(), 102);
    EXPECT_EQ(estimateCompletion({{"prompt", ""}})->maxGenerated, 256);
    for (const auto &most : {nlohmann::json(0), nlohmann::json(-1), nlohmann::json("9"),
                             nlohmann::json(1.5), nlohmann::json(2000000)})
        EXPECT_FALSE(estimateCompletion({{"prompt", "x"}, {"max_tokens", most}})) << most;
}

TEST(TokenEstimate, ReadsTheLastReportedUsage)
{
    EXPECT_EQ(reportedTokens(R"({"usage":{"completion_tokens":7,"prompt_tokens":3}})"), 7);
    EXPECT_FALSE(reportedTokens("nothing"));
    EXPECT_FALSE(reportedTokens(R"("completion_tokens":x)"));
}
