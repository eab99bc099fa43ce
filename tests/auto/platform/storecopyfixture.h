#pragma once

#include "gatewayfixture.h"

#include <standins/standinwire.h>

#include <algorithm>

/// Gateways before a store that comes back from a copy: what it has acknowledged since is gone, and
/// versions of rows are given out again.
class StoreBackFromACopy : public Gateways
{
protected:
    struct Member
    {
        std::unique_ptr<Platform::RowStoreClient> rows;
        std::unique_ptr<Gateway::GatewayServer> server;
        Http1::SocketAddress callers;
        std::string name;
        std::unique_ptr<StandIns::StandInWire> storeWire;
        Http1::SocketAddress peers;
    };

    struct SentOrder
    {
        std::string holder;
        std::uint64_t fence = 0;
        Utils::TimePoint at;
    };

    auto startGateways(int count) -> void
    {
        for (int i = 0; i < count; ++i)
            startMember("g" + std::to_string(members.size()));
    }

    auto startMember(const std::string &name) -> void
    {
        auto wire = std::move(
            *StandIns::StandInWire::create(*loop, "127.0.0.1:0", store->address().toString()));
        storeLink = *Http1::SocketAddress::parse("127.0.0.1:" + std::to_string(wire->port()));
        startReadyGateway(name);
        storeLink.reset();
        members.push_back(
            {std::move(rows), std::move(gateway), address, name, std::move(wire), peers});
    }

    /// Ends a gateway's process and starts it again on the same machine.
    auto restartMember(const std::string &name) -> void
    {
        peerAddress = member(name).peers;
        endMember(name);
        startMember(name);
        peerAddress.reset();
    }

    /// Puts a path between the gateways and the engine.
    auto insertPath(EmulatedEngine &engine) -> std::unique_ptr<StandIns::StandInWire>
    {
        auto path = std::move(
            *StandIns::StandInWire::create(*loop, "127.0.0.1:0", engine.address().toString()));
        engine.advertisedAddress =
            *Http1::SocketAddress::parse("127.0.0.1:" + std::to_string(path->port()));
        engine.announce();
        return path;
    }

    auto endMember(const std::string &name) -> void
    {
        std::erase_if(members, [&](const Member &member) { return member.name == name; });
    }

    auto member(const std::string &name) -> Member &
    {
        return *std::find_if(members.begin(), members.end(),
                             [&](const Member &one) { return one.name == name; });
    }

    /// Name of the gateway that sent the last order.
    auto lastHolder() const -> std::string
    {
        return orders.empty() ? std::string() : orders.back().holder;
    }

    /// Callers ask all gateways for changing adapters, so that the holder sends orders all the
    /// time.
    auto demandFor(std::chrono::milliseconds time) -> void
    {
        const auto until = loop->now() + time;
        for (int i = 0; loop->now() < until; ++i) {
            constexpr int adapters = 3;
            const std::string id = "d" + std::to_string(++requestCount);
            demand.push_back(std::make_shared<CallerAnswer>());
            sendOnNewConnection(*demand.back(),
                                members.at(static_cast<size_t>(i) % members.size()).callers,
                                makeRequest("/draft/x", id,
                                            "Model: m1/a" + std::to_string(1 + i / 8 % adapters)
                                                + "\r\nToken-Count: 10,10\r\n"));
            wait(25ms);
        }
    }

    /// Checks ONE over all orders to one engine.
    auto expectOneHolderAtATime() -> void
    {
        constexpr auto leaseTime = 3s;
        for (size_t i = 1; i < orders.size(); ++i) {
            const SentOrder &last = orders[i - 1];
            const SentOrder &next = orders[i];
            EXPECT_GE(next.fence, last.fence) << i;
            if (next.holder == last.holder)
                continue;
            EXPECT_GT(next.fence, last.fence) << i;
            EXPECT_GE(next.at - last.at, leaseTime) << last.holder << " and " << next.holder;
        }
    }

    auto watchOrders(EmulatedEngine &engine) -> void
    {
        engine.observer.onOrder = [this](const EmulatedEngine &, const auto &order) {
            orders.push_back({order.holder, order.fence, loop->now()});
        };
    }

    auto wait(std::chrono::milliseconds time) -> void
    {
        const auto from = loop->now();
        runUntil([&] { return loop->now() - from >= time; }, time + 1s);
    }

    /// Writes rows that gateways don't follow, so that the store's version rises.
    auto raiseVersion(int by) -> void
    {
        for (int i = 0; i < by; ++i)
            store->put("other", "row", std::to_string(i));
    }

    /// A configuration whose safe route has another prefix.
    auto putRoute(int version, const std::string &prefix) -> void
    {
        putConfiguration(version);
        json configuration = json::parse(store->value("op", "config"));
        configuration["routes"][0]["prefix"] = prefix;
        store->put("op", "config", configuration.dump());
    }

    /// Sends requests for the model until the holder of the lease has sent an order.
    auto requestModel(const std::string &model) -> void
    {
        const size_t before = orders.size();
        ASSERT_TRUE(runUntil(
            [&] {
                sendRequest(makeRequest(
                    "/draft/x",
                    model + "-" + std::to_string(loop->now().time_since_epoch().count()),
                    "Model: " + model + "\r\nToken-Count: 10,10\r\n"));
                return orders.size() > before;
            },
            12s));
    }

    auto statusOf(const std::string &target, const std::string &id) -> int
    {
        return sendRequest(makeRequest(target, id))->status;
    }

    std::vector<Member> members;
    std::vector<SentOrder> orders;
    std::vector<std::shared_ptr<CallerAnswer>> demand;
    int requestCount = 0;
};
