// Tests the agent's backend server client and the weight store against the stand-ins over HTTP.

#include "../shared/awaiting.h"

#include <agent/httpbackendserver.h>
#include <net/httpclient.h>
#include <net/reactor.h>
#include <standins/standinengine.h>
#include <standins/weightstore.h>

#include <gtest/gtest.h>

using namespace Agent;

namespace {

constexpr std::uint64_t memory = 100;

class BackendContract : public testing::Test
{
protected:
    void SetUp() override
    {
        reactor = std::move(*Net::Reactor::create());
        StandIns::EngineOptions options;
        options.memoryBytes = memory;
        options.loadTime = std::chrono::milliseconds(5);
        engine = std::move(*StandIns::StandInEngine::create(*reactor, options));
        http = std::make_unique<Net::HttpClient>(*reactor);
        address = "127.0.0.1:" + std::to_string(engine->port());
        server = std::make_unique<HttpBackendServer>(*http, address);
    }

    void TearDown() override
    {
        http.reset();
        engine.reset();
    }

    template <typename Result>
    auto await(const std::function<void(std::function<void(const Result &)>)> &call) -> Result
    {
        return awaitResult<Result>(*reactor, call);
    }

    using OrderResult = Utils::Result<void, OrderError>;

    auto load(const ModelOrder &order, std::chrono::milliseconds timeout = std::chrono::seconds(5))
        -> OrderResult
    {
        return await<OrderResult>([&](auto done) { server->load(order, timeout, done); });
    }

    auto models() -> std::vector<Placement::ReportedModel>
    {
        using Status = Utils::Result<ServerStatus, std::string>;
        return await<Status>([&](auto done) { server->status(done); })->models;
    }

    auto injectFault(const std::string &order) -> void
    {
        Net::HttpCall call;
        call.method = "POST";
        call.url = "http://" + address + "/faults";
        call.body = order;
        await<Net::HttpOutcome>([&](auto done) { http->start(call, done); });
    }

    auto dispatch(HttpBackendServer &target, const std::string &model, std::string &body,
                  int &status) -> DispatchEnd
    {
        Protocol::RunRequest request;
        request.requestId = "r1";
        request.method = "POST";
        request.path = "/v1/completions";
        request.contentType = "application/json";
        request.body = R"({"model":")" + model + R"(","prompt":"p","max_tokens":2,"stream":true})";
        return await<DispatchEnd>([&](auto done) {
            target.dispatch(request, std::chrono::seconds(5),
                            {[&status](const auto &head) { status = head.status; },
                             [&body](const auto &bytes) { body += bytes; }, done});
        });
    }

    std::unique_ptr<Net::Reactor> reactor;
    std::unique_ptr<StandIns::StandInEngine> engine;
    std::unique_ptr<Net::HttpClient> http;
    std::unique_ptr<HttpBackendServer> server;
    std::string address;
};

} // namespace

TEST_F(BackendContract, LoadsReportsRunsAndUnloads)
{
    ASSERT_TRUE(load({"m", "", 60, 1}));
    ASSERT_EQ(models().size(), 1U);
    EXPECT_EQ(models()[0].bytes, 60U);
    std::string body;
    int status = 0;
    EXPECT_EQ(dispatch(*server, "m", body, status), DispatchEnd::Answered);
    EXPECT_EQ(status, 200);
    EXPECT_NE(body.find("[DONE]"), std::string::npos);
    EXPECT_TRUE(await<OrderResult>([&](auto done) {
        server->unload({"m", "", 0, 1}, std::chrono::seconds(5), done);
    }));
    EXPECT_TRUE(models().empty());
}

TEST_F(BackendContract, FailedOrdersAreRefusedOrLost)
{
    ASSERT_TRUE(load({"m", "", 60, 5}));
    EXPECT_EQ(load({"n", "", 30, 4}).error(), OrderError::Refused) << "an old fencing number";
    EXPECT_EQ(load({"n", "", 60, 5}).error(), OrderError::Lost)
        << "out of memory is a server error, so the outcome is uncertain";
    injectFault(R"({"part":"orders","down":true})");
    EXPECT_EQ(load({"o", "", 10, 6}, std::chrono::milliseconds(200)).error(), OrderError::Lost);
    injectFault(R"({"part":"orders","loseAnswers":true})");
    EXPECT_EQ(load({"p", "", 10, 6}, std::chrono::milliseconds(200)).error(), OrderError::Lost);
    EXPECT_EQ(models().size(), 2U) << "the lost order took effect";
}

TEST_F(BackendContract, ADispatchToAnUnreachableServerIsNotSent)
{
    HttpBackendServer unreachable(*http, "127.0.0.1:1");
    std::string body;
    int status = 0;
    EXPECT_EQ(dispatch(unreachable, "m", body, status), DispatchEnd::NotSent);
    EXPECT_EQ(dispatch(*server, "absent", body, status), DispatchEnd::Answered);
    EXPECT_EQ(status, 404);
}

TEST(WeightStore, StartsNoMoreThanItsRateAllows)
{
    auto reactor = std::move(*Net::Reactor::create());
    StandIns::WeightStore store(*reactor, 50, 4);
    int done = 0;
    const auto start = reactor->now();
    for (int i = 0; i < 6; ++i) {
        store.fetch(std::chrono::milliseconds(1), [&] {
            if (++done == 6)
                reactor->stop();
        });
    }
    reactor->run();
    EXPECT_GE(reactor->now() - start, std::chrono::milliseconds(100))
        << "the sixth starts five periods later";
    EXPECT_EQ(store.fetches(), 6);
}
