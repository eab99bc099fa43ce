// Tests the clients of the platform's interfaces against the stand-in platform over HTTP.

#include "../shared/awaiting.h"

#include <net/httpclient.h>
#include <net/reactor.h>
#include <standins/standinplatform.h>
#include <storage/httpinstancelist.h>
#include <storage/httpobjectstore.h>
#include <storage/httptableservice.h>

#include <gtest/gtest.h>

using namespace Storage;

namespace {

class PlatformContract : public testing::Test
{
protected:
    void SetUp() override
    {
        reactor = std::move(*Net::Reactor::create());
        standIn = std::move(*StandIns::StandInPlatform::create(*reactor, {}));
        address = "127.0.0.1:" + std::to_string(standIn->port());
        http = std::make_unique<Net::HttpClient>(*reactor);
        table = std::make_unique<HttpTableService>(*http, address, std::chrono::milliseconds(500));
    }

    void TearDown() override
    {
        http.reset();
        standIn.reset();
    }

    template <typename Result>
    auto await(const std::function<void(std::function<void(const Result &)>)> &call) -> Result
    {
        return awaitResult<Result>(*reactor, call);
    }

    auto commit(const TableTransaction &transaction) -> Utils::Result<void, TableError>
    {
        return await<Utils::Result<void, TableError>>(
            [&](auto done) { table->commit(transaction, done); });
    }

    auto read(const std::string &key) -> Utils::Result<TableRow, TableError>
    {
        return await<Utils::Result<TableRow, TableError>>(
            [&](auto done) { table->read(key, done); });
    }

    auto injectFault(const std::string &order) -> void
    {
        Net::HttpCall call;
        call.method = "POST";
        call.url = "http://" + address + "/faults";
        call.body = order;
        await<Net::HttpOutcome>([&](auto done) { http->start(call, done); });
    }

    std::unique_ptr<Net::Reactor> reactor;
    std::unique_ptr<StandIns::StandInPlatform> standIn;
    std::unique_ptr<Net::HttpClient> http;
    std::unique_ptr<HttpTableService> table;
    std::string address;
};

} // namespace

TEST_F(PlatformContract, ATransactionTakesEffectAsAWholeOrNotAtAll)
{
    ASSERT_TRUE(commit({{{"a", 0}}, {{"a", 1}, {"b", 2}}}));
    EXPECT_EQ(read("a")->version, 1U);
    const auto conflict = commit({{{"a", 0}}, {{"c", 3}}});
    ASSERT_FALSE(conflict);
    EXPECT_EQ(conflict.error(), TableError::Conflict);
    EXPECT_EQ(read("c")->version, 0U);
    ASSERT_TRUE(commit({{{"a", 1}}, {{"a", 5}, {"b", std::nullopt}}}));
    EXPECT_EQ(read("a")->version, 2U);
    EXPECT_EQ(read("a")->value, 5);
    EXPECT_EQ(read("b")->version, 0U);
}

TEST_F(PlatformContract, AScanGivesARangeInOrder)
{
    ASSERT_TRUE(commit({{}, {{"k1", 1}, {"k3", 3}, {"k2", 2}, {"x", 9}}}));
    const auto rows = await<Utils::Result<std::vector<TableRow>, TableError>>(
        [&](auto done) { table->scan("k", "k~", 2, done); });
    ASSERT_EQ(rows->size(), 2U);
    EXPECT_EQ((*rows)[0].key, "k1");
    EXPECT_EQ((*rows)[1].key, "k2");
}

TEST_F(PlatformContract, FaultsAreReportedAsUnavailable)
{
    struct Case
    {
        std::string order;
        bool takesEffect;
    };
    const std::vector<Case> cases = {{R"({"part":"table","down":true})", false},
                                     {R"({"part":"table","loseAnswers":true})", true}};
    int number = 0;
    for (const auto &entry : cases) {
        const std::string key = "row" + std::to_string(number++);
        injectFault(entry.order);
        const auto result = commit({{{key, 0}}, {{key, 1}}});
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error(), TableError::Unavailable);
        injectFault(R"({"part":"table"})");
        EXPECT_EQ(read(key)->version, entry.takesEffect ? 1U : 0U) << entry.order;
    }
}

TEST_F(PlatformContract, ObjectsAndInstancesAreRead)
{
    HttpObjectStore objects(*http, address);
    using Read = Utils::Result<std::string, ObjectError>;
    const auto missing = await<Read>([&](auto done) { objects.read("x", done); });
    ASSERT_FALSE(missing);
    EXPECT_EQ(missing.error(), ObjectError::NotFound);
    const auto written = await<Utils::Result<void, ObjectError>>(
        [&](auto done) { objects.write("x", "content", done); });
    EXPECT_TRUE(written);
    EXPECT_EQ(*await<Read>([&](auto done) { objects.read("x", done); }), "content");
    HttpInstanceList list(*http, address);
    const auto statuses =
        await<Utils::Result<InstanceStatuses, std::string>>([&](auto done) { list.read(done); });
    EXPECT_TRUE(statuses && statuses->empty());
}
