#pragma once

#include "calleranswer.h"

#include <gateway/dutymessages.h>
#include <gateway/gatewayserver.h>
#include <gateway/gatewaysettings.h>
#include <gateway/peerlink.h>
#include <http1/clientconnection.h>
#include <net/reactor.h>
#include <platform/emulator/emulatedengine.h>
#include <platform/emulator/emulatedstore.h>
#include <platform/platformwireformat.h>
#include <platform/rowstoreclient.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

using namespace std::chrono_literals;
using Emulator::EmulatedEngine;
using Emulator::EmulatedStore;
using nlohmann::json;

/// A gateway between callers, emulated backend servers and an emulated store, on loopback.
class Gateways : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        loop = std::move(*Net::Reactor::create());
        store = std::make_unique<EmulatedStore>(*loop);
        putConfiguration(1);
    }

    auto putConfiguration(int version, const json &changes = json::object()) -> void
    {
        const auto route = [](const std::string &prefix, const std::string &kind,
                              const std::string &service, bool resumable, int attempts) {
            return json{{"name", "r" + prefix},   {"host", "h.example"}, {"prefix", prefix},
                        {"routeType", kind},      {"timeoutMs", 1500},   {"targetLatencyMs", 100},
                        {"priority", 0},          {"service", service},  {"maxAttempts", attempts},
                        {"resumable", resumable}, {"gapAimMs", 250}};
        };
        json models = json::array();
        for (const char *name : {"m1", "m2", "m3"})
            models.push_back({{"name", name},
                              {"weightsMb", 60000.0},
                              {"loadS", 0.05},
                              {"adapters", 3},
                              {"adapterMb", 10.0},
                              {"warmS", 0.03},
                              {"diskS", 0.03}});
        json configuration = {
            {"version", version},
            {"routes",
             {route("/look/", "safe", "app", false, 2), route("/file/", "unsafe", "app", false, 2),
              route("/draft/", "streaming", "lm", false, 1),
              route("/batch/", "streaming", "lm", true, 2)}},
            {"services",
             {{{"name", "app"}},
              {{"name", "lm"},
               {"engine",
                {{"slots", 8},
                 {"weightsMb", 130000.0},
                 {"adapterSlots", 2},
                 {"loadsPerS", 10.0},
                 {"models", models}}}}}},
            {"limits",
             {{"maxHeaderBytes", 4096},
              {"maxBodyBytes", 100000},
              {"headerTimeoutMs", 1000},
              {"idleTimeoutMs", 5000}}},
            {"tenants",
             {{{"name", "county"},
               {"apiKeys", {"key1", "key2"}},
               {"unit", "token_stream"},
               {"plainTokens", 10},
               {"ratePerS", 100000},
               {"burst", 100000}}}}};
        configuration.update(changes);
        store->put("op", "config", configuration.dump());
    }

    auto startGateway(const std::string &name = "g1") -> void
    {
        rows =
            std::make_unique<Platform::RowStoreClient>(*loop, storeLink.value_or(store->address()));
        auto created = createGateway(name);
        // Tests that run at the same time may take a free port before the gateway does.
        constexpr int maxRepeats = 4;
        for (int i = 0; i < maxRepeats && !created
             && created.error().find("Address already in use") != std::string::npos;
             ++i)
            created = createGateway(name);
        ASSERT_TRUE(created) << created.error();
        gateway = std::move(*created);
    }

    auto createGateway(const std::string &name)
        -> Utils::Result<std::unique_ptr<Gateway::GatewayServer>, std::string>
    {
        Gateway::GatewaySettings settings;
        settings.name = name;
        settings.failureDomain = "a";
        settings.callerAddress = *Http1::SocketAddress::parse("127.0.0.1:" + freePort());
        settings.readinessAddress = *Http1::SocketAddress::parse("127.0.0.1:" + freePort());
        settings.peerAddress =
            peerAddress.value_or(*Http1::SocketAddress::parse("127.0.0.1:" + freePort()));
        settings.metricsAddress = *Http1::SocketAddress::parse("127.0.0.1:" + freePort());
        settings.storeAddress = storeLink.value_or(store->address());
        settings.isFirstStart = isFirstStart;
        settings.stopTime = stopTime;
        settings.retryRatio = 0.2;
        settings.retrySlack = retrySlack;
        settings.coldStartTolerance = {1.5, 5};
        address = settings.callerAddress;
        readiness = settings.readinessAddress;
        peers = settings.peerAddress;
        metrics = *settings.metricsAddress;
        return Gateway::GatewayServer::create(*loop, settings, *rows, wire);
    }

    auto startReadyGateway(const std::string &name = "g1") -> void
    {
        startGateway(name);
        ASSERT_TRUE(runUntil([this] { return readinessStatus() == 200; }));
    }

    static auto freePort() -> std::string
    {
        auto probeLoop = std::move(*Net::Reactor::create());
        Emulator::LoopbackServer probe(*probeLoop, nullptr, nullptr);
        probe.open();
        return std::to_string(probe.address().port());
    }

    auto readinessStatus() -> int
    {
        auto answer = std::make_shared<CallerAnswer>();
        sendOnNewConnection(*answer, readiness, "GET /-/readiness HTTP/1.1\r\n\r\n");
        runUntil([&] { return answer->end.has_value(); });
        return answer->status;
    }

    auto sendOnNewConnection(CallerAnswer &answer, const Http1::SocketAddress &to,
                             const std::string &bytes) -> void
    {
        answer.connection = std::move(*Http1::ClientConnection::connect(*loop, to));
        call(answer, bytes);
    }

    /// Sends a request on the connection that `answer` holds.
    static auto call(CallerAnswer &answer, const std::string &bytes) -> void
    {
        answer.connection->call(bytes,
                                {[&answer](const Http1::ResponseHead &head, Http1::Framing) {
                                     answer.status = head.status;
                                     answer.fields = head.fields;
                                     return true;
                                 },
                                 [&answer](std::string_view data) { answer.body += data; },
                                 [&answer](Http1::CallEnd how) { answer.end = how; }});
    }

    auto makeRequest(const std::string &target, const std::string &id,
                     const std::string &extra = {}, const std::string &key = "key1") -> std::string
    {
        return "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
            + "\r\nAuthorization: Bearer " + key + "\r\nDeadline-Ms: 1400\r\n" + extra
            + "Content-Length: 4\r\n\r\nbody";
    }

    auto sendRequest(const std::string &bytes) -> std::shared_ptr<CallerAnswer>
    {
        auto answer = std::make_shared<CallerAnswer>();
        sendOnNewConnection(*answer, address, bytes);
        runUntil([&] { return answer->end.has_value(); });
        return answer;
    }

    auto runUntil(const std::function<bool()> &until, std::chrono::milliseconds timeout = 4s)
        -> bool
    {
        const auto limit = loop->now() + timeout;
        while (!until() && loop->now() < limit) {
            loop->restart();
            loop->callAfter(1ms, [this] { loop->stop(); });
            loop->run();
        }
        return until();
    }

    auto addEngine(const std::string &id, const std::string &service,
                   std::set<std::string> models = {}) -> EmulatedEngine &
    {
        engines.push_back(
            std::make_unique<EmulatedEngine>(*loop, *store, id, service, std::move(models)));
        return *engines.back();
    }

    static auto events(const std::string &body) -> std::vector<int>
    {
        std::vector<int> ids;
        for (size_t at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1))
            ids.push_back(std::stoi(body.substr(at + 4)));
        return ids;
    }

    const std::vector<int> allEvents = {1, 2, 3, 4, 5};
    bool isFirstStart = true;
    std::chrono::milliseconds stopTime{8000};
    double retrySlack = 50; ///< Retries in one window, over all gateways.
    std::unique_ptr<Net::Reactor> loop;
    std::unique_ptr<EmulatedStore> store;
    std::vector<std::unique_ptr<EmulatedEngine>> engines;
    Platform::PlatformWireFormat wire;
    std::unique_ptr<Platform::RowStoreClient> rows;
    std::unique_ptr<Gateway::GatewayServer> gateway;
    std::optional<Http1::SocketAddress> peerAddress; ///< Of the next gateway; a free one if unset.
    std::optional<Http1::SocketAddress> storeLink; ///< How the next gateway reaches the store.
    Http1::SocketAddress address;
    Http1::SocketAddress readiness;
    Http1::SocketAddress peers; ///< Where the gateway receives datagrams of other gateways.
    Http1::SocketAddress metrics;
};
