// What crashes are evidence against: requests for as long as they run, and parts that crash several
// servers at once.

#include "../shared/virtualscheduler.h"

#include <gateway/suspectexchange.h>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

using namespace std::chrono_literals;
using Gateway::SuspectExchange;
using Http1::SocketAddress;
using Routing::CrashFeature;

namespace {

auto features(const std::vector<std::string> &parts, const std::string &body)
    -> SuspectExchange::Features
{
    return Routing::withRun(Routing::crashFeaturesOf("customer", "/x", body, parts));
}

/// Gateways whose messages all arrive.
class Fleet
{
public:
    explicit Fleet(size_t size)
    {
        std::vector<SocketAddress> list;
        for (size_t i = 0; i < size; ++i)
            list.push_back(SocketAddress::create(static_cast<std::uint32_t>(i + 1), 1));
        for (size_t i = 0; i < size; ++i) {
            SuspectExchange::Transport transport;
            transport.peers = [list] { return list; };
            transport.send = [this, from = list[i]](const auto &to, const auto &message) {
                scheduler.callAfter(1ms, [this, from, to, message] {
                    m_members[to.ip() - 1]->handleMessage(message, from);
                });
            };
            m_members.push_back(
                std::make_unique<SuspectExchange>(scheduler, list[i], std::move(transport)));
        }
        scheduler.advance(2s);
    }

    auto at(size_t index) -> SuspectExchange & { return *m_members[index]; }
    auto isRefused(const SuspectExchange::Features &found) const -> bool
    {
        return std::all_of(m_members.begin(), m_members.end(), [&](const auto &member) {
            return member->findVerdict(found).has_value();
        });
    }
    /// Servers with a request with these features end within some milliseconds.
    auto crashServers(const std::string &group, int count, const SuspectExchange::Features &found)
        -> void
    {
        for (int i = 0; i < count; ++i) {
            at(static_cast<size_t>(i) % m_members.size())
                .noteCrash(group + std::to_string(i) + "@1", scheduler.now(), found);
            scheduler.advance(3ms);
        }
        scheduler.advance(1s);
    }

    VirtualScheduler scheduler;

private:
    std::vector<std::unique_ptr<SuspectExchange>> m_members;
};

} // namespace

// Guards against: a request that crashes its servers once its answer goes on counts as survived
// (review, case 2).
TEST(CrashRuns, RequestThatCrashesLateIsRefusedAfterThreeCrashes)
{
    Fleet fleet(4);
    const auto request = features({"a", "u"}, "same");
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(fleet.isRefused(request)) << i;
        fleet.at(0).noteSurvived(Routing::clearedBy(request, false));
        fleet.scheduler.advance(100ms);
        fleet.at(0).noteCrash("e" + std::to_string(i) + "@1", fleet.scheduler.now(),
                              Routing::suspectsOf(request, true));
        fleet.scheduler.advance(2s);
    }
    EXPECT_TRUE(fleet.isRefused(request));
    EXPECT_FALSE(fleet.isRefused(features({"a", "v"}, "other"))) << "its parts have survived";
}

// Guards against: a request that ran beside one that crashed its servers is refused.
TEST(CrashRuns, WholeAnswerClearsARequest)
{
    Fleet fleet(4);
    const auto request = features({"a", "u"}, "same");
    for (int i = 0; i < 6; ++i) {
        fleet.at(0).noteCrash("e" + std::to_string(i) + "@1", fleet.scheduler.now(),
                              Routing::suspectsOf(request, true));
        fleet.scheduler.advance(1s);
        if (i % 2 == 1)
            fleet.at(2).noteSurvived(Routing::clearedBy(request, true));
        fleet.scheduler.advance(1s);
    }
    EXPECT_FALSE(fleet.isRefused(request));
}

TEST(CrashRuns, LongRunIsEvidenceAgainstTheRunOnly)
{
    const auto all = features({"a", "b", "u"}, "same");
    EXPECT_EQ(all.size(), 4U);
    EXPECT_EQ(Routing::suspectsOf(all, false), all);
    const auto late = Routing::suspectsOf(all, true);
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late.front().kind, CrashFeature::Kind::Run);
    EXPECT_EQ(CrashFeature::fromString(late.front().toString()), late.front());
    EXPECT_EQ(Routing::clearedBy(all, false).size(), 3U);
    EXPECT_EQ(Routing::clearedBy(all, true), all);
}

// Guards against: a part that crashes several servers at once counts as one crash, so that three
// groups of requests reach servers (review, BUDGET).
TEST(CrashRuns, PartThatCrashesServersInGroupsIsRefusedAfterTheFirstGroups)
{
    Fleet fleet(4);
    const auto part = features({"bad", "u"}, "one");
    fleet.crashServers("a", 2, part);
    EXPECT_FALSE(fleet.isRefused(features({"bad", "v"}, "two")));
    fleet.crashServers("b", 2, part);
    EXPECT_TRUE(fleet.isRefused(features({"bad", "v"}, "two")));
}

// Guards against: a part that all requests share is refused when many servers end at once for
// another reason.
TEST(CrashRuns, PartThatRequestsHaveSurvivedIsNotRefusedForOneGroup)
{
    Fleet fleet(4);
    const auto shared = features({"first", "u"}, "one");
    fleet.at(3).noteSurvived(Routing::clearedBy(shared, true));
    fleet.scheduler.advance(60s);
    fleet.crashServers("a", 9, features({"first", "v"}, "two"));
    EXPECT_FALSE(fleet.isRefused(features({"first", "w"}, "three")));
}
