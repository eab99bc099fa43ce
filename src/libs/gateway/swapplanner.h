#pragma once

#include "configuration.h"
#include "unansweredorders.h"

#include <utils/timepoint.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/// What is asked of one model over all gateways.
struct TotalDemand
{
    int waiting = 0;
    int running = 0;
    double perSecond = 0;
    double longestWaitMs = 0;
};

/// One engine as the planner sees it.
struct PlannedEngine
{
    std::string id;
    std::set<std::string> models; ///< Held, or coming by an order that was accepted.
    std::map<std::string, Utils::TimePoint> readySince; ///< Of each held model, if known.
    std::string loadingModel; ///< The model that is being loaded; empty if none.
    bool isBusy = false; ///< Takes no order now.
    UnansweredOrders::Reserve reserve; ///< Of its room.
    std::set<std::string> copiesInMemory;
    std::set<std::string> copiesOnDisk;
};

/// An order that the planner wants given now.
struct PlannedOrder
{
    enum class Kind { Load, Unload };
    Kind kind = Kind::Load;
    std::string engine;
    std::string model;
    bool isFromStore = false;
    std::string reason;
};

/// Decides which models are swapped on which engines: waiting requests first, from the nearest
/// copy, in place of what is asked for least; then the stock of copies, which shrinks as engines
/// leave and is filled within what the weight store carries, so that later swaps come from an
/// engine's own disk. Needs no network.
class SwapPlanner
{
public:
    struct Input
    {
        const EngineDescription *description = nullptr;
        std::vector<PlannedEngine> engines;
        std::map<std::string, TotalDemand> demand;
        int storeLoadsAllowed = 0; ///< How many loads from the weight store may begin now.
        Utils::TimePoint now;
    };

    /// Orders to give now, at most one for each engine that is not busy.
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

    /// A model that is to be loaded at one more engine.
    struct LoadProposal
    {
        const ModelDescription *model = nullptr;
        double benefit = 0;
        std::string reason;
        bool isUrgent = false; ///< Requests wait, and no engine has the model.
        double longestWaitMs = 0;
    };

    /// What one plan has decided so far.
    struct Round
    {
        std::vector<PlannedOrder> orders;
        std::set<std::string> orderedEngines; ///< Engines with an order.
        std::set<std::string>
            modelsAwaitingUnload; ///< Models that an engine is unloading others for.
        int storeLoads = 0; ///< That may still begin.
        int prefetchLoads = 0; ///< Part of them that may be for the stock.
        int copiesAtBusyEngines = 0; ///< Wishes that wait for a copy at a busy engine.
    };

    /// What is looked up over and over within one plan.
    struct Snapshot
    {
        std::map<std::string, int> holders; ///< Engines that hold a model, or will soon.
        std::map<std::string, std::vector<std::pair<double, std::string>>> victims; ///< By engine.
        std::map<std::string, double> rates; ///< Requests a second at each engine.
        double adapterReserveMb = 0;
        std::map<std::string, int> copies; ///< Engines with a model's weights, or soon.
        std::map<std::string, double> freeDiskMb; ///< Free for copies, by engine.
        double maxFreeDiskMb = 0; ///< Of an engine that takes orders.
        std::set<std::string> loadingModels; ///< Models that are being loaded somewhere.
    };

    auto evaluate(const Input &input, const Snapshot &snapshot, const PlannedEngine &engine,
                  const ModelDescription &model, double benefit) const -> std::optional<Candidate>;
    auto makeSnapshot(const Input &input) const -> Snapshot;
    auto demandProposals(const Input &input, const Snapshot &snapshot) const
        -> std::vector<LoadProposal>;
    auto prefetchProposals(const Input &input, const Snapshot &snapshot) const
        -> std::vector<LoadProposal>;
    auto hasCopyAtBusyEngine(const Input &input, const Snapshot &snapshot,
                             const LoadProposal &proposal) const -> bool;
    auto beginRound(const Input &input) -> Round;
    auto loadFromCopy(const Input &input, const Snapshot &snapshot, const LoadProposal &proposal,
                      Round &round) -> bool;
    auto loadFromStore(const Input &input, const Snapshot &snapshot, const LoadProposal &proposal,
                       Round &round) -> void;
    auto addOrder(const Input &input, const LoadProposal &proposal, const Candidate &candidate,
                  Round &round) -> void;
    auto retentionValue(const Input &input, const PlannedEngine &engine, const std::string &model,
                        int holders) const -> double;

    /// The model that an engine makes room for, by unloading others.
    struct Intent
    {
        std::string model;
        Utils::TimePoint until;
    };

    std::map<std::string, Intent> m_intents; ///< By engine.
    std::map<std::string, std::string> m_prefetchLoads; ///< Models by the engine that loads them.
};

} // namespace Gateway
