#include "swapplanner.h"

#include <algorithm>

namespace Gateway {

using Utils::TimePoint;

namespace {

/// A model that has just been loaded stays at least this long, so that those who waited are served
/// and two models don't drive each other out in turns.
constexpr std::chrono::milliseconds LeastStay(1200);
/// What a waiting request counts in requests a second.
constexpr double WaitingWeight = 0.5;
/// What a running request counts: an engine finishes it before it unloads the model.
constexpr double RunningWeight = 0.25;
/// Part of that for runs at one of several engines with the model.
constexpr double SurplusRunningShare = 0.3;
/// Requests a second of one model that one engine serves well: beyond that, prompts that are read
/// between the tokens of other answers make pauses in them too long.
constexpr double RatePerEngine = 3;
/// Requests of one model that wait although it is held, from which on another engine loads it.
constexpr int WaitingForAnotherEngine = 4;
/// A held model is loaded at another engine when this much of its rate has no engine.
constexpr double LeastCrowding = 0.5;
/// What a request a second beyond the engines' rate counts: it is served, but late.
constexpr double CrowdingWeight = 0.35;
/// Seconds that a request a second at an engine counts when engines are compared for a load.
constexpr double RateWeight = 0.2;
/// A swap for demand must be worth this much more than what it drives out.
constexpr double LeastGain = 1.1;
/// What the only holder of a model is worth while nobody asks, in requests a second.
constexpr double OnlyHolderWorth = 0.03;
/// An engine makes room for a model this long at most before others are asked; an unload waits for
/// running requests.
constexpr std::chrono::milliseconds IntentLifetime(3000);
const char *const PrefetchReason = "prefetch";
/// What a copy for later is worth, in requests a second: it replaces only surplus or idle models.
constexpr double PrefetchWorth = 0.02;

auto adapterRoom(const EngineDescription &description) -> double
{
    double largest = 0;
    for (const auto &[name, model] : description.models)
        largest = std::max(largest, model.adapterMb);
    return largest * description.adapterSlots;
}

auto weightsOf(const EngineDescription &description, const std::string &model) -> double
{
    const auto found = description.models.find(model);
    // An engine may hold a model that the configuration no longer lists; nothing fits beside it.
    return found == description.models.end() ? description.weightsMb : found->second.weightsMb;
}

} // namespace

auto SwapPlanner::lookUp(const Input &input) const -> Lookup
{
    Lookup lookup;
    lookup.adapterRoomMb = adapterRoom(*input.description);
    for (const PlannedEngine &engine : input.engines) {
        if (!engine.coming.empty())
            lookup.coming.insert(engine.coming);
        for (const std::string &model : engine.models) {
            ++lookup.holders[model];
            lookup.anywhere.insert(model);
        }
        for (const auto *copies : {&engine.copiesInMemory, &engine.copiesOnDisk}) {
            lookup.anywhere.insert(copies->begin(), copies->end());
            if (engine.isBusy)
                lookup.copiedAtBusy.insert(copies->begin(), copies->end());
        }
    }
    for (const PlannedEngine &engine : input.engines) {
        double &rate = lookup.rates[engine.id];
        for (const std::string &model : engine.models) {
            const auto demand = input.demand.find(model);
            if (demand != input.demand.end())
                rate += demand->second.perSecond / lookup.holders[model];
        }
        auto &victims = lookup.victims[engine.id];
        for (const std::string &model : engine.models)
            victims.emplace_back(value(input, engine, model, lookup.holders[model]), model);
        std::sort(victims.begin(), victims.end());
    }
    return lookup;
}

/// What would be lost if the engine dropped the model.
auto SwapPlanner::value(const Input &input, const PlannedEngine &engine, const std::string &model,
                        int holders) const -> double
{
    const auto since = engine.readySince.find(model);
    constexpr double untouchable = 1e9;
    if (engine.coming == model
        || (since != engine.readySince.end() && input.now - since->second < LeastStay))
        return untouchable;
    // The only copy in an engine's memory is worth more than a surplus one that nobody asks for.
    const double kept = holders <= 1 ? OnlyHolderWorth : 0;
    const auto found = input.demand.find(model);
    if (found == input.demand.end())
        return kept;
    const TotalDemand &demand = found->second;
    const int all = holders;
    const double asked = demand.perSecond + WaitingWeight * demand.waiting;
    // Without this engine the others must carry the whole demand.
    const double unserved = all <= 1 ? asked : std::max(0.0, asked - RatePerEngine * (all - 1));
    // Runs at a surplus copy are not lost, but the engine waits for them before it loads anything.
    const double running =
        RunningWeight * demand.running / all * (all <= 1 ? 1 : SurplusRunningShare);
    return kept + unserved + running;
}

auto SwapPlanner::judge(const Input &input, const Lookup &lookup, const PlannedEngine &engine,
                        const ModelDescription &model, double worth) const
    -> std::optional<Candidate>
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
    const double all = description.weightsMb - lookup.adapterRoomMb;
    if (engine.reserve.isWhole || engine.reserve.lateMb + model.weightsMb > all)
        return {};
    double room = all - engine.reserve.weightsMb;
    for (const std::string &held : engine.models)
        room -= weightsOf(description, held);
    for (const auto &[loss, victim] : lookup.victims.at(engine.id)) {
        if (room >= model.weightsMb)
            break;
        room += weightsOf(description, victim);
        candidate.loss += loss;
        candidate.victims.push_back(victim);
    }
    if (room < model.weightsMb || candidate.loss * LeastGain > worth)
        return {};
    return candidate;
}

auto SwapPlanner::plan(const Input &input) -> std::vector<PlannedOrder>
{
    struct Wish
    {
        const ModelDescription *model;
        double worth;
        std::string reason;
        bool isUnserved = false;
    };
    const Lookup lookup = lookUp(input);
    std::vector<Wish> wishes;
    for (const auto &[name, model] : input.description->models) {
        const auto heldAt = lookup.holders.find(name);
        const int held = heldAt == lookup.holders.end() ? 0 : heldAt->second;
        const auto found = input.demand.find(name);
        const TotalDemand demand = found == input.demand.end() ? TotalDemand() : found->second;
        if (held == 0 && (demand.waiting > 0))
            wishes.push_back(
                {&model, demand.perSecond + WaitingWeight * demand.waiting, "waiting", true});
        else if (held > 0 && demand.waiting >= WaitingForAnotherEngine * held)
            wishes.push_back({&model, WaitingWeight * demand.waiting / 2, "crowded"});
        else if (held > 0 && demand.perSecond - RatePerEngine * held > LeastCrowding)
            wishes.push_back(
                {&model, CrowdingWeight * (demand.perSecond - RatePerEngine * held), "crowded"});
    }
    std::stable_sort(wishes.begin(), wishes.end(),
                     [](const Wish &a, const Wish &b) { return a.worth > b.worth; });
    std::vector<Wish> prefetches;
    for (const auto &[name, model] : input.description->models) {
        if (lookup.anywhere.count(name) == 0 && input.demand.count(name) == 0)
            prefetches.push_back({&model, PrefetchWorth, PrefetchReason});
    }
    wishes.insert(wishes.end(), prefetches.begin(), prefetches.end());

    std::vector<PlannedOrder> orders;
    std::set<std::string> used;
    int storeLoads = input.storeLoadsAllowed;
    std::erase_if(m_intents, [&](const auto &item) { return item.second.until <= input.now; });
    std::set<std::string> beingMadeRoomFor;
    for (const PlannedEngine &engine : input.engines) {
        const auto intent = m_intents.find(engine.id);
        if (intent != m_intents.end() && engine.isBusy)
            beingMadeRoomFor.insert(intent->second.model);
    }
    bool isUnservedLeft = false;
    const auto idle = std::count_if(input.engines.begin(), input.engines.end(),
                                    [](const auto &engine) { return !engine.isBusy; });
    for (const Wish &wish : wishes) {
        if (static_cast<long>(used.size()) >= idle)
            break;
        // Engines are kept free of loads for later while requests wait for others.
        if (beingMadeRoomFor.count(wish.model->name) > 0
            || (wish.reason == PrefetchReason && isUnservedLeft))
            continue;
        // One load from the store stays free for models that will be waited for.
        const int keptStoreLoads = wish.reason == PrefetchReason && !input.demand.empty() ? 1 : 0;
        std::optional<Candidate> best;
        for (const PlannedEngine &engine : input.engines) {
            if (engine.isBusy || used.count(engine.id) > 0 || engine.models.count(wish.model->name))
                continue;
            auto candidate = judge(input, lookup, engine, *wish.model, wish.worth);
            if (!candidate || (candidate->isFromStore && storeLoads <= keptStoreLoads))
                continue;
            // Loads from the store slow each other down: a second copy comes after the first.
            if (candidate->isFromStore && lookup.coming.count(wish.model->name) > 0)
                continue;
            const auto intent = m_intents.find(engine.id);
            if (intent != m_intents.end() && intent->second.model == wish.model->name)
                candidate->seconds -= 0.5;
            candidate->seconds += candidate->loss + RateWeight * lookup.rates.at(engine.id);
            if (!best || candidate->seconds < best->seconds)
                best = candidate;
        }
        if (!best) {
            isUnservedLeft = isUnservedLeft || wish.isUnserved;
            continue;
        }
        // A copy at an engine that is busy for a moment is nearer than the weight store.
        const bool copyIsNear =
            best->isFromStore && lookup.copiedAtBusy.count(wish.model->name) > 0;
        if (copyIsNear) {
            isUnservedLeft = isUnservedLeft || wish.isUnserved;
            continue;
        }
        used.insert(best->engine->id);
        if (!best->victims.empty()) {
            m_intents[best->engine->id] = {wish.model->name, input.now + IntentLifetime};
            orders.push_back({PlannedOrder::Kind::Unload, best->engine->id, best->victims.front(),
                              false, wish.reason + ":" + wish.model->name});
            if (best->isFromStore)
                --storeLoads;
            continue;
        }
        m_intents.erase(best->engine->id);
        if (best->isFromStore)
            --storeLoads;
        orders.push_back({PlannedOrder::Kind::Load, best->engine->id, wish.model->name,
                          best->isFromStore, wish.reason});
    }
    return orders;
}

} // namespace Gateway
