#pragma once

#include <utils/timepoint.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Soak {

class SoakWorld;

/// Faults in a row drawn from a seed, some of which overlap; each is undone after its time.
class FaultScript : public std::enable_shared_from_this<FaultScript>
{
public:
    enum class Kind {
        GatewayFreeze,
        GatewayKill,
        GatewayStop,
        GatewayHangup,
        GatewayStoreSilence,
        GatewayStoreOneWay,
        GatewayStoreReset,
        GatewayStoreDelay,
        StoreBusy,
        StoreReset,
        StoreSilent,
        StoreLosesAnswers,
        StoreForgetsHistory,
        EngineCrash,
        EngineCrashSameName,
        EngineLeaves,
        EngineSheds,
        EngineLosesAnswers,
        EngineCutsStreams,
        EngineFallsSilent,
        EngineSlow,
        EngineIgnoresOrders,
        EngineLinkDelay,
        EngineLinkReset,
        EngineLinkSilence,
        NewConfiguration,
        RouteChange,
        KeyWithdrawn,
        // Drawn apart, so that seeds from before mean the same faults.
        GatewaySlow,
        GatewayStoreSlow,
    };
    struct Step
    {
        std::chrono::milliseconds at{0};
        Kind kind = Kind::GatewayFreeze;
        size_t target = 0; ///< Gateway or engine.
        std::chrono::milliseconds lasts{0};
    };

    static auto draw(std::uint64_t seed, std::chrono::milliseconds length, size_t gateways,
                     size_t engines) -> std::vector<Step>;
    /// Gateways with slow processors and slow links to the store, beside other faults.
    static auto drawSlowGateways(std::uint64_t seed, std::chrono::milliseconds length,
                                 size_t gateways) -> std::vector<Step>;
    static auto describe(const Step &step) -> std::string;

    FaultScript(SoakWorld &world, std::vector<Step> steps);

    auto start() -> void;

private:
    auto begin(const Step &step) -> void;
    auto beginGatewayFault(const Step &step) -> void;
    auto beginStoreFault(const Step &step) -> void;
    auto beginEngineFault(const Step &step) -> void;
    auto end(const Step &step) -> void;
    auto endEngineFault(const Step &step) -> void;
    auto pulse(const Step &step) -> void;
    auto restartGateway(size_t index) -> void;
    auto awaitStop(size_t index, Utils::TimePoint limit) -> void;
    auto noteDisturbances() -> void;

    SoakWorld &m_world;
    std::vector<Step> m_steps;
    std::vector<Step> m_active;
};

} // namespace Soak
