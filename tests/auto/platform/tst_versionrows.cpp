// What gateways keep in the store about the software versions of servers.

#include "storecopyfixture.h"

namespace {

const char *const versionsTable = "acaciahall-versions";

class VersionRows : public StoreBackFromACopy
{
protected:
    auto versions(const std::string &service) const -> json
    {
        const std::string row = store->value(versionsTable, service);
        return row.empty() ? json::array() : json::parse(row).at("versions");
    }
    auto putServer(const std::string &id, const std::string &version) -> void
    {
        store->put("servers", id,
                   json({{"service", "app"},
                         {"address", "127.0.0.1:" + freePort()},
                         {"zone", "a"},
                         {"version", version},
                         {"slots", 4},
                         {"state", "ready"},
                         {"coldRemainingMs", 0},
                         {"born", 1},
                         {"sequence", 1}})
                       .dump());
    }
};

} // namespace

// Guards against a stream that begins at a version which no gateway can learn of later (issue 35,
// ORDER): each listed version is in the store's row of its service.
TEST_F(VersionRows, NameAllVersionsOfListedServers)
{
    addEngine("i-1", "app");
    startReadyGateway();
    ASSERT_TRUE(runUntil([this] { return versions("app") == json::array({"v1"}); }));
    putServer("i-2", "v2");
    EXPECT_TRUE(runUntil([this] { return versions("app") == json::array({"v1", "v2"}); }, 3s));
}

// Guards against a row that is lost with a copy of the store for good (issue 35, ORDER).
TEST_F(VersionRows, AreWrittenAgainAfterACopy)
{
    addEngine("i-1", "app");
    startReadyGateway();
    ASSERT_TRUE(runUntil([this] { return versions("app") == json::array({"v1"}); }));
    wait(200ms);
    putServer("i-2", "v2");
    ASSERT_TRUE(runUntil([this] { return versions("app") == json::array({"v1", "v2"}); }, 3s));
    store->restoreCopy(3s);
    store->rewriteLost();
    EXPECT_TRUE(runUntil([this] { return versions("app") == json::array({"v1", "v2"}); }, 3s));
}
