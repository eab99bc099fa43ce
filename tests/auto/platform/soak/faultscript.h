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

/// Runs a sequence of faults drawn from a seed. Faults may overlap; each is undone after its time.
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
        // `draw` doesn't pick these kinds, so that earlier seeds still produce the same faults.
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
        EngineNamesLimit,
        StoreBackFromCopy,
        AllGatewaysRestart,
        EngineReleased,
        EngineUpgradedUnderItsId,
        EngineVersionUnlisted,
    };
    struct Step
    {
        std::chrono::milliseconds at{0};
        Kind kind = Kind::GatewayFreeze;
        /// Index of the gateway or engine, number of routes to add, or age of a copy in
        /// milliseconds.
        size_t target = 0;
        std::chrono::milliseconds duration{0};

        auto operator==(const Step &) const -> bool = default;
    };

    static auto draw(std::uint64_t seed, std::chrono::milliseconds length, size_t gateways,
                     size_t engines) -> std::vector<Step>;
    /// Draws gateways with slow processors and slow links to the store, in addition to other
    /// faults.
    static auto drawSlowGateways(std::uint64_t seed, std::chrono::milliseconds length,
                                 size_t gateways) -> std::vector<Step>;
    /// Draws configuration versions that add a large number of routes, followed by up to three more
    /// changes in quick succession, with bursts of requests and slow links to the store. The seed
    /// selects which other faults accompany them until `faults` have passed: none, those of one
    /// gateway, or all.
    static auto drawGrowth(std::uint64_t seed, std::chrono::milliseconds length,
                           std::chrono::milliseconds faults, size_t gateways) -> std::vector<Step>;
    /// Draws engines that name a limit on requests per second, in addition to other faults.
    static auto drawLimits(std::uint64_t seed, std::chrono::milliseconds length, size_t engines)
        -> std::vector<Step>;
    /// Draws returns of the store from a copy, in addition to other faults: singly, two in a row,
    /// and beside a change of holder, late orders, gateways that are cut off from the store, and a
    /// restart of all gateways. The operator changes the configuration before, during and after.
    static auto drawCopies(std::uint64_t seed, std::chrono::milliseconds length, size_t gateways,
                           size_t engines) -> std::vector<Step>;
    /// Draws releases of newer software versions on the first `engines`, one after the other, in
    /// addition to other faults: also through three versions, under an id whose row is late, with
    /// rows that name no version, and beside gateways that are killed at once, one by one, or cut
    /// off, crashes and streams that are cut.
    static auto drawVersions(std::uint64_t seed, std::chrono::milliseconds length, size_t gateways,
                             size_t engines) -> std::vector<Step>;
    static auto mayAccompanyGrowth(std::uint64_t seed, const Step &step, size_t gateways) -> bool;
    /// A target that stands for the gateway that holds the placement lease when the fault begins.
    static constexpr size_t HolderTarget = SIZE_MAX;
    static auto describe(const Step &step) -> std::string;

    FaultScript(SoakDeployment &deployment, std::vector<Step> steps);

    auto start() -> void;

private:
    auto begin(const Step &step) -> void;
    auto beginGatewayFault(const Step &step) -> void;
    auto beginStoreFault(const Step &step) -> void;
    auto beginCopy(const Step &step) -> void;
    auto beginEngineFault(const Step &step) -> void;
    auto releaseEngine(const Step &step) -> void;
    auto upgradeEngineUnderItsId(const Step &step) -> void;
    auto unlistVersion(const Step &step) -> void;
    auto end(const Step &step) -> void;
    auto beginOperatorAction(const Step &step) -> void;
    auto endEngineFault(const Step &step) -> void;
    auto delayStore(std::chrono::milliseconds delay) -> void;
    auto runIntermittently(const Step &step) -> void;
    auto restartGateway(size_t index) -> void;
    auto awaitStop(size_t index, Utils::TimePoint deadline) -> void;
    auto noteDisturbances() -> void;
    /// Tells the checker how many engines of each software version serve without a fault.
    auto noteServingEngines() -> void;

    SoakDeployment &m_deployment;
    std::vector<Step> m_steps;
    std::vector<Step> m_active;
};

} // namespace Soak
