#include "recordedlogs.h"

#include <admission/refusal.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace Explain;
using Utils::Event;

namespace {

auto sumOf(const nlohmann::json &byCause) -> size_t
{
    size_t sum = 0;
    for (const auto &loss : byCause)
        sum += loss["count"].get<size_t>();
    return sum;
}

auto outcomes() -> Lines
{
    Lines all = {"answered", "caller_left", "something_new"};
    for (const auto &refusal : Admission::refusalCatalogue())
        all.emplace_back(refusal.code);
    return all;
}

} // namespace

RC_GTEST_PROP(LossCounter, CauseCountsAddUp, ())
{
    const auto requests = *rc::gen::inRange(0, 60);
    Lines lines = {configurationLine("a", 0, 2), "no line"};
    size_t served = 0;
    size_t notServed = 0;
    for (int i = 0; i < requests; ++i) {
        const auto id = std::to_string(i);
        const auto at = *rc::gen::inRange(0, 20000);
        const auto gateway = *rc::gen::element<std::string>("a", "b");
        const bool isServed = *rc::gen::arbitrary<bool>();
        ++(isServed ? served : notServed);
        if (*rc::gen::arbitrary<bool>())
            lines.push_back(
                eventLine(gateway, at, Event::StreamEnded, {{"request", id}, {"server", "i-1"}}));
        lines.push_back(endLine(gateway, at, id,
                                isServed ? "answered" : *rc::gen::elementOf(outcomes()),
                                isServed ? 200 : 503,
                                {{"tookMs", *rc::gen::inRange(0, 3000)},
                                 {"sends", *rc::gen::inRange(0, 3)},
                                 {"model", *rc::gen::element<std::string>("", "m", "m/a1")},
                                 {"firstEventMs", *rc::gen::inRange(-1, 2000)},
                                 {"longestPauseMs", *rc::gen::inRange(0, 2000)},
                                 {"configuration", *rc::gen::inRange(0, 3)}}));
        if (*rc::gen::arbitrary<bool>())
            lines.push_back(eventLine("b", at, Event::BackendGone, {{"server", "i-1"}}));
    }
    const auto losses = lossesOf(lines);
    RC_ASSERT(losses["notServed"] == notServed);
    RC_ASSERT(sumOf(losses["notServedByCause"]) == notServed);
    RC_ASSERT(sumOf(losses["lateByCause"]) == losses["servedLate"].get<size_t>());
    RC_ASSERT(losses["servedInTime"].get<size_t>() + losses["servedLate"].get<size_t>() == served);
    RC_ASSERT(losses["linesSkipped"] == 1);
}

TEST(LossCounter, EveryOutcomeHasANamedCause)
{
    for (const auto &outcome : outcomes()) {
        const auto losses = lossesOf({endLine("a", 10, "id", outcome, 503)});
        ASSERT_EQ(losses["notServedByCause"].size(), 1U) << outcome;
        EXPECT_NE(meaningOf(losses["notServedByCause"].begin().key()), "") << outcome;
    }
}

TEST(LossCounter, CauseListsItsOutcomesAndAnExample)
{
    const auto losses = lossesOf({endLine("a", 10, "one", "answered", 500),
                                  endLine("b", 20, "two", "answered", 504),
                                  endLine("b", 30, "three", "answered", 500)});
    const auto &loss = losses["notServedByCause"]["server-error"];
    EXPECT_EQ(loss["count"], 3);
    EXPECT_EQ(loss["example"], "one");
    EXPECT_EQ(loss["outcomes"], (nlohmann::json{{"answered 500", 2}, {"answered 504", 1}}));
}

TEST(LossCounter, SkippedAndDroppedLinesAreCounted)
{
    const auto served = endLine("a", 10, "one", "answered", 200);
    const auto losses =
        lossesOf({"text", served.substr(0, served.size() / 2), "12.5 front-a " + served, "{}",
                  R"({"linesLeftOut":7})", R"({"event":301})"});
    EXPECT_EQ(losses["lines"], 6);
    EXPECT_EQ(losses["linesSkipped"], 4);
    EXPECT_EQ(losses["linesLeftOut"], 7);
    EXPECT_EQ(losses["servedInTime"], 1);
}

TEST(LossCounter, FailuresOfAServedRequestDoNotAffectALaterOne)
{
    const auto denied =
        eventLine("a", 5, Event::RequestRetried, {{"request", "id"}, {"granted", false}});
    const auto losses = lossesOf({denied, endLine("a", 10, "id", "answered", 200),
                                  endLine("a", 20, "id", "no_backend_server", 503)});
    EXPECT_EQ(losses["notServedByCause"].begin().key(), "no-server");
    const auto twice = lossesOf({denied, endLine("a", 10, "id", "no_backend_server", 503),
                                 endLine("a", 20, "id", "no_backend_server", 503)});
    EXPECT_EQ(twice["notServedByCause"]["retry-budget"]["count"], 1);
    EXPECT_EQ(twice["notServedByCause"]["no-server"]["count"], 1);
}

TEST(LossCounter, CallerIdCannotInjectControlCharacters)
{
    const auto losses = lossesOf({endLine("a", 10, "id\n9 requests\u001b[2J", "answered", 500)});
    EXPECT_EQ(losses["notServedByCause"]["server-error"]["example"], "id?9 requests?[2J");
}

TEST(LossCounter, LimitsDecideWhatIsLate)
{
    const RecordedLog log({endLine("a", 10, "id", "answered", 200, {{"tookMs", 50}})});
    const auto logs = LogFiles::open({log.path()}, nullptr);
    EXPECT_EQ(countLosses(*logs, {})->json["servedLate"], 0);
    LateLimits limits;
    limits.answer = std::chrono::milliseconds(49);
    EXPECT_EQ(countLosses(*logs, limits)->json["servedLate"], 1);
}
