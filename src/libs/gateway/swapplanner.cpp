#include "swapplanner.h"

#include "enginememory.h"

#include <algorithm>
#include <cmath>

namespace Gateway {

using Utils::TimePoint;

namespace {

/// A loaded model is not evicted before this time, so that the requests that waited for it are
/// served and two models don't evict each other in turns.
constexpr std::chrono::milliseconds MinResidency(1200);
/// Weight of a waiting request, in requests per second.
constexpr double WaitingWeight = 0.5;
/// Weight of a running request: an engine finishes it before it unloads the model.
constexpr double RunningWeight = 0.25;
/// Fraction of that weight if other engines hold the model too.
constexpr double SurplusRunningShare = 0.3;
/// Requests per second of one model that one engine serves well. Beyond that rate, prompt
/// processing interrupts the token streams of other answers for too long.
constexpr double RatePerEngine = 3;
/// Waiting requests per holding engine from which on another engine loads the model.
constexpr int WaitingForAnotherEngine = 4;
/// A held model is loaded on another engine if its rate exceeds what its engines serve by more than
/// this many requests per second.
constexpr double MinExcessRate = 0.5;
/// Weight of the request rate beyond what the engines serve well: such requests are served late.
constexpr double ExcessRateWeight = 0.35;
/// Seconds added per request per second at an engine when engines are compared for a load.
constexpr double RateWeight = 0.2;
/// The benefit of a swap must exceed the eviction cost by this factor.
constexpr double MinGain = 1.1;
/// Value of the only holder of a model without demand, in requests per second.
constexpr double OnlyHolderValue = 0.03;
/// Maximum time that an engine may unload others for a model before another engine is chosen; an
/// unload waits for running requests.
constexpr std::chrono::milliseconds IntentLifetime(3000);
/// Time from the end of such an unload for which the room is kept for an overloaded model. Without
/// it, other models took the room, and several engines in turn unloaded for a model in vain. On
/// nine engines, keeping room for every model left rare models unserved.
constexpr std::chrono::milliseconds ReservationTime(500);
/// Minimum benefit of a prefetch, in requests per second; it replaces only surplus or idle models.
constexpr double MinPrefetchBenefit = 0.02;
/// Assumed probability that an engine with a copy leaves before another copy can be loaded.
constexpr double DepartureProbability = 0.5;
/// Copies of a requested model beyond one for each engine that its rate needs, so that the loss of
/// one engine does not remove the last copy.
constexpr int SpareCopies = 1;
/// Loads from the weight store that prefetches leave free for models with waiting requests.
constexpr int ReservedUrgentLoads = 1;
/// Requests that have waited longer than this no longer wait for a copy at a busy engine; neither
/// does a model whose requests are refused sooner, as that engine may stay busy.
constexpr double MaxWaitForBusyEngineMs = 2000;
/// Limit on engines that unload others for one model at a time; its demand is an average over
/// seconds and may be over already.
constexpr int MaxUnloadsForAModel = 4;

} // namespace

auto SwapPlanner::makeSnapshot(const Input &input) const -> Snapshot
{
    Snapshot snapshot;
    snapshot.adapterReserveMb = maxAdapterMemoryMb(*input.description);
    for (const PlannedEngine &engine : input.engines) {
        if (!engine.loadingModel.empty())
            snapshot.loadingModels.insert(engine.loadingModel);
        for (const std::string &model : engine.models)
            ++snapshot.holders[model];
        std::set<std::string> copied = engine.models;
        copied.insert(engine.copiesInMemory.begin(), engine.copiesInMemory.end());
        copied.insert(engine.copiesOnDisk.begin(), engine.copiesOnDisk.end());
        for (const std::string &model : copied)
            ++snapshot.copies[model];
        double &freeMb = snapshot.freeDiskMb[engine.id];
        freeMb = input.description->diskMb;
        for (const std::string &model : engine.copiesOnDisk)
            freeMb -= weightsOf(*input.description, model);
        if (!engine.isBusy)
            snapshot.maxFreeDiskMb = std::max(snapshot.maxFreeDiskMb, freeMb);
    }
    for (const PlannedEngine &engine : input.engines) {
        double &rate = snapshot.rates[engine.id];
        for (const std::string &model : engine.models) {
            const auto demand = input.demand.find(model);
            if (demand != input.demand.end())
                rate += demand->second.perSecond / snapshot.holders[model];
        }
        auto &victims = snapshot.victims[engine.id];
        for (const std::string &model : engine.models)
            victims.emplace_back(retentionValue(input, engine, model, snapshot.holders[model]),
                                 model);
        std::sort(victims.begin(), victims.end());
    }
    return snapshot;
}

/// Value lost if the engine unloaded the model, in requests per second.
auto SwapPlanner::retentionValue(const Input &input, const PlannedEngine &engine,
                                 const std::string &model, int holders) const -> double
{
    const auto since = engine.readySince.find(model);
    constexpr double untouchable = 1e9;
    if (engine.loadingModel == model
        || (since != engine.readySince.end() && input.now - since->second < MinResidency))
        return untouchable;
    // The only loaded copy is worth more than a surplus copy without demand.
    const double baseValue = holders <= 1 ? OnlyHolderValue : 0;
    const auto found = input.demand.find(model);
    if (found == input.demand.end())
        return baseValue;
    const TotalDemand &demand = found->second;
    const int holderCount = holders;
    const double demandRate = demand.perSecond + WaitingWeight * demand.waiting;
    // Without this engine, the others must serve the whole demand.
    const double unserved = holderCount <= 1
        ? demandRate
        : std::max(0.0, demandRate - RatePerEngine * (holderCount - 1));
    // Requests running at a surplus copy are not lost, but the engine waits for them before it
    // loads another model.
    const double running =
        RunningWeight * demand.running / holderCount * (holderCount <= 1 ? 1 : SurplusRunningShare);
    return baseValue + unserved + running;
}

auto SwapPlanner::evaluate(const Input &input, const Snapshot &snapshot,
                           const PlannedEngine &engine, const ModelDescription &model,
                           double benefit) const -> std::optional<Candidate>
{
    const EngineDescription &description = *input.description;
    Candidate candidate;
    candidate.engine = &engine;
    const auto toSeconds = [](std::chrono::milliseconds time) { return Utils::toSeconds(time); };
    if (engine.copiesInMemory.count(model.name) > 0) {
        candidate.seconds = toSeconds(model.memoryLoadTime);
    } else if (engine.copiesOnDisk.count(model.name) > 0) {
        candidate.seconds = toSeconds(model.diskLoadTime);
    } else {
        candidate.seconds = toSeconds(model.storeLoadTime);
        candidate.isFromStore = true;
    }
    auto ledger = ledgerOf(description, engine);
    ledger.keepForAdapters(snapshot.adapterReserveMb);
    if (!ledger.mayFitModel(model.weightsMb))
        return {};
    double missingMb = ledger.missingForModel(model.weightsMb);
    for (const auto &[evictionCost, victim] : snapshot.victims.at(engine.id)) {
        if (missingMb <= 0)
            break;
        missingMb -= weightsOf(description, victim);
        candidate.evictionCost += evictionCost;
        candidate.victims.push_back(victim);
    }
    if (missingMb > 0 || candidate.evictionCost * MinGain > benefit)
        return {};
    return candidate;
}

/// True if the engine has unloaded others for a model that can still be loaded there.
auto SwapPlanner::isReservedForOther(const PlannedEngine &engine, const LoadProposal &proposal,
                                     TimePoint now) const -> bool
{
    const auto intent = m_intents.find(engine.id);
    return intent != m_intents.end() && intent->second.isReserved
        && intent->second.model != proposal.model->name && now < intent->second.reservedUntil;
}

auto SwapPlanner::demandProposals(const Input &input, const Snapshot &snapshot) const
    -> std::vector<LoadProposal>
{
    std::vector<LoadProposal> proposals;
    for (const auto &[name, demand] : input.demand) {
        const auto model = input.description->models.find(name);
        if (model == input.description->models.end())
            continue;
        const auto heldAt = snapshot.holders.find(name);
        const int held = heldAt == snapshot.holders.end() ? 0 : heldAt->second;
        LoadProposal proposal;
        proposal.model = &model->second;
        proposal.longestWaitMs = demand.longestWaitMs;
        proposal.reason = "crowded";
        if (held == 0 && demand.waiting > 0) {
            proposal.benefit = demand.perSecond + WaitingWeight * demand.waiting;
            proposal.reason = "waiting";
            proposal.isUrgent = true;
        } else if (held > 0) {
            const double excess = demand.perSecond - RatePerEngine * held;
            if (demand.waiting >= WaitingForAnotherEngine * held)
                proposal.benefit = WaitingWeight * demand.waiting / 2;
            proposal.isOverloaded =
                demand.waiting >= WaitingForAnotherEngine * held && excess > RatePerEngine * held;
            if (excess > MinExcessRate) {
                proposal.benefit = std::max(proposal.benefit, ExcessRateWeight * excess);
                proposal.engines =
                    std::clamp(static_cast<int>(excess / RatePerEngine), 1, MaxUnloadsForAModel);
            }
        }
        if (proposal.benefit <= 0)
            continue;
        proposals.push_back(proposal);
    }
    for (LoadProposal &proposal : versionProposals(input))
        proposals.push_back(std::move(proposal));
    std::stable_sort(
        proposals.begin(), proposals.end(),
        [](const LoadProposal &a, const LoadProposal &b) { return a.benefit > b.benefit; });
    return proposals;
}

/// Proposes models that continuations of streams await at a version none of whose engines holds
/// them.
auto SwapPlanner::versionProposals(const Input &input) const -> std::vector<LoadProposal>
{
    std::vector<LoadProposal> proposals;
    for (const auto &item : input.waitingAtVersion) {
        const auto &key = item.first;
        const auto model = input.description->models.find(key.first);
        const bool isHeld =
            std::any_of(input.engines.begin(), input.engines.end(), [&key](const auto &engine) {
                return engine.models.count(key.first) > 0 && engine.softwareVersion == key.second;
            });
        if (isHeld || model == input.description->models.end())
            continue;
        LoadProposal proposal;
        proposal.model = &model->second;
        proposal.benefit = WaitingWeight * item.second;
        proposal.reason = "continuation";
        proposal.isUrgent = true;
        proposal.softwareVersion = key.second;
        proposals.push_back(proposal);
    }
    return proposals;
}

/// Proposes models with fewer copies than their demand requires.
auto SwapPlanner::prefetchProposals(const Input &input, const Snapshot &snapshot) const
    -> std::vector<LoadProposal>
{
    std::vector<LoadProposal> proposals;
    for (const auto &[name, model] : input.description->models) {
        const auto demand = input.demand.find(name);
        const auto found = snapshot.copies.find(name);
        const int copies = found == snapshot.copies.end() ? 0 : found->second;
        const double rate = demand == input.demand.end() ? 0 : demand->second.perSecond;
        const int target = demand == input.demand.end()
            ? 1
            : static_cast<int>(std::ceil(rate / RatePerEngine)) + SpareCopies;
        if (copies >= target)
            continue;
        LoadProposal proposal;
        proposal.model = &model;
        proposal.benefit =
            std::max(rate * std::pow(DepartureProbability, copies), MinPrefetchBenefit);
        proposal.reason = LoadProposal::PrefetchReason;
        proposals.push_back(proposal);
    }
    return proposals;
}

/// True if waiting for a copy at a briefly busy engine is faster than loading from the weight
/// store.
auto SwapPlanner::hasCopyAtBusyEngine(const Input &input, const Snapshot &snapshot,
                                      const LoadProposal &proposal) const -> bool
{
    if (proposal.longestWaitMs > MaxWaitForBusyEngineMs)
        return false;
    return std::any_of(input.engines.begin(), input.engines.end(), [&](const auto &engine) {
        if (!engine.isBusy || isLoadingFromStore(engine) || !proposal.suits(engine))
            return false;
        const auto candidate = evaluate(input, snapshot, engine, *proposal.model, proposal.benefit);
        return candidate && !candidate->isFromStore;
    });
}

/// The same for a limited time from the first round in which the model waited for a copy.
auto SwapPlanner::waitsForBusyEngine(const Input &input, const Snapshot &snapshot,
                                     const LoadProposal &proposal) -> bool
{
    if (!hasCopyAtBusyEngine(input, snapshot, proposal))
        return false;
    const auto since = m_copyWaits.try_emplace(proposal.model->name, input.now).first->second;
    return Utils::toSeconds(input.now - since) * 1000 <= MaxWaitForBusyEngineMs;
}

auto SwapPlanner::addOrder(const Input &input, const LoadProposal &proposal,
                           const Candidate &candidate, Round &round) -> void
{
    const std::string &engine = candidate.engine->id;
    round.orderedEngines.insert(engine);
    m_copyWaits.erase(proposal.model->name);
    if (!candidate.victims.empty()) {
        m_intents[engine] = {proposal.model->name, input.now + IntentLifetime,
                             input.now + IntentLifetime, proposal.isOverloaded};
        const std::string &victim = candidate.victims.front();
        const auto demand = input.demand.find(victim);
        round.orders.push_back({PlannedOrder::Kind::Unload, engine, victim, false,
                                proposal.reason + ":" + proposal.model->name,
                                demand == input.demand.end() || demand->second.running == 0});
        return;
    }
    m_intents.erase(engine);
    if (candidate.isFromStore && !proposal.isUrgent)
        m_prefetchLoads[engine] = proposal.model->name;
    round.orders.push_back({PlannedOrder::Kind::Load, engine, proposal.model->name,
                            candidate.isFromStore, proposal.reason});
}

/// Returns false if only a load from the weight store remains.
auto SwapPlanner::loadFromCopy(const Input &input, const Snapshot &snapshot,
                               const LoadProposal &proposal, Round &round) -> bool
{
    const auto unloads = round.unloadsFor.find(proposal.model->name);
    if (unloads != round.unloadsFor.end() && unloads->second >= proposal.engines)
        return true;
    std::optional<Candidate> best;
    for (const PlannedEngine &engine : input.engines) {
        if (engine.isBusy || round.orderedEngines.count(engine.id) > 0 || !proposal.suits(engine)
            || isReservedForOther(engine, proposal, input.now))
            continue;
        auto candidate = evaluate(input, snapshot, engine, *proposal.model, proposal.benefit);
        if (!candidate || candidate->isFromStore)
            continue;
        const auto intent = m_intents.find(engine.id);
        if (intent != m_intents.end() && intent->second.model == proposal.model->name)
            candidate->seconds -= 0.5;
        candidate->seconds += candidate->evictionCost + RateWeight * snapshot.rates.at(engine.id);
        if (!best || candidate->seconds < best->seconds)
            best = candidate;
    }
    if (best) {
        addOrder(input, proposal, *best, round);
        return true;
    }
    const bool waitsForCopy = waitsForBusyEngine(input, snapshot, proposal);
    if (waitsForCopy && proposal.isUrgent)
        ++round.copiesAtBusyEngines;
    return waitsForCopy;
}

auto SwapPlanner::loadFromStore(const Input &input, const Snapshot &snapshot,
                                const LoadProposal &proposal, Round &round) -> void
{
    // Loads from the store slow each other down, so a second copy waits until the first is loaded.
    if (snapshot.loadingModels.count(proposal.model->name) > 0
        || round.unloadsFor.count(proposal.model->name) > 0
        || round.modelsFromStore.count(proposal.model->name) > 0
        || (proposal.isUrgent ? round.storeLoads : std::min(round.storeLoads, round.prefetchLoads))
            <= 0)
        return;
    // On a full disk, the new copy would replace another one, and the engine swaps no models during
    // the load. That is worth it only for a model whose engines can't serve half of the demand:
    // without another engine, its requests time out as long as the demand lasts.
    const bool needsFreeDisk = input.description->diskMb > 0 && !proposal.isUrgent
        && !proposal.isOverloaded && snapshot.copies.count(proposal.model->name) > 0;
    if (needsFreeDisk && snapshot.maxFreeDiskMb < proposal.model->weightsMb)
        return;
    std::optional<Candidate> best;
    int eligibleEngines = 0;
    for (const PlannedEngine &engine : input.engines) {
        if (engine.isBusy || round.orderedEngines.count(engine.id) > 0
            || isReservedForOther(engine, proposal, input.now))
            continue;
        auto candidate = evaluate(input, snapshot, engine, *proposal.model, proposal.benefit);
        if (!candidate)
            continue;
        ++eligibleEngines;
        if (!candidate->isFromStore || !proposal.suits(engine))
            continue;
        if (needsFreeDisk && snapshot.freeDiskMb.at(engine.id) < proposal.model->weightsMb)
            continue;
        const auto intent = m_intents.find(engine.id);
        if (intent != m_intents.end() && intent->second.model == proposal.model->name)
            candidate->seconds -= 0.5;
        candidate->seconds += candidate->evictionCost + RateWeight * snapshot.rates.at(engine.id);
        if (!best || candidate->seconds < best->seconds)
            best = candidate;
    }
    // Proposals that wait for a copy at a busy engine may need another engine later, so a prefetch
    // leaves one engine free for each of them.
    if (!best
        || (!proposal.isUrgent
            && eligibleEngines <= std::min(round.copiesAtBusyEngines, round.storeLoads)))
        return;
    addOrder(input, proposal, *best, round);
    round.modelsFromStore.insert(proposal.model->name);
    --round.storeLoads;
    if (!proposal.isUrgent)
        --round.prefetchLoads;
}

auto SwapPlanner::beginRound(const Input &input) -> Round
{
    Round round;
    round.storeLoads = input.storeLoadsAllowed;
    std::erase_if(m_intents,
                  [&](const auto &item) { return item.second.reservedUntil <= input.now; });
    std::erase_if(m_copyWaits, [&](const auto &item) {
        const auto demand = input.demand.find(item.first);
        return demand == input.demand.end() || demand->second.perSecond < MinExcessRate;
    });
    int running = 0;
    std::map<std::string, std::string> prefetchLoads;
    for (const PlannedEngine &engine : input.engines) {
        const auto intent = m_intents.find(engine.id);
        if (intent != m_intents.end() && engine.isBusy) {
            intent->second.reservedUntil =
                std::max(intent->second.reservedUntil, input.now + ReservationTime);
            if (input.now < intent->second.until)
                ++round.unloadsFor[intent->second.model];
        }
        running += isLoadingFromStore(engine);
        const auto prefetched = m_prefetchLoads.find(engine.id);
        if (prefetched != m_prefetchLoads.end() && prefetched->second == engine.loadingModel)
            prefetchLoads.insert(*prefetched);
    }
    m_prefetchLoads = std::move(prefetchLoads);
    round.prefetchLoads = input.storeLoadsAllowed;
    if (!input.demand.empty())
        round.prefetchLoads +=
            running - static_cast<int>(m_prefetchLoads.size()) - ReservedUrgentLoads;
    return round;
}

auto SwapPlanner::plan(const Input &input) -> std::vector<PlannedOrder>
{
    const Snapshot snapshot = makeSnapshot(input);
    Round round = beginRound(input);
    const auto idle = std::count_if(input.engines.begin(), input.engines.end(),
                                    [](const auto &engine) { return !engine.isBusy; });
    std::vector<LoadProposal> fromStore;
    for (const LoadProposal &proposal : demandProposals(input, snapshot)) {
        if (static_cast<long>(round.orderedEngines.size()) >= idle)
            return round.orders;
        if (!loadFromCopy(input, snapshot, proposal, round)
            && (proposal.isUrgent || proposal.isOverloaded))
            fromStore.push_back(proposal);
    }
    if (round.storeLoads <= 0)
        return round.orders;
    for (LoadProposal &proposal : prefetchProposals(input, snapshot))
        fromStore.push_back(std::move(proposal));
    std::stable_sort(
        fromStore.begin(), fromStore.end(),
        [](const LoadProposal &a, const LoadProposal &b) { return a.benefit > b.benefit; });
    for (const LoadProposal &proposal : fromStore) {
        if (round.storeLoads <= 0 || static_cast<long>(round.orderedEngines.size()) >= idle)
            break;
        loadFromStore(input, snapshot, proposal, round);
    }
    return round.orders;
}

} // namespace Gateway
