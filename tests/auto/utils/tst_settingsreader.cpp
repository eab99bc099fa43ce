#include <utils/settingsreader.h>

#include <gtest/gtest.h>

#include <fstream>

using Utils::SettingsReader;

namespace {

/// Reads a settings text and returns all errors, one per line.
auto errorsOf(const std::string &text) -> std::string
{
    const auto reader = SettingsReader::fromText("f.json", text);
    if (!reader)
        return reader.error();
    (*reader)->string("name");
    (*reader)->address("address", true);
    (*reader)->integer("slots", 1, 10, 5);
    (*reader)->number("rate", 0, 1, 0.5);
    (*reader)->boolean("flag", false);
    (*reader)->choice("order", {"fair", "first-come"}, "fair");
    (*reader)->addresses("peers");
    std::string all;
    for (const auto &error : (*reader)->errors())
        all += error + "\n";
    return all;
}

const std::string validFields = R"("name": "n", "address": "127.0.0.1:80")";

} // namespace

TEST(SettingsReader, AcceptsValidSettings)
{
    EXPECT_EQ(
        errorsOf(
            "{" + validFields
            + R"(, "slots": 3, "flag": true, "order": "first-come", "peers": ["10.0.0.1:1"]})"),
        "");
}

TEST(SettingsReader, ErrorsNameFileFieldAndExpectedValue)
{
    const std::vector<std::pair<std::string, std::string>> table = {
        {"{", "f.json: not valid JSON"},
        {"[]", "f.json: expected a JSON object"},
        {R"({"address": "127.0.0.1:80"})", "field \"name\": expected a non-empty string"},
        {R"({"name": "n", "address": "localhost:80"})",
         "field \"address\": expected a numeric address"},
        {R"({"name": "n", "address": "127.0.0.1:99999"})", "field \"address\""},
        {"{" + validFields + R"(, "slots": 11})",
         "field \"slots\": expected a whole number from 1 to 10"},
        {"{" + validFields + R"(, "slots": "3"})", "field \"slots\""},
        {"{" + validFields + R"(, "rate": 2})", "field \"rate\""},
        {"{" + validFields + R"(, "flag": 1})", "field \"flag\": expected true or false"},
        {"{" + validFields + R"(, "order": "fare"})", "did you mean \"fair\"?"},
        {"{" + validFields + R"(, "peers": ["x"]})", "field \"peers\": expected a list"},
        {"{" + validFields + R"(, "slot": 3})",
         "field \"slot\" is unknown; did you mean \"slots\"?"},
    };
    for (const auto &[text, expectedError] : table)
        EXPECT_NE(errorsOf(text).find(expectedError), std::string::npos) << text << "\n"
                                                                         << errorsOf(text);
}

TEST(SettingsReader, ReportsAllErrorsAtOnce)
{
    const std::string errors = errorsOf(R"({"slots": 0, "unknown": 1})");
    for (const auto *field : {"name", "address", "slots", "unknown"})
        EXPECT_NE(errors.find("\"" + std::string(field) + "\""), std::string::npos) << field;
}

TEST(SettingsReader, NeverShowsASecret)
{
    const std::string path = testing::TempDir() + "/secret";
    std::ofstream(path) << "a-secret-of-the-fleet\n";
    const auto reader = SettingsReader::fromText("f", R"({"secretFile": ")" + path + "\"}");
    EXPECT_EQ((*reader)->secretFile("secretFile"), "a-secret-of-the-fleet");
    EXPECT_EQ((*reader)->effective().dump().find("a-secret"), std::string::npos);
    std::ofstream(path) << "short\n";
    const auto again = SettingsReader::fromText("f", R"({"secretFile": ")" + path + "\"}");
    (*again)->secretFile("secretFile");
    ASSERT_EQ((*again)->errors().size(), 1U);
    EXPECT_EQ((*again)->errors().front().find("short"), std::string::npos);
}
