// Load pattern: prompts and answers longer than the mean, so that a server's memory is full long
// before its slots are.

#include <routing/routingconstants.h>
#include <routing/serverselector.h>
#include <routing/tokenledger.h>

#include <gtest/gtest.h>

#include <deque>
#include <random>

using namespace Routing;
using namespace std::chrono_literals;
using Utils::TimePoint;

namespace {

const TimePoint start = TimePoint() + 1h;
constexpr double capacity = 117966;
constexpr int slots = 32;

auto makeRequest(double prompt, double maxAnswer, std::optional<double> hint = {}) -> RequestProfile
{
    RequestProfile request;
    request.service = "chat";
    request.promptTokens = prompt;
    request.maxAnswerTokens = maxAnswer;
    request.lengthHint = hint;
    return request;
}

} // namespace

TEST(TokenLedger, UnknownCapacityIsUnlimited)
{
    TokenLedger ledger;
    ledger.add(1e9);
    EXPECT_TRUE(ledger.fits(1e9, 1000, 0, start));
}

// Guards against a request that no server would ever get.
TEST(TokenLedger, IdleServerTakesAnyRequest)
{
    TokenLedger ledger;
    EXPECT_TRUE(ledger.fits(2 * capacity, 1000, capacity, start));
    ledger.add(1);
    EXPECT_FALSE(ledger.fits(2 * capacity, 1000, capacity, start));
    ledger.remove(1);
    EXPECT_TRUE(ledger.fits(2 * capacity, 1000, capacity, start));
}

// Guards against gateways that fill a server together although each stays below its memory.
TEST(TokenLedger, RequestsOfOtherGatewaysCountWithTheMeanSize)
{
    TokenLedger ledger;
    ledger.noteOthers(20, start);
    EXPECT_TRUE(ledger.fits(5000, 4000, capacity, start));
    EXPECT_FALSE(ledger.fits(5000, 5100, capacity, start));
    EXPECT_TRUE(ledger.fits(5000, 5100, capacity, start + Constants::OtherRequestsLifetime));
}

// Guards against a server that holds more than its memory: 32 requests fit by their number, long
// ones don't. Answers are longer than their hints as often as shorter, and some far longer.
TEST(TokenLedger, LongRequestsNeverExceedTheMemory)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> prompt(1000, 12000);
        std::lognormal_distribution<double> length(std::log(600.0), 0.4);
        std::lognormal_distribution<double> error(0, 0.8);
        struct Held
        {
            RequestProfile request;
            RunningRequest run;
            int answer = 0;
        };
        ServerSelector selector(seed);
        ServerState server = selector.makeState();
        std::deque<Held> held;
        int sent = 0;
        for (int tick = 0; tick < 3000; ++tick) {
            const auto now = start + 100ms * tick;
            const double hint = length(random);
            const RequestProfile request = makeRequest(prompt(random), 4096, std::floor(hint));
            if (held.size() < slots && selector.weigh(&request, now).fits(server, capacity)) {
                Held item{request, {}, std::clamp(int(hint * error(random)), 8, 4096)};
                item.run.sentAt = now;
                selector.noteSent(item.request, item.run, server);
                held.push_back(std::move(item));
                ++sent;
            }
            double used = 0;
            for (auto item = held.begin(); item != held.end();) {
                selector.noteEvents(item->request, item->run, server,
                                    std::min(10, item->answer - item->run.events), now);
                used += item->request.promptTokens + item->run.events;
                if (item->run.events < item->answer) {
                    ++item;
                    continue;
                }
                selector.noteEnded(item->request, item->run, server, true);
                item = held.erase(item);
            }
            ASSERT_LE(used, capacity) << "seed " << seed << " tick " << tick;
        }
        EXPECT_GT(sent, 400) << "seed " << seed;
        for (const Held &item : held)
            server.tokens.remove(item.run.reservedTokens);
        EXPECT_NEAR(server.tokens.held(0, start), 0, 1) << "nothing stays reserved";
    }
}

// Guards against a memory that stays unused because each answer is expected to have its maximum
// length, or that overflows because requests without a hint count too little.
TEST(TokenLedger, AnswerCountsByItsHintOrElseItsMaximum)
{
    ServerSelector selector(1);
    const auto expected = [&](const RequestProfile &request) {
        RunningRequest run;
        run.sentAt = start;
        ServerState server = selector.makeState();
        selector.noteSent(request, run, server);
        return run.reservedTokens;
    };
    EXPECT_EQ(expected(makeRequest(1000, 4000)), 5000);
    EXPECT_EQ(expected(makeRequest(1000, 4000, 400)), 1000 + 400 * Constants::InitialHintRatio);
    EXPECT_EQ(expected(makeRequest(1000, 100, 400)), 1100);
}

// Guards against an answer that is far longer than its hint and still counts as short.
TEST(TokenLedger, ReservationGrowsWithAnOutgrownAnswer)
{
    ServerSelector selector(1);
    ServerState server = selector.makeState();
    const auto request = makeRequest(1000, 4000, 400);
    RunningRequest run;
    run.sentAt = start;
    selector.noteSent(request, run, server);
    selector.noteEvents(request, run, server, 400, start + 1s);
    EXPECT_EQ(server.tokens.held(0, start), 1000 + 400 * Constants::InitialHintRatio);
    selector.noteEvents(request, run, server, 400, start + 2s);
    EXPECT_EQ(server.tokens.held(0, start), 1000 + 800 * Constants::OutgrownAnswerFactor);
    selector.noteEvents(request, run, server, 3200, start + 3s);
    EXPECT_EQ(server.tokens.held(0, start), 5000) << "no more than the maximum";
    selector.noteEnded(request, run, server, true);
    EXPECT_EQ(server.tokens.held(0, start), 0);
}
