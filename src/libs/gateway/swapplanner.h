#pragma once

#include "configuration.h"

#include <placement/unansweredorders.h>
#include <utils/timepoint.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/// Demand for one model, summed over all gateways.
struct TotalDemand
{
    int waiting = 0;
    int running = 0;
    double perSecond = 0;
    double longestWaitMs = 0;
};

/// The state of one engine that the planner uses.
struct PlannedEngine
{
    std::string id;
    std::string softwareVersion; ///< Empty if unknown.
    std::set<std::string> models; ///< Held, or being loaded by an accepted order.
    std::map<std::string, Utils::TimePoint> readySince; ///< For each held model, if known.
    std::string loadingModel; ///< The model that is being loaded; empty if none.
    /// The model of each adapter that takes a slot: held, being loaded, or not yet unloaded.
    std::vector<std::string> adapterModels;
    bool isBusy = false; ///< Accepts no orders at the moment.
    Placement::UnansweredOrders::Reserve reserve; ///< Memory that must not be used.
    std::set<std::string> copiesInMemory;
    std::set<std::string> copiesOnDisk;
};

/// An order that the planner wants to be sent now.
struct PlannedOrder
{
    enum class Kind { Load, Unload };
    Kind kind = Kind::Load;
    std::string engine;
    std::string model;
    bool isFromStore = false;
    std::string reason;
    bool isIdle = false; ///< No request of the model that is to be unloaded is known to run.
};

/// Decides which engines load and unload which models. Models with waiting requests come first:
/// they are loaded from the nearest copy and replace the least requested models. Remaining capacity
/// of the weight store is used to prefetch copies, because engines that leave take theirs along and
/// later swaps should come from an engine's own disk. Needs no network.
class SwapPlanner
{
public:
    struct Input
    {
        const EngineDescription *description = nullptr;
        std::vector<PlannedEngine> engines;
        std::map<std::string, TotalDemand> demand;
        /// Requests that wait for a model at one software version, by model and version.
        std::map<std::pair<std::string, std::string>, int> waitingAtVersion;
        int storeLoadsAllowed = 0; ///< Number of loads from the weight store that may start now.
        Utils::TimePoint now;
    };

    /// Returns the orders to send now, at most one for each engine that is not busy.
    auto plan(const Input &input) -> std::vector<PlannedOrder>;

private:
    struct Candidate
    {
        const PlannedEngine *engine = nullptr;
        double seconds = 0;
        bool isFromStore = false;
        std::vector<std::string> victims;
        double evictionCost = 0;
    };

    /// A proposal to load a model on one more engine.
    struct LoadProposal
    {
        static constexpr const char *PrefetchReason = "prefetch";

        const ModelDescription *model = nullptr;
        double benefit = 0;
        std::string reason;
        bool isUrgent = false; ///< Requests are waiting and no engine holds the model.
        bool isOverloaded = false; ///< Its engines can't serve half of the demand.
        double longestWaitMs = 0;
        int engines = 1; ///< On how many engines the model is needed in addition.
        std::string softwareVersion; ///< Only engines of this version; any if empty.

        auto suits(const PlannedEngine &engine) const -> bool
        {
            return engine.models.count(model->name) == 0
                && (softwareVersion.empty() || engine.softwareVersion == softwareVersion);
        }
    };

    /// Decisions made so far in one planning round.
    struct Round
    {
        std::vector<PlannedOrder> orders;
        std::set<std::string> orderedEngines; ///< Engines that got an order.
        std::map<std::string, int> unloadsFor; ///< Engines that unload others, by the new model.
        std::set<std::string> modelsFromStore; ///< Ordered from the weight store in this round.
        int storeLoads = 0; ///< Loads from the store that may still start.
        int prefetchLoads = 0; ///< Number of those that may be prefetches.
        int copiesAtBusyEngines = 0; ///< Proposals waiting for a busy engine.
    };

    /// Values derived from the input once per planning round.
    struct Snapshot
    {
        std::map<std::string, int> holders; ///< Engines that hold or load a model.
        std::map<std::string, std::vector<std::pair<double, std::string>>> victims; ///< By engine.
        std::map<std::string, double> rates; ///< Requests per second at each engine.
        double adapterReserveMb = 0;
        std::map<std::string, int> copies; ///< Engines that have or load a model's weights.
        std::map<std::string, double> freeDiskMb; ///< Disk space for copies, by engine.
        double maxFreeDiskMb = 0; ///< Over the engines that accept orders.
        std::set<std::string> loadingModels; ///< Models that any engine is loading.
    };

    auto evaluate(const Input &input, const Snapshot &snapshot, const PlannedEngine &engine,
                  const ModelDescription &model, double benefit) const -> std::optional<Candidate>;
    auto makeSnapshot(const Input &input) const -> Snapshot;
    auto demandProposals(const Input &input, const Snapshot &snapshot) const
        -> std::vector<LoadProposal>;
    auto versionProposals(const Input &input) const -> std::vector<LoadProposal>;
    auto prefetchProposals(const Input &input, const Snapshot &snapshot) const
        -> std::vector<LoadProposal>;
    auto hasCopyAtBusyEngine(const Input &input, const Snapshot &snapshot,
                             const LoadProposal &proposal) const -> bool;
    auto waitsForBusyEngine(const Input &input, const Snapshot &snapshot,
                            const LoadProposal &proposal) -> bool;
    auto beginRound(const Input &input) -> Round;
    auto loadFromCopy(const Input &input, const Snapshot &snapshot, const LoadProposal &proposal,
                      Round &round) -> bool;
    auto loadFromStore(const Input &input, const Snapshot &snapshot, const LoadProposal &proposal,
                       Round &round) -> void;
    auto addOrder(const Input &input, const LoadProposal &proposal, const Candidate &candidate,
                  Round &round) -> void;
    auto retentionValue(const Input &input, const PlannedEngine &engine, const std::string &model,
                        int holders) const -> double;

    /// The model for which an engine is unloading others.
    struct Intent
    {
        std::string model;
        Utils::TimePoint until; ///< Then other engines may unload for the model too.
        Utils::TimePoint reservedUntil; ///< Until then the room at the engine may be kept for it.
        bool isReserved = false; ///< No other model gets the room.
    };

    auto isReservedForOther(const PlannedEngine &engine, const LoadProposal &proposal,
                            Utils::TimePoint now) const -> bool;

    std::map<std::string, Intent> m_intents; ///< By engine.
    /// Since when models have waited for a copy at a busy engine without an order.
    std::map<std::string, Utils::TimePoint> m_copyWaits;
    std::map<std::string, std::string> m_prefetchLoads; ///< Model by the engine that loads it.
};

} // namespace Gateway
