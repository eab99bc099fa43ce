// Orders of the placement lease's holder to one engine while the lease is lost and regained.

#include <gateway/backendregistry.h>
#include <gateway/connectionpool.h>
#include <gateway/demandtracker.h>
#include <gateway/denialcheck.h>
#include <gateway/enginecontroller.h>
#include <gateway/gatewaycontext.h>
#include <gateway/quotaledger.h>
#include <gateway/requestqueue.h>
#include <http1/clientconnection.h>
#include <monitoring/metrics.h>
#include <net/reactor.h>
#include <platform/emulator/emulatedengine.h>
#include <platform/emulator/emulatedstore.h>
#include <platform/platformwireformat.h>
#include <standins/standinwire.h>

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Emulator::EmulatedEngine;
using Emulator::EmulatedStore;
using Gateway::EngineController;

namespace {

class EngineControllers : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        store = std::make_unique<EmulatedStore>(*loop);
        engine = std::make_unique<EmulatedEngine>(*loop, *store, "i-1", "lm",
                                                  std::set<std::string>{"m1"});
        registry.update(*wire.parseBackend("i-1", store->value("servers", "i-1")), loop->now());
        EngineController::Events events;
        events.onChanged = [] {};
        events.onStoreLoad = [this](auto, auto, int concurrentLoads) {
            reportedStoreLoads = concurrentLoads;
        };
        events.onOrderSent = [this](const auto &) { ++sent; };
        events.onOrderAnswered = [](const auto &) {};
        events.authority = [this]() -> std::optional<Gateway::OrderAuthority> {
            if (!mayOrder)
                return {};
            return Gateway::OrderAuthority{"g1", 7, leaseTime};
        };
        events.adapterRoom = [this](const std::string &) {
            return controller->adapterCount() < 2 ? Gateway::AdapterRoom::Free
                                                  : Gateway::AdapterRoom::AfterUnload;
        };
        controller = std::make_unique<EngineController>(context, "i-1", std::move(events));
        runFor(50ms);
    }

    /// Ticks as the coordinator does, with or without the lease, as answers and timers arrive at
    /// any time.
    auto runFor(std::chrono::milliseconds time) -> void
    {
        const auto end = loop->now() + time;
        while (loop->now() < end) {
            if (controller)
                controller->tick(loop->now());
            loop->callAfter(10ms, [this] { loop->stop(); });
            loop->run();
            loop->restart();
        }
    }

    /// Puts a faulty path between the gateway and the engine.
    auto insertPath() -> void
    {
        path = std::move(
            *StandIns::StandInWire::create(*loop, "127.0.0.1:0", engine->address().toString()));
        engine->advertisedAddress =
            *Http1::SocketAddress::parse("127.0.0.1:" + std::to_string(path->port()));
        engine->announce();
        registry.update(*wire.parseBackend("i-1", store->value("servers", "i-1")), loop->now());
    }

    auto requestAdapter(const std::string &adapter) -> void
    {
        controller->requestAdapter("m1", adapter, loop->now());
    }

    std::unique_ptr<Net::Reactor> loop = std::move(*Net::Reactor::create());
    Platform::PlatformWireFormat wire;
    Gateway::BackendRegistry registry{"a"};
    Gateway::ConnectionPool pool{*loop};
    Gateway::QuotaLedger quota{true, {}};
    Gateway::RequestQueue waiting{*loop};
    Gateway::DemandTracker demand;
    Gateway::DenialCheck denialCheck{
        *loop, std::chrono::seconds(1), {nullptr, [] { return Utils::Duration(0); }}};
    Monitoring::Metrics metrics;
    Gateway::GatewayContext context{*loop,   wire,    registry,    pool,    quota,
                                    waiting, demand,  denialCheck, metrics, nullptr,
                                    {},      nullptr, {},          nullptr};
    std::unique_ptr<EmulatedStore> store;
    std::unique_ptr<EmulatedEngine> engine;
    std::unique_ptr<EngineController> controller;
    std::unique_ptr<StandIns::StandInWire> path;
    bool mayOrder = true;
    std::chrono::milliseconds leaseTime = 1200ms;
    int sent = 0;
    int reportedStoreLoads = 0; ///< As reported when a load from the weight store ended.
};

} // namespace

// The store is slow and the lease expires while adapters wait for a slot.
TEST_F(EngineControllers, AdapterThatCouldNotBeUnloadedKeepsItsSlot)
{
    requestAdapter("a1");
    requestAdapter("a2");
    runFor(600ms);
    ASSERT_EQ(engine->models().at("m1").size(), 2U);
    mayOrder = false;
    requestAdapter("a3");
    runFor(200ms);
    EXPECT_EQ(sent, 2);
    EXPECT_EQ(controller->adapterCount(), 2);
    mayOrder = true;
    requestAdapter("a3");
    runFor(400ms);
    EXPECT_EQ(engine->overloads(), 0);
    EXPECT_EQ(engine->models().at("m1").count("a3"), 1U);
}

TEST_F(EngineControllers, AdapterThatCouldNotBeLoadedIsRequestedAgain)
{
    mayOrder = false;
    requestAdapter("a1");
    runFor(100ms);
    EXPECT_EQ(engine->orders(), 0);
    mayOrder = true;
    requestAdapter("a1");
    runFor(200ms);
    EXPECT_EQ(engine->models().at("m1").count("a1"), 1U);
}

TEST_F(EngineControllers, ModelsAreNeitherLoadedNorDroppedWithoutPermission)
{
    mayOrder = false;
    controller->load("m2", 30ms, 0, loop->now());
    runFor(50ms);
    EXPECT_EQ(controller->state().models.count("m2"), 0U);
    controller->unload("m1", true);
    runFor(50ms);
    EXPECT_EQ(controller->state().models.count("m1"), 1U);
    EXPECT_FALSE(controller->isBusy());
    EXPECT_EQ(engine->orders(), 0);
}

// An adapter is unloaded while a stream uses it that the holder doesn't know of. The engine keeps
// the adapter and refuses all orders until the stream has ended.
TEST_F(EngineControllers, AdapterThatUnloadsLateKeepsItsSlot)
{
    requestAdapter("a1");
    runFor(100ms);
    requestAdapter("a2");
    runFor(600ms);
    engine->behaviour.eventInterval = 100ms;
    std::optional<Http1::CallEnd> ended;
    const auto stream = std::move(*Http1::ClientConnection::connect(*loop, engine->address()));
    stream->call("POST /x HTTP/1.1\r\nAttempt-Id: r1\r\nModel: m1/a1\r\n"
                 "Content-Length: 0\r\n\r\n",
                 {[](const auto &, auto) { return true; }, [](std::string_view) {},
                  [&](Http1::CallEnd how) { ended = how; }});
    runFor(50ms);
    const int before = sent;
    requestAdapter("a3");
    runFor(250ms);
    EXPECT_FALSE(ended);
    EXPECT_EQ(sent, before + 1) << "nothing is ordered while the engine refuses it";
    EXPECT_EQ(controller->adapterCount(), 2);
    EXPECT_EQ(controller->state().models.at("m1").count("a1"), 0U) << "it gets no requests";
    runFor(1200ms);
    EXPECT_EQ(ended, Http1::CallEnd::Complete);
    EXPECT_EQ(engine->overloads(), 0);
    EXPECT_EQ(engine->models().at("m1"), (std::set<std::string>{"a2", "a3"}));
}

// All slots are taken, and the adapter that was loaded first is in use.
TEST_F(EngineControllers, AdaptersInUseAreEvictedLast)
{
    requestAdapter("a1");
    runFor(100ms);
    requestAdapter("a2");
    runFor(600ms);
    controller->noteAdaptersInUse([](const auto &, const auto &adapter) { return adapter == "a1"; },
                                  loop->now());
    requestAdapter("a3");
    runFor(300ms);
    EXPECT_EQ(engine->models().at("m1"), (std::set<std::string>{"a1", "a3"}));
}

// All adapters of an engine are in use all the time, and another one is requested.
TEST_F(EngineControllers, LongWaitingAdapterGetsASlotEventually)
{
    requestAdapter("a1");
    runFor(100ms);
    requestAdapter("a2");
    runFor(600ms);
    const auto allInUse = [](const auto &, const auto &) { return true; };
    controller->noteAdaptersInUse(allInUse, loop->now());
    requestAdapter("a3");
    const auto begun = loop->now();
    while (engine->models().at("m1").count("a3") == 0 && loop->now() - begun < 3s) {
        controller->noteAdaptersInUse(allInUse, loop->now());
        runFor(20ms);
    }
    EXPECT_GT(loop->now() - begun, 900ms);
    EXPECT_LT(loop->now() - begun, 1500ms);
    EXPECT_EQ(engine->overloads(), 0);
}

// Adapters are requested while the engine loads a model and refuses all orders.
TEST_F(EngineControllers, AdaptersAreNotOrderedWhileTheEngineLoadsAModel)
{
    engine->behaviour.loadTime = 300ms;
    controller->load("m2", 300ms, 0, loop->now());
    requestAdapter("a1");
    runFor(200ms);
    EXPECT_EQ(sent, 1);
    runFor(500ms);
    EXPECT_EQ(engine->models().at("m1").count("a1"), 1U);
    EXPECT_EQ(sent, 2);
}

// Guards against waiting for a report between the orders of a swap: reports are old and requested
// at intervals, so that a swap took half as long again as the engine needed for it.
TEST_F(EngineControllers, IdleModelIsReplacedWithoutWaitingForAReport)
{
    controller->unload("m1", true);
    runFor(100ms); // The first report is requested after 110 ms.
    EXPECT_FALSE(controller->isBusy());
    EXPECT_EQ(controller->state().models.count("m1"), 0U);
    engine->behaviour.loadTime = 100ms;
    controller->load("m2", 100ms, 0, loop->now());
    runFor(170ms);
    EXPECT_EQ(controller->state().models.count("m2"), 1U);
    EXPECT_FALSE(controller->isBusy());
}

// A model was assumed to be loaded, but the engine has crashed or needs longer.
TEST_F(EngineControllers, ReportCorrectsALoadThatWasAssumedToBeDone)
{
    engine->behaviour.loadTime = 900ms;
    controller->load("m2", 50ms, 0, loop->now());
    runFor(150ms);
    EXPECT_EQ(controller->state().models.count("m2"), 1U);
    runFor(500ms);
    EXPECT_EQ(controller->state().models.count("m2"), 0U);
    EXPECT_TRUE(controller->isBusy());
    runFor(600ms);
    EXPECT_EQ(controller->state().models.count("m2"), 1U);
    EXPECT_FALSE(controller->isBusy());
}

// The engine refuses an order because the one before isn't done although it was assumed to be.
TEST_F(EngineControllers, OrderThatWasSentTooEarlyIsRefusedAndChangesNothing)
{
    engine->behaviour.loadTime = 400ms;
    controller->load("m2", 50ms, 0, loop->now());
    runFor(120ms);
    controller->load("m3", 50ms, 0, loop->now());
    runFor(300ms);
    EXPECT_EQ(engine->orders(), 1);
    EXPECT_EQ(controller->state().models.count("m3"), 0U);
    runFor(500ms);
    EXPECT_FALSE(controller->isBusy());
    EXPECT_EQ(controller->state().models.count("m2"), 1U);
}

// Loads from the weight store start while others run that end first.
TEST_F(EngineControllers, StoreLoadReportsTheConcurrencyAtItsStart)
{
    engine->behaviour.loadTime = 100ms;
    controller->load("m2", 100ms, 3, loop->now());
    EXPECT_TRUE(controller->isLoadingFromStore());
    runFor(600ms);
    EXPECT_EQ(reportedStoreLoads, 3);
}

// Guards against an order that arrives later than its lease lasts (issue 35, ONE): it was given up
// only at the timeout of calls.
TEST_F(EngineControllers, OrderUnderWayEndsWithItsLease)
{
    insertPath();
    path->setSilence(StandIns::StandInWire::Silence::ToTarget);
    leaseTime = 200ms;
    requestAdapter("a1");
    runFor(100ms);
    ASSERT_EQ(sent, 1);
    mayOrder = false;
    runFor(250ms);
    path->setSilence(StandIns::StandInWire::Silence::None);
    runFor(400ms);
    EXPECT_EQ(engine->orders(), 0);
}

TEST_F(EngineControllers, OrderUnderWayGoesOnWhileTheLeaseIsRenewed)
{
    insertPath();
    path->setSilence(StandIns::StandInWire::Silence::ToTarget);
    leaseTime = 100ms;
    requestAdapter("a1");
    runFor(350ms);
    path->setSilence(StandIns::StandInWire::Silence::None);
    runFor(300ms);
    EXPECT_EQ(engine->orders(), 1);
    EXPECT_EQ(sent, 1);
}

// Guards against an order that arrives after it was given up (issue 35, ONE): its connection was
// closed, and the kernel went on sending it.
TEST_F(EngineControllers, OrderThatWasGivenUpDoesNotArriveLater)
{
    insertPath();
    path->setSilence(StandIns::StandInWire::Silence::ToTarget);
    requestAdapter("a1");
    runFor(1s);
    ASSERT_EQ(sent, 1);
    mayOrder = false;
    path->setSilence(StandIns::StandInWire::Silence::None);
    runFor(400ms);
    EXPECT_EQ(engine->orders(), 0);
}

// The same when the gateway stops, or sees another holder.
TEST_F(EngineControllers, OrderOfAnEndedControllerDoesNotArriveLater)
{
    insertPath();
    path->setSilence(StandIns::StandInWire::Silence::ToTarget);
    requestAdapter("a1");
    runFor(100ms);
    ASSERT_EQ(sent, 1);
    controller.reset();
    runFor(50ms);
    path->setSilence(StandIns::StandInWire::Silence::None);
    runFor(400ms);
    EXPECT_EQ(engine->orders(), 0);
}

TEST_F(EngineControllers, ConnectionOfAnOrderCarriesNothingElse)
{
    requestAdapter("a1");
    runFor(200ms);
    ASSERT_EQ(engine->orders(), 1);
    // The report before the order has left a connection in the pool.
    pool.closeIdleConnections("i-1");
    requestAdapter("a2");
    loop->callAfter(60ms, [this] { loop->stop(); });
    loop->run();
    loop->restart();
    ASSERT_EQ(engine->orders(), 2);
    const auto next = pool.acquire("i-1", engine->address(), 10s, "r-1");
    ASSERT_TRUE(next);
    EXPECT_FALSE(next->http->isConnected());
}
