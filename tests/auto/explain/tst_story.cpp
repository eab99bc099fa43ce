#include "recordedlogs.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace Explain;
using testing::Contains;
using testing::HasSubstr;
using testing::Not;
using Utils::Event;

namespace {

auto brokenStreamLine(std::int64_t at, const std::string &gateway = "a") -> std::string
{
    return eventLine(
        gateway, at, Event::StreamEnded,
        {{"request", "id"}, {"server", "i-1"}, {"reason", "broken_answer"}, {"answerBegun", true}});
}

auto backendFailedLine() -> std::string
{
    return endLine("a", 10300, "id", "backend_failed", 502, {{"sends", 1}, {"tookMs", 300}});
}

auto serverLine(const std::string &gateway, std::int64_t at, Event event, bool isLeaving = false)
    -> std::string
{
    return eventLine(gateway, at, event, {{"server", "i-1"}, {"leaving", isLeaving}});
}

} // namespace

TEST(RequestExplanation, NotFoundFromOutdatedConfigurationListsEachGatewaysVersion)
{
    // The logs follow one another and are not ordered by time.
    const auto explanation =
        explanationOf("id",
                      {configurationLine("a", 100, 17),
                       endLine("a", 10010, "id", "unknown_route", 404, {{"configuration", 17}}),
                       eventLine("a", 9000, Event::StoreAskedAnew,
                                 {{"othersRowVersion", 190}, {"rowVersion", 170}}),
                       configurationLine("a", 12000, 19, 1774), configurationLine("b", 120, 17),
                       configurationLine("b", 6000, 19, 1774), configurationLine("c", 110, 17),
                       configurationLine("c", 7000, 19, 1774), configurationLine("d", 130, 17)});
    EXPECT_EQ(explanation["endings"][0]["cause"], "older-configuration");
    EXPECT_THAT(
        inputsOf(explanation),
        testing::ElementsAre(
            "configuration 17 (49 routes), taken by a 9.900 s before it arrived",
            "other gateways then: 19 at 2 (1774 routes, first b 4.000 s before it arrived), "
            "17 at 1",
            "a took 19 2.000 s after it arrived"));
    EXPECT_THAT(rowsOf(explanation), Contains(HasSubstr("store-asked-anew (othersRowVersion 190")));
}

TEST(RequestExplanation, NotFoundAtEveryGatewayIsAnUnknownRoute)
{
    const Lines lines = {configurationLine("a", 100, 17), configurationLine("b", 100, 17),
                         configurationLine("b", 10001, 19),
                         endLine("a", 10010, "id", "unknown_route", 404, {{"configuration", 17}})};
    // b took the newer one only after the request had arrived.
    EXPECT_EQ(causeOf("id", lines), "unknown-route");
    EXPECT_THAT(inputsOf(explanationOf("id", lines)),
                Contains("a took no newer one in these logs"));
    EXPECT_EQ(causeOf("id", {endLine("a", 10, "id", "wrong_key", 401)}), "wrong-key");
}

TEST(RequestExplanation, ConfigurationIsInferredFromRequestsWhenTheLogBeginsLate)
{
    const auto explanation =
        explanationOf("id",
                      {endLine("b", 5000, "other", "answered", 200, {{"configuration", 19}}),
                       endLine("a", 10010, "id", "unknown_route", 404, {{"configuration", 17}}),
                       endLine("c", 20000, "later", "answered", 200, {{"configuration", 19}})});
    EXPECT_EQ(explanation["endings"][0]["cause"], "older-configuration");
    EXPECT_THAT(inputsOf(explanation),
                Contains("configuration 17, taken by a before its log begins"));
    EXPECT_THAT(inputsOf(explanation), Contains(HasSubstr("19 at 1 (1 known from requests only)")));
    EXPECT_THAT(inputsOf(explanation), Contains(HasSubstr("unknown at 1")));
}

TEST(RequestExplanation, ConfigurationReappliedAfterRestartKeepsItsFirstTime)
{
    const auto refused = endLine("a", 10010, "id", "unknown_route", 404, {{"configuration", 17}});
    const auto request = endLine("b", 5010, "other", "answered", 200, {{"configuration", 19}});
    EXPECT_EQ(causeOf("id", {refused, request, configurationLine("b", 12000, 19)}),
              "older-configuration");
    EXPECT_EQ(causeOf("id", {refused, configurationLine("b", 12000, 19), request}),
              "older-configuration");
    // The request arrived in the same millisecond, and its time is rounded down.
    const auto explanation =
        explanationOf("id", {refused, request, configurationLine("b", 5001, 19)});
    EXPECT_THAT(
        inputsOf(explanation),
        Contains("other gateways then: 19 at 1 (49 routes, first b 4.999 s before it arrived)"));
}

TEST(RequestExplanation, BrokenStreamIsTracedToItsServersTermination)
{
    EXPECT_EQ(causeOf("id", {brokenStreamLine(10250), backendFailedLine()}), "answer-broken");
    EXPECT_EQ(causeOf("id",
                      {brokenStreamLine(10250), backendFailedLine(),
                       serverLine("b", 12000, Event::BackendGone)}),
              "server-died");
    // Listed again without having announced that it leaves: another incarnation.
    EXPECT_EQ(causeOf("id",
                      {brokenStreamLine(10250), backendFailedLine(),
                       serverLine("b", 12000, Event::BackendChanged)}),
              "server-died");
    EXPECT_EQ(causeOf("id",
                      {serverLine("b", 9000, Event::BackendLeaving, true), brokenStreamLine(10250),
                       backendFailedLine(), serverLine("b", 12000, Event::BackendGone)}),
              "server-left");
    // It returned before the stream broke.
    EXPECT_EQ(causeOf("id",
                      {serverLine("b", 2000, Event::BackendChanged, true),
                       serverLine("b", 5000, Event::BackendChanged), brokenStreamLine(10250),
                       backendFailedLine()}),
              "answer-broken");
    EXPECT_EQ(causeOf("id",
                      {brokenStreamLine(10250), backendFailedLine(),
                       serverLine("b", 40000, Event::BackendGone)}),
              "answer-broken");
}

TEST(RequestExplanation, StartingGatewayDoesNotMakeServersNew)
{
    EXPECT_EQ(causeOf("id",
                      {brokenStreamLine(10250), backendFailedLine(),
                       eventLine("b", 11000, Event::ProcessStarted),
                       serverLine("b", 12000, Event::BackendChanged)}),
              "answer-broken");
}

TEST(RequestExplanation, ServerEventSeenByManyGatewaysIsOneRow)
{
    const auto explanation = explanationOf(
        "id",
        {brokenStreamLine(10250), backendFailedLine(), serverLine("b", 12000, Event::BackendGone),
         serverLine("a", 12100, Event::BackendGone), serverLine("c", 12200, Event::BackendGone)});
    EXPECT_THAT(rowsOf(explanation), Contains(HasSubstr("backend-gone")).Times(1));
    EXPECT_THAT(rowsOf(explanation),
                Contains("b  backend-gone at i-1 (leaving false), then 2 similar lines"));
}

TEST(RequestExplanation, DeniedRetryAffectsOnlyItsRequest)
{
    const auto denied = eventLine("a", 10290, Event::RequestRetried,
                                  {{"request", "id"}, {"granted", false}, {"reason", "not_run"}});
    EXPECT_EQ(causeOf("id", {brokenStreamLine(10250), denied, backendFailedLine()}),
              "retry-budget");
    EXPECT_EQ(causeOf("id", {denied, endLine("a", 10300, "id", "no_backend_server", 503)}),
              "retry-budget");
    const auto losses = lossesOf({denied, endLine("a", 10300, "other", "no_backend_server", 503)});
    EXPECT_EQ(losses["notServedByCause"]["no-server"]["count"], 1);
}

TEST(RequestExplanation, RefusalForLackOfAPermitNamesTheServerAndItsLimit)
{
    const auto refused = eventLine("a", 10290, Event::PermitRefused,
                                   {{"request", "id"},
                                    {"server", "i-1"},
                                    {"perSecond", 1.5},
                                    {"limitAgeMs", 400},
                                    {"delayMs", 2600}});
    const auto end = endLine("a", 10300, "id", "would_miss_deadline", 503);
    EXPECT_EQ(causeOf("id", {refused, end}), "server-limit");
    EXPECT_EQ(causeOf("id", {end}), "other-refusal");
    const auto losses = lossesOf({refused, end});
    EXPECT_EQ(losses["notServedByCause"]["server-limit"]["count"], 1);
}

TEST(RequestExplanation, LateAnswersHaveDistinctCauses)
{
    const auto lateAnswerLine = [](const nlohmann::json &overrides) {
        nlohmann::json fields = {{"model", "m"},
                                 {"server", "i-1"},
                                 {"sends", 1},
                                 {"firstEventMs", 2000},
                                 {"tookMs", 3000}};
        fields.update(overrides);
        return endLine("a", 13000, "id", "answered", 200, fields);
    };
    const auto unchanged = nlohmann::json::object();
    EXPECT_EQ(causeOf("id", {lateAnswerLine(unchanged)}), "late-answer");
    EXPECT_EQ(causeOf("id", {lateAnswerLine({{"sends", 2}})}), "late-repeat");
    EXPECT_EQ(
        causeOf("id", {orderLine(11000, Event::LoadConfirmed, "m"), lateAnswerLine(unchanged)}),
        "late-load");
    // A load confirmed after the first event did not delay the request.
    EXPECT_EQ(
        causeOf("id", {orderLine(12500, Event::LoadConfirmed, "m"), lateAnswerLine(unchanged)}),
        "late-answer");
    EXPECT_EQ(causeOf("id", {lateAnswerLine({{"firstEventMs", 20}, {"longestPauseMs", 1500}})}),
              "late-pause");
    EXPECT_EQ(causeOf("id", {lateAnswerLine({{"firstEventMs", 1000}, {"longestPauseMs", 1000}})}),
              "");
}

TEST(RequestExplanation, SameIdAtTwoGatewaysIsOneExplanation)
{
    const auto explanation = explanationOf("id",
                                           {endLine("b", 12000, "id", "answered", 200),
                                            endLine("a", 11000, "id", "no_backend_server", 503)});
    ASSERT_EQ(explanation["endings"].size(), 2U);
    EXPECT_EQ(explanation["endings"][0]["gateway"], "a");
    EXPECT_EQ(explanation["endings"][0]["cause"], "no-server");
    EXPECT_EQ(explanation["endings"][1]["cause"], "");
}

TEST(RequestExplanation, RequestWithoutAnEndIsReported)
{
    const auto explanation = explanationOf("id", {brokenStreamLine(10250)});
    EXPECT_TRUE(explanation["endings"].empty());
    EXPECT_THAT(explanation["notes"].get<Lines>(),
                Contains(HasSubstr("no end at a; its log ends")));
}

TEST(RequestExplanation, TextFitsOnAScreen)
{
    Lines lines = {
        endLine("a", 11000, "id", "load_failed", 503, {{"model", "m"}, {"tookMs", 1000}})};
    for (int i = 0; i < 500; ++i)
        lines.push_back(orderLine(10000 + i, Event::LoadOrdered, "m", "i-" + std::to_string(i)));
    const RecordedLog log(lines);
    const auto explanation = explainRequest(*LogFiles::open({log.path()}, nullptr), "id", {});
    ASSERT_TRUE(explanation);
    const std::string text = explanation->text();
    constexpr auto screenLines = 50;
    EXPECT_LT(std::count(text.begin(), text.end(), '\n'), screenLines);
    EXPECT_THAT(text, HasSubstr("further lines around it"));
    EXPECT_THAT(text, HasSubstr("request-refused status 503 outcome load_failed"));
    EXPECT_THAT(text, HasSubstr("arrived 2023-11-14 22:13:30.000 UTC"));
    EXPECT_THAT(text, Not(HasSubstr("skipped")));
}
