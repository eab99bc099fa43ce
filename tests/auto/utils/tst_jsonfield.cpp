// Fields of JSON documents that another process has written.

#include <utils/jsonfield.h>

#include <gtest/gtest.h>

#include <limits>

using nlohmann::json;
using Utils::fieldOr;

// Guards against: a number that doesn't fit, read as another number.
TEST(JsonField, NumbersThatDoNotFitAreTheFallback)
{
    const auto document = [](const char *number) {
        return json::parse(std::string("{\"n\":") + number + "}");
    };
    EXPECT_EQ(fieldOr(document("4294967300"), "n", 7), 7);
    EXPECT_EQ(fieldOr(document("-2147483649"), "n", 7), 7);
    EXPECT_EQ(fieldOr(document("18446744073709551615"), "n", std::int64_t(7)), 7);
    EXPECT_EQ(fieldOr(document("-1"), "n", std::uint64_t(7)), 7);
    EXPECT_EQ(fieldOr(document("1e300"), "n", std::int64_t(7)), 7);
    EXPECT_EQ(fieldOr(document("-1e300"), "n", std::int64_t(7)), 7);
    EXPECT_EQ(fieldOr(document("9223372036854775808.0"), "n", std::int64_t(7)), 7);
    EXPECT_EQ(fieldOr(document("18446744073709551616"), "n", std::uint64_t(7)), 7);
    EXPECT_EQ(fieldOr(document("1e10"), "n", 7), 7);
}

TEST(JsonField, NumbersThatFitAreRead)
{
    const json document = {{"small", -5},
                           {"large", std::numeric_limits<std::uint64_t>::max()},
                           {"rounded", 3.0},
                           {"half", 3.5},
                           {"flag", true}};
    EXPECT_EQ(fieldOr(document, "small", 7), -5);
    EXPECT_EQ(fieldOr(document, "large", std::uint64_t(7)),
              std::numeric_limits<std::uint64_t>::max());
    EXPECT_EQ(fieldOr(document, "rounded", 7), 3);
    EXPECT_EQ(fieldOr(document, "half", 7), 3);
    EXPECT_EQ(fieldOr(document, "half", 7.0), 3.5);
    EXPECT_TRUE(fieldOr(document, "flag", false));
    EXPECT_EQ(fieldOr(document, "missing", 7), 7);
}

// Guards against: text that nests so deeply that copying or writing the document ends the process.
TEST(JsonField, TextThatNestsTooDeeplyIsRejected)
{
    const auto nested = [](size_t depth) {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    EXPECT_TRUE(Utils::parseJson(nested(Utils::MaxJsonDepth)));
    EXPECT_FALSE(Utils::parseJson(nested(Utils::MaxJsonDepth + 1)));
    EXPECT_FALSE(Utils::parseJson(nested(1000000)));
    EXPECT_FALSE(Utils::parseJson(std::string(1000000, '{')));
    EXPECT_FALSE(Utils::parseJson("[[]"));
    // Brackets in texts don't count, also after an escaped quotation mark.
    const auto text = Utils::parseJson("[\"" + std::string(1000, '[') + "\\\"[\\\\\",[]]");
    ASSERT_TRUE(text);
    EXPECT_EQ(text->at(0).get<std::string>().size(), 1003);
    EXPECT_TRUE(Utils::parseJson("[" + std::string(999, ' ') + "[],[],[]]"));
}
