// Names and entries of other writers are validated where they are decoded.

#include <platform/backendcodec.h>
#include <platform/configurationcodec.h>
#include <platform/headercodec.h>
#include <platform/ordercodec.h>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

using namespace Platform;

namespace {

const std::string entry = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"a",
"version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"stage":"both",
"models":[{"name":"m1","version":1,"adapters":["a1@1"]}],"sequence":4,"born":1700000000000,
"atHand":{"inMemory":["m2"],"onDisk":["m2","m3"]}})";

auto replaced(std::string text, const std::string &from, const std::string &to) -> std::string
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

// Guards against: an entry that lacks a field is taken with a value that its server never wrote
// (review, ROUTE).
TEST(Names, EntriesWithoutARequiredFieldAreRejected)
{
    const auto document = nlohmann::json::parse(entry);
    for (const char *field : {"service", "address", "zone", "version", "slots", "state",
                              "coldRemainingMs", "sequence"}) {
        auto incomplete = document;
        incomplete.erase(field);
        EXPECT_FALSE(decodeBackend("i-1", incomplete.dump())) << field;
    }
}

// Guards against: a name of a caller's choice that can't be written as JSON (review, case 1), or
// that stands for an unbounded amount of state.
TEST(Names, RequestsWithImpossibleNamesAreRejected)
{
    constexpr size_t longest = 200;
    for (const std::string &name :
         {std::string("m\xff"), std::string("m1/b\xe5t"), std::string("m1/\xed\xa0\x80"),
          std::string("\xc0\x80"), std::string("m\xc3"), std::string("m1/a\x7f"),
          std::string("m\t1"), std::string("m1/a\0b", 6), std::string(longest + 1, 'm'),
          "m1/" + std::string(longest + 1, 'a')}) {
        Http1::RequestHead head;
        head.fields.add("Model", name);
        EXPECT_FALSE(decodeRequest(head, {})) << name;
    }
    for (const std::string &name :
         {std::string(), std::string("m1"), std::string("m1/b\xc3\xa5t"),
          std::string("Model A/adapter \"3\""), std::string(longest, 'm')}) {
        Http1::RequestHead head;
        head.fields.add("Model", name);
        EXPECT_TRUE(decodeRequest(head, {})) << name;
    }
}

// Guards against: names of other writers that would change the heads of requests, or that can't be
// names.
TEST(Names, EntriesReportsAndConfigurationsWithImpossibleNamesAreRejected)
{
    const std::string tooLong(201, 'm');
    for (const std::string name : {R"(a\r\nb)", R"(a\u0000)", tooLong.c_str()}) {
        EXPECT_FALSE(decodeBackend("i-1", replaced(entry, "huvo11a", name)));
        EXPECT_FALSE(decodeBackend("i-1", replaced(entry, R"("m1")", '"' + name + '"')));
        EXPECT_FALSE(decodeBackend("i-1", replaced(entry, "a1@1", name + "@1")));
        EXPECT_FALSE(decodeReport(R"({"models":[{"name":")" + name + R"("}],"sequence":1})"));
        EXPECT_FALSE(decodeReport(R"({"coming":["m1/)" + name + R"("],"sequence":1})"));
        EXPECT_FALSE(decodeConfiguration(R"({"version":1,"services":[{"name":")" + name
                                         + R"("}],"tenants":[]})"));
        EXPECT_FALSE(decodeConfiguration(R"({"version":1,"tenants":[{"name":")" + name
                                         + R"(","apiKeys":["k"]}]})"));
    }
}
