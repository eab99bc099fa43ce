// An engine stops inside the head of its answer, or right after it. Each test cuts the head after
// every byte and checks that no caller takes what arrived for a whole answer.

#include "gatewayfixture.h"
#include "rawengine.h"

#include <algorithm>
#include <map>
#include <ostream>

namespace {

/// A kind of route, and whether another engine may be asked after a failure.
struct RouteCase
{
    std::string name;
    std::string target;
    bool isStream = false;
    bool mayRepeat = false;
    bool isContinuation = false; ///< The head that is cut continues a stream that has begun.
};

auto PrintTo(const RouteCase &one, std::ostream *out) -> void
{
    *out << one.name;
}

/// Where and how an answer's head ends.
struct Cut
{
    std::string head;
    std::string framing;
    size_t length = 0;
    bool isReset = false;
    bool isOnKeptConnection = false;
};

const std::string m1 = "Model: m1\r\nToken-Count: 10,10\r\n";
const std::string withLength = "Content-Length: 42\r\n";
const std::string inChunks = "Transfer-Encoding: chunked\r\n";
const std::string untilTheEnd;

auto headOf(const std::string &attemptId, bool isStream, const std::string &framing) -> std::string
{
    return "HTTP/1.1 200 OK\r\nServer-Stamp: s1\r\nAttempt-Id: " + attemptId + "\r\n"
        + (isStream ? "Content-Type: text/event-stream\r\n" : "") + framing + "\r\n";
}

auto event(int id) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: token\n\n";
}

auto wholeBody(bool isStream) -> std::string
{
    return isStream ? event(1) + event(2) : "answer";
}

auto wholeAnswer(const std::string &attemptId, bool isStream) -> std::string
{
    const std::string body = wholeBody(isStream);
    return headOf(attemptId, isStream, "Content-Length: " + std::to_string(body.size()) + "\r\n")
        + body;
}

class CutHeads : public Gateways, public testing::WithParamInterface<RouteCase>
{
protected:
    auto SetUp() -> void override
    {
        Gateways::SetUp();
        constexpr double plenty = 1e6;
        retrySlack = plenty;
        raw = std::make_unique<RawEngine>(
            *loop, [this](const RawEngine::Arrival &arrival) { handle(arrival); });
        // A stream only begins at a server that has shown after a lost connection that it did not
        // start again.
        raw->onOwnCall = [this](const RawEngine::Arrival &arrival) {
            constexpr std::string_view report =
                R"({"models":[{"name":"m1"}],"busy":false,"sequence":0,"born":1})";
            if (arrival.target == "/-/report")
                raw->write(arrival.connection,
                           "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(report.size())
                               + "\r\n\r\n" + std::string(report));
        };
        for (const char *id : {"i-1", "i-2"}) {
            EmulatedEngine &engine = addEngine(id, GetParam().isStream ? "lm" : "app",
                                               GetParam().isStream ? std::set<std::string>{"m1"}
                                                                   : std::set<std::string>{});
            engine.advertisedAddress = raw->address();
            engine.announce();
        }
        startReadyGateway();
    }

    auto request(const std::string &attemptId) -> std::string
    {
        return makeRequest(GetParam().target, attemptId, GetParam().isStream ? m1 : "");
    }

    /// Answers the requests without a cut. Those with one get their first answers together, as a
    /// failure closes the idle connections that the others are to be sent on.
    auto handle(const RawEngine::Arrival &arrival) -> void
    {
        const bool wasUsed = !usedConnections.insert(arrival.connection).second;
        const auto cut = cuts.find(arrival.attemptId);
        const int number = ++arrivals[arrival.attemptId];
        const int cutNumber = GetParam().isContinuation ? 2 : 1;
        if (cut == cuts.end() || number > cutNumber)
            return raw->write(arrival.connection,
                              wholeAnswer(arrival.attemptId, GetParam().isStream));
        if (number < cutNumber) {
            raw->write(arrival.connection, headOf(arrival.attemptId, true, untilTheEnd) + event(1));
            return raw->reset(arrival.connection);
        }
        keptArrivals += wasUsed ? 1 : 0;
        held.push_back(arrival);
        if (held.size() < cuts.size())
            return;
        for (const auto &one : held)
            answerCut(one, cuts.at(one.attemptId));
        held.clear();
    }

    auto answerCut(const RawEngine::Arrival &arrival, const Cut &cut) -> void
    {
        raw->write(arrival.connection, cut.head.substr(0, cut.length));
        if (cut.isReset)
            raw->reset(arrival.connection);
        else
            raw->finish(arrival.connection);
    }

    /// Sends one request for each cut, at the same time, and checks the answers.
    auto play(const std::map<std::string, Cut> &batch) -> void
    {
        cuts.clear();
        usedConnections.clear();
        const bool isKept = batch.begin()->second.isOnKeptConnection;
        if (isKept) {
            // A continuation goes to the other engine.
            std::vector<std::string> ids;
            for (const auto &[id, cut] : batch) {
                ids.push_back(id + "w");
                if (GetParam().isContinuation)
                    ids.push_back(id + "v");
            }
            for (const auto &[id, answer] : sendAll(ids))
                ASSERT_EQ(answer->status, 200);
        }
        cuts = batch;
        std::vector<std::string> ids;
        ids.reserve(batch.size());
        for (const auto &[id, cut] : batch)
            ids.push_back(id);
        const auto answers = sendAll(ids);
        for (const auto &[id, cut] : batch)
            check(*answers.at(id), cut);
    }

    auto sendAll(const std::vector<std::string> &ids)
        -> std::map<std::string, std::shared_ptr<CallerAnswer>>
    {
        std::map<std::string, std::shared_ptr<CallerAnswer>> answers;
        for (const std::string &id : ids) {
            answers[id] = std::make_shared<CallerAnswer>();
            sendOnNewConnection(*answers[id], address, request(id));
        }
        runUntil([&] {
            return std::all_of(answers.begin(), answers.end(),
                               [](const auto &one) { return one.second->end.has_value(); });
        });
        return answers;
    }

    static auto check(const CallerAnswer &answer, const Cut &cut) -> void
    {
        SCOPED_TRACE("after " + std::to_string(cut.length) + " of "
                     + std::to_string(cut.head.size()) + " bytes, "
                     + (cut.framing.empty() ? "without a length" : cut.framing)
                     + (cut.isReset ? ", reset" : ", closed")
                     + (cut.isOnKeptConnection ? ", kept connection" : ", new connection"));
        ASSERT_TRUE(answer.end.has_value());
        if (GetParam().isContinuation) {
            EXPECT_FALSE(answer.isWhole());
            EXPECT_EQ(answer.body, event(1));
        } else if (GetParam().mayRepeat) {
            EXPECT_TRUE(answer.isWhole());
            EXPECT_EQ(answer.status, 200);
            EXPECT_EQ(answer.body, wholeBody(GetParam().isStream));
        } else {
            EXPECT_TRUE(answer.isWhole());
            EXPECT_EQ(answer.status, 502);
        }
    }

    std::unique_ptr<RawEngine> raw;
    std::map<std::string, Cut> cuts; ///< By attempt.
    std::map<std::string, int> arrivals; ///< By attempt.
    std::vector<RawEngine::Arrival> held;
    std::set<size_t> usedConnections;
    int keptArrivals = 0;
};

class WholeAnswers : public Gateways
{
protected:
    /// Returns the caller's answer if the engine answers with `bytes` and then closes.
    auto answerTo(const std::string &target, const std::string &bytes)
        -> std::shared_ptr<CallerAnswer>
    {
        const bool isStream = target == "/draft/x";
        RawEngine raw(*loop, [&](const RawEngine::Arrival &arrival) {
            raw.write(arrival.connection, bytes);
            raw.finish(arrival.connection);
        });
        EmulatedEngine &engine =
            addEngine("i-1", isStream ? "lm" : "app",
                      isStream ? std::set<std::string>{"m1"} : std::set<std::string>{});
        engine.advertisedAddress = raw.address();
        engine.announce();
        startReadyGateway();
        return sendRequest(makeRequest(target, "a1", isStream ? m1 : ""));
    }
};

} // namespace

// Guards against a 200 with an empty body, framed as whole, after an engine has stopped inside its
// answer's head or right after it (issue 35, MIXED and ORDER).
TEST_P(CutHeads, NeverLookLikeWholeAnswers)
{
    constexpr size_t atOnce = 8;
    int number = 0;
    for (const std::string &framing : {withLength, inChunks, untilTheEnd}) {
        for (const bool isReset : {false, true}) {
            for (const bool isKept : {false, true}) {
                // The end of one stream's first part closes the connections kept for the others.
                const size_t perBatch = GetParam().isContinuation && isKept ? 1 : atOnce;
                const size_t size = headOf("a1000", GetParam().isStream, framing).size();
                std::map<std::string, Cut> batch;
                for (size_t length = 0; length <= size; ++length) {
                    const std::string id = "a" + std::to_string(1000 + number++);
                    batch[id] = {headOf(id, GetParam().isStream, framing), framing, length, isReset,
                                 isKept};
                    if (batch.size() < perBatch && length < size)
                        continue;
                    ASSERT_NO_FATAL_FAILURE(play(batch));
                    batch.clear();
                }
            }
        }
    }
    EXPECT_GT(keptArrivals, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Gateways, CutHeads,
    testing::Values(RouteCase{"Safe", "/look/x", false, true, false},
                    RouteCase{"Unsafe", "/file/x", false, false, false},
                    RouteCase{"Stream", "/draft/x", true, false, false},
                    RouteCase{"ResumableStream", "/batch/x", true, true, false},
                    RouteCase{"ContinuedStream", "/batch/x", true, false, true}),
    [](const auto &one) { return one.param.name; });

// A length or a last chunk shows that an empty answer is whole, and the rules let an answer with a
// body end with its connection.
TEST_F(WholeAnswers, EmptyAnswerWithALength)
{
    const auto answer = answerTo("/file/x", headOf("a1", false, "Content-Length: 0\r\n"));
    EXPECT_TRUE(answer->isWhole());
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "");
}

TEST_F(WholeAnswers, EmptyStreamWithALastChunk)
{
    const auto answer = answerTo("/draft/x", headOf("a1", true, inChunks) + "0\r\n\r\n");
    EXPECT_TRUE(answer->isWhole());
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "");
}

TEST_F(WholeAnswers, AnswerThatEndsWithItsConnection)
{
    const auto answer = answerTo("/file/x", headOf("a1", false, untilTheEnd) + "answer");
    EXPECT_TRUE(answer->isWhole());
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "answer");
}

// Guards against a stream that ends as complete without any event: signs of life show no more than
// an empty body does (issue 35, ORDER).
TEST_F(WholeAnswers, CommentsAloneAreNoWholeStream)
{
    const auto answer = answerTo("/draft/x", headOf("a1", true, untilTheEnd) + ": alive\n\n");
    EXPECT_FALSE(answer->isWhole());
    EXPECT_EQ(answer->body, ": alive\n\n");
}
