#include "swapplanner.h"

#include <algorithm>
#include <cmath>

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
/// What a copy for later is worth at least, in requests a second: it replaces only surplus or idle
/// models.
constexpr double LeastStockWorth = 0.02;
/// How likely an engine with a copy is to leave before another copy could be loaded.
constexpr double LeavingShare = 0.5;
/// Copies of a model that is asked for, besides one for each engine that its rate takes: the model
/// outlives the end of any one engine.
constexpr int SpareCopies = 1;
/// Loads from the weight store that those for later leave to models that are waited for.
constexpr int UrgentStoreLoads = 1;
/// Requests that have waited this long no longer wait for a copy at a busy engine.
constexpr double LongestWaitForBusyMs = 2000;

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

auto isLoadingFromStore(const PlannedEngine &engine) -> bool
{
    return !engine.coming.empty() && engine.copiesInMemory.count(engine.coming) == 0
        && engine.copiesOnDisk.count(engine.coming) == 0;
}

} // namespace

auto SwapPlanner::lookUp(const Input &input) const -> Lookup
{
    Lookup lookup;
    lookup.adapterRoomMb = adapterRoom(*input.description);
    for (const PlannedEngine &engine : input.engines) {
        if (!engine.coming.empty())
            lookup.coming.insert(engine.coming);
        for (const std::string &model : engine.models)
            ++lookup.holders[model];
        std::set<std::string> copied = engine.models;
        copied.insert(engine.copiesInMemory.begin(), engine.copiesInMemory.end());
        copied.insert(engine.copiesOnDisk.begin(), engine.copiesOnDisk.end());
        for (const std::string &model : copied)
            ++lookup.copies[model];
        double &room = lookup.diskRoomMb[engine.id];
        room = input.description->diskMb;
        for (const std::string &model : engine.copiesOnDisk)
            room -= weightsOf(*input.description, model);
        if (!engine.isBusy)
            lookup.mostDiskRoomMb = std::max(lookup.mostDiskRoomMb, room);
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

auto SwapPlanner::demandWishes(const Input &input, const Lookup &lookup) const -> std::vector<Wish>
{
    std::vector<Wish> wishes;
    for (const auto &[name, demand] : input.demand) {
        const auto model = input.description->models.find(name);
        if (model == input.description->models.end())
            continue;
        const auto heldAt = lookup.holders.find(name);
        const int held = heldAt == lookup.holders.end() ? 0 : heldAt->second;
        Wish wish;
        wish.model = &model->second;
        wish.longestWaitMs = demand.longestWaitMs;
        wish.reason = "crowded";
        if (held == 0 && demand.waiting > 0) {
            wish.worth = demand.perSecond + WaitingWeight * demand.waiting;
            wish.reason = "waiting";
            wish.isUrgent = true;
        } else if (held > 0 && demand.waiting >= WaitingForAnotherEngine * held) {
            wish.worth = WaitingWeight * demand.waiting / 2;
        } else if (held > 0 && demand.perSecond - RatePerEngine * held > LeastCrowding) {
            wish.worth = CrowdingWeight * (demand.perSecond - RatePerEngine * held);
        } else {
            continue;
        }
        wishes.push_back(wish);
    }
    std::stable_sort(wishes.begin(), wishes.end(),
                     [](const Wish &a, const Wish &b) { return a.worth > b.worth; });
    return wishes;
}

/// Models with fewer copies than are to be kept, those first that would be missed most.
auto SwapPlanner::stockWishes(const Input &input, const Lookup &lookup) const -> std::vector<Wish>
{
    std::vector<Wish> wishes;
    for (const auto &[name, model] : input.description->models) {
        const auto asked = input.demand.find(name);
        const auto found = lookup.copies.find(name);
        const int copies = found == lookup.copies.end() ? 0 : found->second;
        const double rate = asked == input.demand.end() ? 0 : asked->second.perSecond;
        const int target = asked == input.demand.end()
            ? 1
            : static_cast<int>(std::ceil(rate / RatePerEngine)) + SpareCopies;
        if (copies >= target)
            continue;
        Wish wish;
        wish.model = &model;
        wish.worth = std::max(rate * std::pow(LeavingShare, copies), LeastStockWorth);
        wish.reason = PrefetchReason;
        wishes.push_back(wish);
    }
    return wishes;
}

/// A copy at an engine that is busy for a moment is nearer than the weight store.
auto SwapPlanner::isCopyNear(const Input &input, const Lookup &lookup, const Wish &wish) const
    -> bool
{
    if (wish.longestWaitMs > LongestWaitForBusyMs)
        return false;
    const std::string &name = wish.model->name;
    return std::any_of(input.engines.begin(), input.engines.end(), [&](const auto &engine) {
        if (!engine.isBusy || isLoadingFromStore(engine) || engine.models.count(name) > 0)
            return false;
        const auto candidate = judge(input, lookup, engine, *wish.model, wish.worth);
        return candidate && !candidate->isFromStore;
    });
}

auto SwapPlanner::order(const Input &input, const Wish &wish, const Candidate &candidate,
                        Round &round) -> void
{
    const std::string &engine = candidate.engine->id;
    round.used.insert(engine);
    if (!candidate.victims.empty()) {
        m_intents[engine] = {wish.model->name, input.now + IntentLifetime};
        round.orders.push_back({PlannedOrder::Kind::Unload, engine, candidate.victims.front(),
                                false, wish.reason + ":" + wish.model->name});
        return;
    }
    m_intents.erase(engine);
    if (candidate.isFromStore && !wish.isUrgent)
        m_stockLoads[engine] = wish.model->name;
    round.orders.push_back(
        {PlannedOrder::Kind::Load, engine, wish.model->name, candidate.isFromStore, wish.reason});
}

/// False if the weight store would have to give the model.
auto SwapPlanner::loadFromCopy(const Input &input, const Lookup &lookup, const Wish &wish,
                               Round &round) -> bool
{
    if (round.beingMadeRoomFor.count(wish.model->name) > 0)
        return true;
    std::optional<Candidate> best;
    for (const PlannedEngine &engine : input.engines) {
        if (engine.isBusy || round.used.count(engine.id) > 0
            || engine.models.count(wish.model->name) > 0)
            continue;
        auto candidate = judge(input, lookup, engine, *wish.model, wish.worth);
        if (!candidate || candidate->isFromStore)
            continue;
        const auto intent = m_intents.find(engine.id);
        if (intent != m_intents.end() && intent->second.model == wish.model->name)
            candidate->seconds -= 0.5;
        candidate->seconds += candidate->loss + RateWeight * lookup.rates.at(engine.id);
        if (!best || candidate->seconds < best->seconds)
            best = candidate;
    }
    if (best) {
        order(input, wish, *best, round);
        return true;
    }
    const bool isNear = isCopyNear(input, lookup, wish);
    if (isNear && wish.isUrgent)
        ++round.nearCopies;
    return isNear;
}

auto SwapPlanner::loadFromStore(const Input &input, const Lookup &lookup, const Wish &wish,
                                Round &round) -> void
{
    // Loads from the store slow each other down: a second copy comes after the first.
    if (lookup.coming.count(wish.model->name) > 0
        || (wish.isUrgent ? round.storeLoads : std::min(round.storeLoads, round.stockLoads)) <= 0)
        return;
    // On a full disk the copy takes the place of another one.
    const bool needsDiskRoom = input.description->diskMb > 0 && !wish.isUrgent
        && lookup.copies.count(wish.model->name) > 0;
    if (needsDiskRoom && lookup.mostDiskRoomMb < wish.model->weightsMb)
        return;
    std::optional<Candidate> best;
    int able = 0;
    for (const PlannedEngine &engine : input.engines) {
        if (engine.isBusy || round.used.count(engine.id) > 0)
            continue;
        auto candidate = judge(input, lookup, engine, *wish.model, wish.worth);
        if (!candidate)
            continue;
        ++able;
        if (!candidate->isFromStore || engine.models.count(wish.model->name) > 0)
            continue;
        if (needsDiskRoom && lookup.diskRoomMb.at(engine.id) < wish.model->weightsMb)
            continue;
        const auto intent = m_intents.find(engine.id);
        if (intent != m_intents.end() && intent->second.model == wish.model->name)
            candidate->seconds -= 0.5;
        candidate->seconds += candidate->loss + RateWeight * lookup.rates.at(engine.id);
        if (!best || candidate->seconds < best->seconds)
            best = candidate;
    }
    // Requests whose copy stays busy too long take another engine; one is left to each.
    if (!best || (!wish.isUrgent && able <= std::min(round.nearCopies, round.storeLoads)))
        return;
    order(input, wish, *best, round);
    --round.storeLoads;
    if (!wish.isUrgent)
        --round.stockLoads;
}

auto SwapPlanner::beginRound(const Input &input) -> Round
{
    Round round;
    round.storeLoads = input.storeLoadsAllowed;
    std::erase_if(m_intents, [&](const auto &item) { return item.second.until <= input.now; });
    int running = 0;
    std::map<std::string, std::string> stockLoads;
    for (const PlannedEngine &engine : input.engines) {
        const auto intent = m_intents.find(engine.id);
        if (intent != m_intents.end() && engine.isBusy)
            round.beingMadeRoomFor.insert(intent->second.model);
        running += isLoadingFromStore(engine);
        const auto stocked = m_stockLoads.find(engine.id);
        if (stocked != m_stockLoads.end() && stocked->second == engine.coming)
            stockLoads.insert(*stocked);
    }
    m_stockLoads = std::move(stockLoads);
    round.stockLoads = input.storeLoadsAllowed;
    if (!input.demand.empty())
        round.stockLoads += running - static_cast<int>(m_stockLoads.size()) - UrgentStoreLoads;
    return round;
}

auto SwapPlanner::plan(const Input &input) -> std::vector<PlannedOrder>
{
    const Lookup lookup = lookUp(input);
    Round round = beginRound(input);
    const auto idle = std::count_if(input.engines.begin(), input.engines.end(),
                                    [](const auto &engine) { return !engine.isBusy; });
    std::vector<Wish> fromStore;
    for (const Wish &wish : demandWishes(input, lookup)) {
        if (static_cast<long>(round.used.size()) >= idle)
            return round.orders;
        if (!loadFromCopy(input, lookup, wish, round) && wish.isUrgent)
            fromStore.push_back(wish);
    }
    if (round.storeLoads <= 0)
        return round.orders;
    for (Wish &wish : stockWishes(input, lookup))
        fromStore.push_back(std::move(wish));
    std::stable_sort(fromStore.begin(), fromStore.end(),
                     [](const Wish &a, const Wish &b) { return a.worth > b.worth; });
    for (const Wish &wish : fromStore) {
        if (round.storeLoads <= 0 || static_cast<long>(round.used.size()) >= idle)
            break;
        loadFromStore(input, lookup, wish, round);
    }
    return round.orders;
}

} // namespace Gateway
