#include <admission/modelforecast.h>
#include <admission/retryafter.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <set>

using namespace Admission;
using namespace std::chrono_literals;

namespace {

const Utils::TimePoint start = Utils::TimePoint() + std::chrono::hours(1);

} // namespace

// Guards against waits that are derived from the forecast of a holder that is gone.
TEST(ModelForecast, IsNotUsedOnceItIsOld)
{
    ModelForecast forecast;
    EXPECT_FALSE(forecast.isUsable(start));
    forecast.receive({{"s", "m", 3000ms}}, 500ms, start);
    EXPECT_EQ(forecast.waitFor("s", "m", start)->expected, 2500ms);
    EXPECT_EQ(forecast.waitFor("s", "m", start + 1500ms)->expected, 1000ms);
    EXPECT_FALSE(forecast.waitFor("s", "m", start + 1501ms));
    EXPECT_FALSE(forecast.isUsable(start + 1501ms));
    EXPECT_FALSE(forecast.waitFor("s", "n", start));
    forecast.receive({{"s", "m", 100ms}}, 0ms, start);
    EXPECT_EQ(forecast.waitFor("s", "m", start + 400ms)->expected, 0ms) << "an overdue load";
    forecast.clear();
    EXPECT_FALSE(forecast.isUsable(start));
}

// Guards against fields of other versions or of a faulty peer.
TEST(ModelForecast, FieldThatCantBeReadIsSkipped)
{
    EXPECT_FALSE(ModelForecast::fromJson(nlohmann::json()));
    EXPECT_FALSE(ModelForecast::fromJson("x"));
    const auto some = ModelForecast::fromJson(nlohmann::json::parse(
        R"([["s","m",10],["s","m"],[1,"m",10],["s",{},10],["s","m","x"],["s","n",-5],["s","o",1e30],
            ["s","p",9223372036854775807],7])"));
    ASSERT_TRUE(some);
    ASSERT_EQ(some->size(), 3U);
    EXPECT_EQ(some->at(0).remaining, 10ms);
    EXPECT_EQ(some->at(1).remaining, 0ms);
    EXPECT_EQ(some->at(2).remaining, Utils::MaxDuration);
}

// Guards against a datagram that is too large to be sent.
TEST(ModelForecast, FieldStaysSmall)
{
    std::vector<ExpectedModel> many;
    for (int i = 0; i < 1000; ++i)
        many.push_back({"s", std::string(size_t(i), 'm'), 10ms});
    const auto field = ModelForecast::toJson(many);
    EXPECT_LE(field.dump().size(), 10000U);
    EXPECT_EQ(ModelForecast::fromJson(field)->size(), 32U);
}

// Guards against callers that were refused together and return together.
TEST(RetryAfter, JitterCoversHalfOfTheWait)
{
    std::set<std::int64_t> values;
    for (int i = 0; i < 200; ++i) {
        const auto wait = retryAfter(1000ms, "attempt-" + std::to_string(i));
        EXPECT_GE(wait, 1000ms);
        EXPECT_LE(wait, 1500ms);
        values.insert(wait.count() / 100);
        EXPECT_EQ(wait, retryAfter(1000ms, "attempt-" + std::to_string(i)));
    }
    EXPECT_GE(values.size(), 5U);
}
