// Tests the detection of requests that crash their servers and are repeated at other gateways.

#include <gateway/crashtracker.h>
#include <routing/crashsuspects.h>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

using namespace std::chrono_literals;
using Gateway::CrashTracker;
using Routing::Suspicion;

namespace {

/// Gateways that receive each other's messages immediately.
struct Fleet
{
    struct Member
    {
        Routing::CrashSuspects suspects;
        std::unique_ptr<CrashTracker> tracker;
    };

    explicit Fleet(int size)
    {
        for (int i = 0; i < size; ++i) {
            members.push_back(std::make_unique<Member>());
            Member *own = members.back().get();
            own->tracker =
                std::make_unique<CrashTracker>(own->suspects, [this, own](const auto &message) {
                    for (const auto &other : members) {
                        if (other.get() != own) {
                            EXPECT_TRUE(other->tracker->handleMessage(message, now));
                        }
                    }
                });
        }
    }

    auto crash(int gateway, const std::string &server, std::int64_t startedAt) -> void
    {
        members[gateway]->tracker->noteConnectionLost(server, startedAt, "f", now);
        now += 3600ms;
        members[gateway]->tracker->noteServerGone(server, now);
    }

    auto suspicion(int gateway) -> Suspicion
    {
        return members[gateway]->suspects.suspicionOf("f", now);
    }

    Utils::TimePoint now{1h};
    std::vector<std::unique_ptr<Member>> members;
};

} // namespace

TEST(CrashTracker, TwoCrashesSeenByTwoGatewaysAreKnownToAThird)
{
    Fleet fleet(3);
    fleet.crash(0, "e1", 1);
    EXPECT_EQ(fleet.suspicion(2), Suspicion::RunAlone);
    fleet.crash(1, "e2", 1);
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(fleet.suspicion(i), Suspicion::Refused) << i;
}

TEST(CrashTracker, OneCrashCountsOnceHoweverManyGatewaysSawIt)
{
    Fleet fleet(2);
    fleet.members[0]->tracker->noteConnectionLost("e1", 1, "f", fleet.now);
    fleet.members[0]->tracker->noteConnectionLost("e1", 1, "f", fleet.now + 1s);
    fleet.members[1]->tracker->noteConnectionLost("e1", 1, "f", fleet.now);
    fleet.now += 3600ms;
    fleet.members[0]->tracker->noteServerGone("e1", fleet.now);
    fleet.members[1]->tracker->noteServerGone("e1", fleet.now);
    EXPECT_EQ(fleet.suspicion(0), Suspicion::RunAlone);
    EXPECT_EQ(fleet.suspicion(1), Suspicion::RunAlone);
}

TEST(CrashTracker, ServerThatRestartsUnderItsIdCrashesTwice)
{
    Fleet fleet(1);
    fleet.crash(0, "e1", 1);
    fleet.crash(0, "e1", 2);
    EXPECT_EQ(fleet.suspicion(0), Suspicion::Refused);
}

TEST(CrashTracker, ServerThatEndsMuchLaterWasNotCrashedByTheRequest)
{
    Fleet fleet(1);
    fleet.members[0]->tracker->noteConnectionLost("e1", 1, "f", fleet.now);
    fleet.now += 20s;
    fleet.members[0]->tracker->noteServerGone("e1", fleet.now);
    EXPECT_EQ(fleet.suspicion(0), Suspicion::None);
}

TEST(CrashTracker, IgnoresMessagesOfOtherKinds)
{
    Fleet fleet(1);
    EXPECT_FALSE(fleet.members[0]->tracker->handleMessage({{"kind", "want"}}, fleet.now));
    EXPECT_TRUE(
        fleet.members[0]->tracker->handleMessage({{"kind", "strike"}, {"crash", 7}}, fleet.now));
}
