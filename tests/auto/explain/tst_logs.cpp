#include "recordedlogs.h"

#include <gtest/gtest.h>

#include <cstdio>

using namespace Explain;
using Utils::Event;

namespace {

const std::string served = endLine("a", 1000, "id-1", "answered", 200);

auto linesOf(const LogFiles &logs) -> Lines
{
    Lines lines;
    EXPECT_TRUE(logs.forEachLine([&lines](std::string_view line) { lines.emplace_back(line); }));
    return lines;
}

} // namespace

TEST(LogLine, PrefixBeforeJsonObjectIsIgnored)
{
    EXPECT_EQ(extractJsonObject("  18.1398 front-1 " + served + "\r"), served);
    const auto line = parseLogLine(extractJsonObject("  18.1398 front-1 " + served));
    ASSERT_TRUE(line);
    EXPECT_EQ(line->gateway, "a");
    EXPECT_EQ(line->event, Event::RequestServed);
    EXPECT_EQ(line->time.count(), RecordingStart + 1000);
    EXPECT_EQ(line->requestId(), "id-1");
}

TEST(LogLine, LinesNotFromAGatewayAreRejected)
{
    EXPECT_EQ(extractJsonObject("no object"), "");
    EXPECT_EQ(extractJsonObject("{\"cut"), "");
    EXPECT_FALSE(parseLogLine("{\"cut}"));
    EXPECT_FALSE(parseLogLine("[1]"));
    EXPECT_FALSE(parseLogLine("{}"));
    EXPECT_FALSE(parseLogLine(R"({"event":300,"process":5,"time":1})"));
    EXPECT_FALSE(parseLogLine(R"({"event":300,"process":"a"})"));
    EXPECT_FALSE(parseLogLine(R"({"process":"a","time":1})"));
}

TEST(LogLine, CallerIdIsNotMistakenForAnotherField)
{
    const auto line = endLine("a", 0, R"(","event":301,"x":")", "load_failed", 503);
    EXPECT_FALSE(isServedLine(line));
    EXPECT_TRUE(isServedLine(served));
}

TEST(LogLine, InvalidUtf8IsReplacedInJsonOutput)
{
    // The lines of served requests are not parsed.
    auto line = endLine("gateway", 1000, "id-1", "answered", 200);
    line.replace(line.find("gateway"), 1, "\xbb");
    const auto explanation = explanationOf(
        "id-2", {line, endLine("b", 2000, "id-2", "unknown_route", 404, {{"configuration", 0}})});
    EXPECT_NE(jsonText(explanation)
                  .find("first \xef\xbf\xbd"
                        "ateway"),
              std::string::npos);
}

TEST(LogFiles, LinesKeepOrderWithoutTrailingNewline)
{
    const RecordedLog one({"1", "", "2"});
    const RecordedLog other({"3", "4"}, "");
    const auto logs = LogFiles::open({one.path(), other.path()}, nullptr);
    ASSERT_TRUE(logs);
    EXPECT_EQ(linesOf(*logs), (Lines{"1", "2", "3", "4"}));
}

TEST(LogFiles, LongLinesTakeBoundedMemory)
{
    constexpr size_t longLine = 5 << 20;
    const RecordedLog log({"1", std::string(longLine, 'x'), "2"});
    const auto logs = LogFiles::open({log.path()}, nullptr);
    const auto lines = linesOf(*logs);
    ASSERT_EQ(lines.size(), 3U);
    EXPECT_LT(lines[1].size(), longLine);
    EXPECT_EQ(lines[2], "2");
}

TEST(LogFiles, StandardInputCanBeReadTwice)
{
    std::FILE *input = std::tmpfile();
    std::fputs("1\n2\n", input);
    std::rewind(input);
    const auto logs = LogFiles::open({"-"}, input);
    ASSERT_TRUE(logs);
    EXPECT_EQ(linesOf(*logs), (Lines{"1", "2"}));
    EXPECT_EQ(linesOf(*logs), (Lines{"1", "2"}));
    std::fclose(input);
}

TEST(LogFiles, ErrorsNameTheUnreadableFile)
{
    const auto directory = std::filesystem::temp_directory_path().string();
    EXPECT_EQ(LogFiles::open({"/no/such.log"}, nullptr).error(),
              "/no/such.log: No such file or directory");
    EXPECT_EQ(LogFiles::open({directory}, nullptr).error(),
              directory + ": is a directory, expected a log file");
    EXPECT_EQ(LogFiles::open({}, nullptr).error(), "no log is given");
    const RecordedLog log({"1"});
    EXPECT_EQ(LogFiles::open({log.path(), log.path()}, nullptr).error(),
              log.path() + ": is given twice");
}

TEST(LogSearch, LogsWithoutGatewayLinesAreAnError)
{
    const RecordedLog log({"text", "{}"});
    const auto logs = LogFiles::open({log.path()}, nullptr);
    const auto explanation = explainRequest(*logs, "id-1", {});
    ASSERT_FALSE(explanation);
    EXPECT_EQ(explanation.error().kind, LogError::Kind::Unusable);
    const auto losses = countLosses(*logs, {});
    ASSERT_FALSE(losses);
    EXPECT_EQ(losses.error().kind, LogError::Kind::Unusable);
}

TEST(LogSearch, UnknownRequestIsADistinctError)
{
    const RecordedLog log({served});
    const auto logs = LogFiles::open({log.path()}, nullptr);
    const auto explanation = explainRequest(*logs, "id-2", {});
    ASSERT_FALSE(explanation);
    EXPECT_EQ(explanation.error().kind, LogError::Kind::UnknownRequest);
    // A part of an id, or another field with the same text, does not match.
    EXPECT_FALSE(explainRequest(*logs, "id", {}));
    EXPECT_FALSE(explainRequest(*logs, "county-a", {}));
    EXPECT_TRUE(explainRequest(*logs, "id-1", {}));
}
