// Tests the selection among servers of which some are evacuated or cold.

#include <gateway/backendregistry.h>
#include <gateway/wireformat.h>

#include <gtest/gtest.h>

using namespace Gateway;
using namespace std::chrono_literals;
using Utils::TimePoint;

namespace {

const TimePoint start = TimePoint() + 1h;

auto makeServer(const std::string &id, const std::string &domain) -> BackendServer
{
    BackendServer server;
    server.id = id;
    server.service = "lm";
    server.failureDomain = domain;
    server.startedAtMs = 1;
    server.slots = 8;
    server.models = {{"m1", {}}};
    return server;
}

auto requirements() -> BackendRequirements
{
    return {"lm", "m1", {}, {}, {}};
}

auto setCold(BackendRegistry &registry) -> void
{
    registry.coldStarts().setTolerance({1.5, 5});
    registry.coldStarts().setService("lm", {3000ms, 16});
    registry.coldStarts().setGatewayNames("g1", {}, 1, start);
}

} // namespace

TEST(EvacuatedServers, GetNoRequestsAndDoNotCountAsHolders)
{
    BackendRegistry registry("a");
    registry.update(makeServer("s1", "a"), start);
    EXPECT_TRUE(registry.setEvacuated("a", true, start));
    EXPECT_FALSE(registry.setEvacuated("a", true, start));
    EXPECT_FALSE(registry.choose(requirements(), start));
    EXPECT_FALSE(registry.isHeld(requirements())) << "its model must be loaded elsewhere";
    EXPECT_FALSE(registry.hasService("lm"));
    EXPECT_FALSE(registry.find("s1")->isUsable());
    registry.update(makeServer("s2", "b"), start);
    EXPECT_EQ(registry.choose(requirements(), start), "s2");
}

// Guards against: servers that are listed, listed anew or restarted during the evacuation.
TEST(EvacuatedServers, StayEvacuatedWhateverTheirEntriesSay)
{
    BackendRegistry registry("b");
    EXPECT_TRUE(registry.setEvacuated("a", true, start));
    auto server = makeServer("s1", "a");
    registry.update(server, start);
    EXPECT_FALSE(registry.choose(requirements(), start));
    registry.update(server, start);
    server.startedAtMs = 2;
    registry.update(server, start);
    EXPECT_FALSE(registry.choose(requirements(), start + 1s));
    EXPECT_TRUE(registry.setEvacuated("a", false, start));
    EXPECT_EQ(registry.choose(requirements(), start + 1s), "s1");
}

TEST(ColdServers, AreChosenAfterWarmOnesAndWithinTheRate)
{
    BackendRegistry registry("a");
    setCold(registry);
    auto cold = makeServer("s1", "a");
    cold.coldFor = 3000ms;
    registry.update(cold, start);
    EXPECT_EQ(registry.choose(requirements(), start), "s1");
    registry.coldStarts().take("s1", start);
    EXPECT_FALSE(registry.choose(requirements(), start + 10ms));
    EXPECT_EQ(registry.choose(requirements(), start + 100ms), "s1");
    EXPECT_TRUE(registry.hasPossibleServer(requirements())) << "requests may wait for it";
    registry.update(makeServer("s2", "b"), start);
    registry.noteSent("s2");
    EXPECT_EQ(registry.choose(requirements(), start + 100ms), "s2") << "a cold server is slow";
    EXPECT_EQ(registry.choose(requirements(), start + 3s), "s1");
}
