// Load pattern: groups of requests that share long leading parts of their prompts, with more
// different parts than can be remembered.

#include <routing/promptcacheindex.h>
#include <routing/routingconstants.h>
#include <routing/serverselector.h>

#include <gtest/gtest.h>

using namespace Routing;
using namespace std::chrono_literals;
using Utils::TimePoint;

namespace {

const TimePoint start = TimePoint() + 1h;

auto makeRequest(const std::string &model, const std::vector<std::string> &parts) -> RequestProfile
{
    RequestProfile request;
    request.service = "chat";
    request.model = model;
    for (const std::string &part : parts)
        request.addPart(part, 500);
    request.promptTokens = 500.0 * static_cast<double>(parts.size()) + 100;
    return request;
}

} // namespace

TEST(PromptCacheIndex, LongestCommonPrefixCounts)
{
    PromptCacheIndex index;
    index.note(makeRequest("m", {"a", "b", "c"}), 1, start);
    index.note(makeRequest("m", {"a", "x"}), 2, start);
    const auto holders = index.find(makeRequest("m", {"a", "b", "d"}), start);
    EXPECT_EQ(holders.tokensAt(1), 1000);
    EXPECT_EQ(holders.tokensAt(2), 500);
    EXPECT_EQ(holders.tokensAt(3), 0);
    EXPECT_EQ(index.find(makeRequest("m", {"b"}), start).tokensAt(1), 0) << "not a leading part";
}

// Guards against a gain that does not exist: caches belong to a model with its adapter.
TEST(PromptCacheIndex, OtherModelOrAdapterSharesNothing)
{
    PromptCacheIndex index;
    index.note(makeRequest("m/a1", {"a"}), 1, start);
    EXPECT_EQ(index.find(makeRequest("m/a1", {"a"}), start).tokensAt(1), 500);
    EXPECT_EQ(index.find(makeRequest("m/a2", {"a"}), start).tokensAt(1), 0);
    EXPECT_EQ(index.find(makeRequest("m", {"a"}), start).tokensAt(1), 0);
}

// Guards against memory that grows with the number of different prompts.
TEST(PromptCacheIndex, LeastRecentlyUsedEntryIsEvicted)
{
    PromptCacheIndex index;
    const auto kept = makeRequest("m", {"kept"});
    const auto unused = makeRequest("m", {"unused"});
    index.note(unused, 1, start);
    for (size_t i = 0; i < 3 * Constants::MaxPrefixEntries; ++i) {
        if (i % 100 == 0)
            index.note(kept, 2, start);
        index.note(makeRequest("m", {std::to_string(i)}), 1, start);
    }
    EXPECT_LE(index.size(), Constants::MaxPrefixEntries);
    EXPECT_EQ(index.find(kept, start).tokensAt(2), 500);
    EXPECT_EQ(index.find(unused, start).tokensAt(1), 0);
    EXPECT_EQ(index.find(kept, start + Constants::PrefixLifetime).tokensAt(2), 0);
}

// Guards against a list of parts that makes one request cost more than others.
TEST(PromptCacheIndex, NumberOfPartsIsLimited)
{
    const auto request = makeRequest("m", std::vector<std::string>(1000, "a"));
    EXPECT_EQ(request.prefixes.size(), Constants::MaxPrefixParts);
}

// Guards against shared prompts that are read at every server, and against one server that gets
// all requests with a busy prefix.
TEST(PromptCacheIndex, PrefixIsUsedAsFarAsTheLoadAllows)
{
    ServerSelector selector(1);
    std::vector<ServerState> servers;
    for (int i = 0; i < 4; ++i)
        servers.push_back(selector.makeState());
    auto now = start;
    // Reading 500 tokens takes 50 ms, another request at the server costs 20 ms.
    for (int i = 0; i < 400; ++i) {
        auto request = makeRequest("m", {"own " + std::to_string(i)});
        request.promptTokens = 200 + 100 * (i % 7);
        RunningRequest run;
        run.sentAt = now;
        run.load = i % 5;
        ServerState &server = servers[i % servers.size()];
        selector.noteSent(request, run, server);
        const std::chrono::milliseconds time(30 + 20 * int(run.load) + int(run.tokensToRead) / 10);
        selector.noteEvents(request, run, server, 1, now + time);
        selector.noteEnded(request, run, server, true);
        now += 10ms;
    }
    const auto shared = makeRequest("m", {"shared"});
    RunningRequest run;
    run.sentAt = now;
    selector.noteSent(shared, run, servers[1]);
    const auto weights = selector.weigh(&shared, now);
    EXPECT_LT(weights.score(servers[1], 2, false), weights.score(servers[0], 0, false));
    EXPECT_GT(weights.score(servers[1], 4, false), weights.score(servers[0], 0, false));
    const auto other = makeRequest("m", {"other"});
    EXPECT_EQ(selector.weigh(&other, now).score(servers[1], 2, false), 2);
    EXPECT_EQ(weights.score(selector.makeState(), 0, false), 0) << "a restart loses the cache";
}
