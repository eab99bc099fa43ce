#include "recordedlogs.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace Explain;
using testing::Contains;
using Utils::Event;

namespace {

auto answerLine(std::int64_t at, int status, const std::string &order = "load",
                const std::string &adapter = "") -> std::string
{
    return eventLine("holder", at, Event::OrderAnswered,
                     {{"model", "m"},
                      {"server", "i-1"},
                      {"order", order},
                      {"adapter", adapter},
                      {"status", status}});
}

/// The end of a request that waited for model m from 10,000 to 11,000 ms.
auto loadFailedLine(const std::string &model = "m") -> std::string
{
    return endLine("a", 11000, "id", "load_failed", 503, {{"model", model}, {"tookMs", 1000}});
}

const std::string dutyTaken = eventLine("holder", 0, Event::DutyTaken, {{"fence", 7}});

} // namespace

TEST(LoadExplanation, FailedLoadIsTracedToItsOrder)
{
    const auto ordered = orderLine(10400, Event::LoadOrdered, "m");
    EXPECT_EQ(causeOf("id", {dutyTaken, loadFailedLine()}), "load-not-ordered");
    EXPECT_EQ(
        causeOf("id", {dutyTaken, orderLine(10400, Event::LoadOrdered, "n"), loadFailedLine()}),
        "load-engines-busy");
    EXPECT_EQ(causeOf("id", {dutyTaken, ordered, loadFailedLine()}), "load-unconfirmed");
    EXPECT_EQ(causeOf("id", {dutyTaken, ordered, answerLine(10500, 0), loadFailedLine()}),
              "load-unanswered");
    EXPECT_EQ(causeOf("id", {dutyTaken, ordered, answerLine(10500, 409), loadFailedLine()}),
              "load-rejected");
    EXPECT_EQ(
        causeOf("id",
                {dutyTaken, ordered, orderLine(10900, Event::LoadFailed, "m"), loadFailedLine()}),
        "load-failed");
    EXPECT_EQ(causeOf("id",
                      {dutyTaken, ordered, orderLine(10900, Event::LoadConfirmed, "m"),
                       loadFailedLine()}),
              "load-not-used");
    // A load that was confirmed before the request arrived is not its cause.
    EXPECT_EQ(causeOf("id",
                      {dutyTaken, orderLine(8000, Event::LoadOrdered, "m"),
                       orderLine(9000, Event::LoadConfirmed, "m"), loadFailedLine()}),
              "load-not-ordered");
}

TEST(LoadExplanation, LogsAreMergedByTime)
{
    const auto ordered = orderLine(9000, Event::LoadOrdered, "m");
    const auto confirmed = orderLine(9500, Event::LoadConfirmed, "m");
    EXPECT_EQ(causeOf("id", {loadFailedLine(), confirmed, ordered, dutyTaken}), "load-not-ordered");
    const auto lost = eventLine("holder", 5000, Event::DutyLost, {{"fence", 7}});
    EXPECT_EQ(causeOf("id", {lost, loadFailedLine(), dutyTaken}), "load-no-duty");
}

TEST(LoadExplanation, UnconfirmedLoadReportsOrderAndConfirmationTimes)
{
    const auto explanation =
        explanationOf("id",
                      {dutyTaken, orderLine(10400, Event::LoadOrdered, "m"), answerLine(10450, 202),
                       loadFailedLine(), orderLine(11700, Event::LoadConfirmed, "m")});
    EXPECT_EQ(explanation["endings"][0]["because"],
              "ordered at i-1 0.600 s before the request ended, confirmed 0.700 s after it");
    EXPECT_THAT(inputsOf(explanation),
                Contains("placement duty: holder, taken 10.000 s before it arrived; "
                         "its log ends")
                    .Times(0));
    EXPECT_THAT(inputsOf(explanation),
                Contains("placement duty: holder, taken 10.000 s before it arrived"));
}

TEST(LoadExplanation, AdapterLoadIsInferredFromOrderAnswer)
{
    const auto base = orderLine(10900, Event::LoadConfirmed, "m");
    EXPECT_EQ(causeOf("id", {dutyTaken, base, loadFailedLine("m/a5")}), "load-without-adapter");
    EXPECT_EQ(
        causeOf("id",
                {dutyTaken, base, answerLine(10950, 202, "load", "a5"), loadFailedLine("m/a5")}),
        "load-unconfirmed");
    EXPECT_EQ(
        causeOf("id",
                {dutyTaken, base, answerLine(10950, 202, "load", "a6"), loadFailedLine("m/a5")}),
        "load-without-adapter");
}

TEST(LoadExplanation, UnloadedModelCountsAsNotLoaded)
{
    const auto ordered = orderLine(9500, Event::LoadOrdered, "m");
    const auto confirmed = orderLine(10400, Event::LoadConfirmed, "m");
    const auto unloaded = orderLine(10600, Event::UnloadOrdered, "m");
    EXPECT_EQ(causeOf("id", {dutyTaken, ordered, confirmed, unloaded, loadFailedLine()}),
              "load-undone");
    // The unload at another server does not matter.
    const auto elsewhere = orderLine(10600, Event::UnloadOrdered, "m", "i-2");
    EXPECT_EQ(causeOf("id", {dutyTaken, ordered, confirmed, elsewhere, loadFailedLine()}),
              "load-not-used");
    EXPECT_EQ(causeOf("id",
                      {dutyTaken, answerLine(9500, 202, "load", "a5"),
                       answerLine(10600, 200, "unload", "a5"), loadFailedLine("m/a5")}),
              "load-undone");
    // The engine rejected the unload order, so the adapter's load is still pending.
    EXPECT_EQ(causeOf("id",
                      {dutyTaken, answerLine(9500, 202, "load", "a5"),
                       answerLine(10600, 409, "unload", "a5"), loadFailedLine("m/a5")}),
              "load-unconfirmed");
}

TEST(LoadExplanation, DutyHolderIsReported)
{
    const auto lost = eventLine("holder", 5000, Event::DutyLost, {{"fence", 7}});
    const auto takenLater = eventLine("next", 12000, Event::DutyTaken, {{"fence", 8}});
    EXPECT_EQ(causeOf("id", {dutyTaken, lost, loadFailedLine(), takenLater}), "load-no-duty");
    const auto takenInTime = eventLine("next", 10500, Event::DutyTaken, {{"fence", 8}});
    EXPECT_EQ(causeOf("id", {dutyTaken, lost, loadFailedLine(), takenInTime}), "load-log-missing");
    // If the previous holder logs the loss after the next one took the duty, the next one keeps it.
    const auto lostLate = eventLine("holder", 10700, Event::DutyLost, {{"fence", 7}});
    const auto explanation =
        explanationOf("id", {dutyTaken, takenInTime, lostLate, loadFailedLine()});
    EXPECT_THAT(inputsOf(explanation),
                Contains("placement duty: next, taken 0.500 s after it arrived"));
}

TEST(LoadExplanation, DutyHolderWhoseLogEndsIsReported)
{
    const auto explanation = explanationOf("id", {dutyTaken, loadFailedLine()});
    EXPECT_THAT(inputsOf(explanation),
                Contains("placement duty: holder, taken 10.000 s before it arrived; its log ends "
                         "11.000 s before the request's end"));
}

TEST(LoadExplanation, DutyHolderIsInferredFromOrdersWhenLogsBeginLater)
{
    const auto explanation =
        explanationOf("id", {orderLine(12000, Event::LoadOrdered, "n"), loadFailedLine()});
    EXPECT_EQ(explanation["endings"][0]["cause"], "load-log-missing");
    EXPECT_THAT(
        inputsOf(explanation),
        Contains("placement duty: holder, inferred from its order 2.000 s after it arrived"));
    EXPECT_EQ(causeOf("id", {loadFailedLine()}), "load-log-missing");
}
