#pragma once

#include <utils/timepoint.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Soak {

class SoakDeployment;

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
        GatewayStoreThrottled,
        StoreSlow,
        StoreLossy,
        CallerBurst,
        RoutesAdded,
        RoutesDropped,
        RouteAddedAndUsed,
        KeyAdded,
        KeyDropped,
    };
    struct Step
    {
        std::chrono::milliseconds at{0};
        Kind kind = Kind::GatewayFreeze;
        size_t target = 0; ///< Gateway or engine; how many routes.
        std::chrono::milliseconds duration{0};

        auto operator==(const Step &) const -> bool = default;
    };

    static auto draw(std::uint64_t seed, std::chrono::milliseconds length, size_t gateways,
                     size_t engines) -> std::vector<Step>;
    /// Gateways with slow processors and slow links to the store, beside other faults.
    static auto drawSlowGateways(std::uint64_t seed, std::chrono::milliseconds length,
                                 size_t gateways) -> std::vector<Step>;
    /// Versions that grow by very many routes, a few in quick succession, and small changes right
    /// after; with bursts of callers and links to the store that turn slow. The seed decides which
    /// other faults come beside them until `faults` have passed: none, those of one gateway, or
    /// all.
    static auto drawGrowth(std::uint64_t seed, std::chrono::milliseconds length,
                           std::chrono::milliseconds faults, size_t gateways) -> std::vector<Step>;
    static auto mayAccompanyGrowth(std::uint64_t seed, const Step &step, size_t gateways) -> bool;
    static auto describe(const Step &step) -> std::string;

    FaultScript(SoakDeployment &deployment, std::vector<Step> steps);

    auto start() -> void;

private:
    auto begin(const Step &step) -> void;
    auto beginGatewayFault(const Step &step) -> void;
    auto beginStoreFault(const Step &step) -> void;
    auto beginEngineFault(const Step &step) -> void;
    auto end(const Step &step) -> void;
    auto beginOperatorAction(const Step &step) -> void;
    auto endEngineFault(const Step &step) -> void;
    auto delayStore(std::chrono::milliseconds delay) -> void;
    auto runIntermittently(const Step &step) -> void;
    auto restartGateway(size_t index) -> void;
    auto awaitStop(size_t index, Utils::TimePoint deadline) -> void;
    auto noteDisturbances() -> void;

    SoakDeployment &m_deployment;
    std::vector<Step> m_steps;
    std::vector<Step> m_active;
};

} // namespace Soak
