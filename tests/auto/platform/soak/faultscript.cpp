#include "faultscript.h"

#include "soakdeployment.h"

#include <net/reactor.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <map>

namespace Soak {

using StandIns::StandInWire;
using std::chrono::milliseconds;
using Utils::TimePoint;
using StoreMode = Emulator::EmulatedStore::Mode;

namespace {

using Kind = FaultScript::Kind;

constexpr std::array<const char *, 45> kindNames = {"gateway freeze",
                                                    "gateway kill",
                                                    "gateway stop",
                                                    "gateway hangup",
                                                    "gateway store silence",
                                                    "gateway store one way",
                                                    "gateway store reset",
                                                    "gateway store delay",
                                                    "store busy",
                                                    "store reset",
                                                    "store silent",
                                                    "store loses answers",
                                                    "store forgets history",
                                                    "engine crash",
                                                    "engine crash same name",
                                                    "engine leaves",
                                                    "engine sheds",
                                                    "engine loses answers",
                                                    "engine cuts streams",
                                                    "engine falls silent",
                                                    "engine slow",
                                                    "engine ignores orders",
                                                    "engine link delay",
                                                    "engine link reset",
                                                    "engine link silence",
                                                    "new configuration",
                                                    "route change",
                                                    "key withdrawn",
                                                    "gateway slow",
                                                    "gateway store slow",
                                                    "gateway store throttled",
                                                    "store slow",
                                                    "store lossy",
                                                    "caller burst",
                                                    "routes added",
                                                    "routes dropped",
                                                    "route added and used",
                                                    "key added",
                                                    "key dropped",
                                                    "engine names limit",
                                                    "store back from copy",
                                                    "all gateways restart",
                                                    "engine released",
                                                    "engine upgraded same name",
                                                    "engine version unlisted"};
/// What rows name in place of a software version; the duration of the fault selects one.
constexpr std::array<const char *, 4> oddVersions = {"", "2", "null", R"(["v1"])"};
/// Limits in requests per second; the duration of the fault selects one.
constexpr std::array<const char *, 5> rateLimits = {"0.5", "1", "2.3", "5", "20"};
/// Kinds that `draw` picks from.
constexpr size_t commonKinds = 28;

/// Remainders of the seed modulo `GrowthMixes`, which select the faults that accompany growth:
/// none, or those of one gateway; all with any other remainder.
constexpr std::uint64_t GrowthMixes = 3;
constexpr std::uint64_t GrowthAlone = 0;
constexpr std::uint64_t GrowthBesideOneGateway = 1;

constexpr milliseconds TickInterval(50);
/// A gateway that doesn't stop within this time is killed, as the platform does.
constexpr milliseconds StopTimeout(4200);
constexpr milliseconds LinkDelay(120);
/// Longer than a gateway waits before it considers an answer lost.
constexpr milliseconds SlowLinkDelay(700);
/// A slow gateway is alternately paused and running for these times.
constexpr milliseconds PausedTime(90);
constexpr milliseconds RunningTime(10);
constexpr milliseconds SlowProcessingTime(400);
/// At this rate, a configuration of hundreds of KB takes seconds.
constexpr double ThrottledMbitPerSecond = 2;
/// Time until the list of servers drops a server that ended without withdrawing its entry.
constexpr milliseconds EntryExpiryTime(3600);
/// From the end of an engine until it starts again under its id.
constexpr milliseconds UpgradeTime(150);
/// An engine that is leaving continues to serve for this time.
constexpr milliseconds DrainTime(5000);

auto isGatewayFault(Kind kind) -> bool
{
    return kind <= Kind::GatewayStoreDelay || kind == Kind::GatewaySlow
        || kind == Kind::GatewayStoreSlow || kind == Kind::GatewayStoreThrottled;
}

/// Faults that stop, pause or slow down a gateway's process.
auto isProcessFault(Kind kind) -> bool
{
    return kind <= Kind::GatewayStop || kind == Kind::GatewaySlow;
}

auto isStoreFault(Kind kind) -> bool
{
    return (kind >= Kind::StoreBusy && kind <= Kind::StoreForgetsHistory) || kind == Kind::StoreSlow
        || kind == Kind::StoreLossy || kind == Kind::StoreBackFromCopy;
}

auto isEngineFault(Kind kind) -> bool
{
    return kind >= Kind::EngineCrash && kind <= Kind::EngineLinkSilence;
}

auto isOperatorAction(Kind kind) -> bool
{
    return kind >= Kind::NewConfiguration && kind <= Kind::KeyWithdrawn;
}

/// Faults with a new version of an engine's software.
auto isVersionFault(Kind kind) -> bool
{
    return kind >= Kind::EngineReleased && kind <= Kind::EngineVersionUnlisted;
}

auto isLinkFault(Kind kind) -> bool
{
    return kind >= Kind::EngineLinkDelay && kind <= Kind::EngineLinkSilence;
}

} // namespace

auto FaultScript::draw(std::uint64_t seed, milliseconds length, size_t gateways, size_t engines)
    -> std::vector<Step>
{
    std::mt19937_64 random(seed);
    std::vector<Step> steps;
    constexpr int minGapMs = 150;
    constexpr int gapSpreadMs = 1500;
    constexpr int minDurationMs = 200;
    constexpr int durationSpreadMs = 4000;
    milliseconds at(minGapMs);
    while (at < length) {
        Step step;
        step.at = at;
        step.kind = static_cast<Kind>(random() % commonKinds);
        step.target = random() % (isGatewayFault(step.kind) ? gateways : engines);
        step.duration = milliseconds(minDurationMs + random() % durationSpreadMs);
        step.duration = std::min(step.duration, length - at);
        steps.push_back(step);
        at += milliseconds(minGapMs + random() % gapSpreadMs);
    }
    return steps;
}

auto FaultScript::drawSlowGateways(std::uint64_t seed, milliseconds length, size_t gateways)
    -> std::vector<Step>
{
    constexpr std::uint64_t seedOffset = 0x510000;
    std::mt19937_64 random(seed + seedOffset);
    std::vector<Step> steps;
    constexpr int gapMs = 3000;
    constexpr int minDurationMs = 2000;
    constexpr int durationSpreadMs = 5000;
    for (milliseconds at(random() % gapMs); at < length; at += milliseconds(random() % gapMs)) {
        Step step;
        step.at = at;
        step.kind = random() % 2 == 0 ? Kind::GatewaySlow : Kind::GatewayStoreSlow;
        step.target = random() % gateways;
        step.duration =
            std::min(milliseconds(minDurationMs + random() % durationSpreadMs), length - at);
        steps.push_back(step);
    }
    return steps;
}

auto FaultScript::drawLimits(std::uint64_t seed, milliseconds length, size_t engines)
    -> std::vector<Step>
{
    constexpr std::uint64_t seedOffset = 0x280000;
    std::mt19937_64 random(seed + seedOffset);
    std::vector<Step> steps;
    constexpr int gapMs = 3000;
    constexpr int minDurationMs = 4000;
    constexpr int durationSpreadMs = 8000;
    for (milliseconds at(random() % gapMs); at < length; at += milliseconds(random() % gapMs))
        steps.push_back(
            {at, Kind::EngineNamesLimit, random() % engines,
             std::min(milliseconds(minDurationMs + random() % durationSpreadMs), length - at)});
    return steps;
}

auto FaultScript::drawCopies(std::uint64_t seed, milliseconds length, size_t gateways,
                             size_t engines) -> std::vector<Step>
{
    constexpr std::uint64_t seedOffset = 0x320000;
    constexpr int minAgeMs = 500;
    constexpr int ageSpreadMs = 7501;
    constexpr int minDurationMs = 450;
    constexpr int durationSpreadMs = 1050;
    constexpr int minGapMs = 3000;
    constexpr int gapSpreadMs = 3000;
    constexpr int minFaultMs = 1500;
    constexpr int faultSpreadMs = 4000;
    constexpr int spreadAroundMs = 1500;
    constexpr milliseconds instant(1);
    constexpr std::array changes = {Kind::RouteAddedAndUsed, Kind::KeyAdded, Kind::KeyDropped};
    enum class Company { None, SecondCopy, HolderKill, HolderFreeze, LateOrders, CutOff, Restart };
    constexpr std::uint64_t companies = 7;
    std::mt19937_64 random(seed + seedOffset);
    std::vector<Step> steps;
    const auto drawMs = [&random](int spread) { return milliseconds(random() % spread); };
    const auto addChange = [&](milliseconds at) {
        const Kind kind = changes.at(random() % changes.size());
        steps.push_back({std::max(at, instant), kind, 1, instant});
    };
    const auto addCopy = [&](milliseconds at) {
        const Step step = {at, Kind::StoreBackFromCopy, minAgeMs + random() % ageSpreadMs,
                           milliseconds(minDurationMs) + drawMs(durationSpreadMs)};
        steps.push_back(step);
        addChange(at - drawMs(spreadAroundMs));
        addChange(at + 2 * step.duration / 3);
        addChange(at + step.duration + drawMs(spreadAroundMs));
        return at + step.duration;
    };
    // Faults beside a copy begin up to `spreadAroundMs` before it or after it.
    const auto addFault = [&](milliseconds copyAt, Kind kind, size_t target) {
        const auto at = copyAt + drawMs(2 * spreadAroundMs) - milliseconds(spreadAroundMs);
        steps.push_back({std::max(at, instant), kind, target,
                         milliseconds(minFaultMs) + drawMs(faultSpreadMs)});
    };
    for (auto at = drawMs(minGapMs); at < length; at += milliseconds(minGapMs)) {
        const auto company = static_cast<Company>(random() % companies);
        const auto copyAt = at;
        at = addCopy(at);
        switch (company) {
        case Company::None:
            break;
        case Company::SecondCopy:
            at = addCopy(at + drawMs(spreadAroundMs));
            break;
        case Company::HolderKill:
            addFault(copyAt, Kind::GatewayKill, HolderTarget);
            break;
        case Company::HolderFreeze:
            addFault(copyAt, Kind::GatewayFreeze, HolderTarget);
            break;
        case Company::LateOrders:
            for (size_t engine = 0; engine < engines; ++engine)
                addFault(copyAt, Kind::EngineLinkDelay, engine);
            addFault(copyAt, Kind::GatewayFreeze, HolderTarget);
            break;
        case Company::CutOff:
            for (size_t gateway = random() % 2; gateway < gateways; gateway += 2)
                addFault(copyAt, Kind::GatewayStoreSilence, gateway);
            break;
        case Company::Restart:
            addFault(copyAt, Kind::AllGatewaysRestart, 0);
            steps.back().duration = drawMs(minFaultMs);
            break;
        }
        at += drawMs(gapSpreadMs);
    }
    return steps;
}

auto FaultScript::drawVersions(std::uint64_t seed, milliseconds length, size_t gateways,
                               size_t engines) -> std::vector<Step>
{
    constexpr std::uint64_t seedOffset = 0x350000;
    constexpr int minDrainMs = 600;
    constexpr int drainSpreadMs = 1500;
    constexpr int minGapMs = 100;
    constexpr int gapSpreadMs = 800;
    constexpr int minPauseMs = 1500;
    constexpr int pauseSpreadMs = 3000;
    constexpr int minFaultMs = 300;
    constexpr int faultSpreadMs = 1700;
    constexpr size_t maxCompanies = 3;
    enum class Company {
        SecondRelease,
        LateRows,
        Unlisted,
        AllKilled,
        KilledInTurn,
        CutOff,
        Crashes,
        CutStreams
    };
    constexpr std::uint64_t companies = 8;
    std::mt19937_64 random(seed + seedOffset);
    std::vector<Step> steps;
    const auto drawMs = [&random](int spread) { return milliseconds(random() % spread); };
    const auto faultTime = [&] { return milliseconds(minFaultMs) + drawMs(faultSpreadMs); };
    const auto addRelease = [&](milliseconds at) {
        const size_t first = random() % engines;
        const size_t count = random() % 3 == 0 ? engines : engines / 2;
        for (size_t i = 0; i < count; ++i) {
            steps.push_back({at, Kind::EngineReleased, (first + i) % engines,
                             milliseconds(minDrainMs) + drawMs(drainSpreadMs)});
            at += milliseconds(minGapMs) + drawMs(gapSpreadMs);
        }
        return at;
    };
    const auto addToEach = [&](Kind kind, size_t targets, milliseconds at, int spreadMs) {
        for (size_t target = random() % 2; target < targets; target += 1 + random() % 2)
            steps.push_back({at + drawMs(spreadMs), kind, target, faultTime()});
    };
    for (milliseconds at = drawMs(pauseSpreadMs); at < length;
         at += milliseconds(minPauseMs) + drawMs(pauseSpreadMs)) {
        const milliseconds from = at;
        at = addRelease(at);
        const auto spreadMs = static_cast<int>((at - from).count() + minFaultMs);
        for (auto more = 1 + random() % maxCompanies; more > 0; --more) {
            const milliseconds fault = from + drawMs(spreadMs);
            switch (static_cast<Company>(random() % companies)) {
            case Company::SecondRelease:
                at = std::max(at, addRelease(fault));
                break;
            case Company::LateRows:
                addToEach(Kind::EngineUpgradedUnderItsId, engines, fault, spreadMs);
                break;
            case Company::Unlisted:
                addToEach(Kind::EngineVersionUnlisted, engines, fault, spreadMs);
                break;
            case Company::AllKilled:
                steps.push_back({fault, Kind::AllGatewaysRestart, 0, faultTime()});
                break;
            case Company::KilledInTurn:
                addToEach(Kind::GatewayKill, gateways, fault, spreadMs);
                break;
            case Company::CutOff:
                addToEach(Kind::GatewayStoreSilence, gateways, fault, spreadMs);
                break;
            case Company::Crashes:
                addToEach(Kind::EngineCrashSameName, engines, fault, spreadMs);
                break;
            case Company::CutStreams:
                addToEach(Kind::EngineCutsStreams, engines, fault, spreadMs);
                break;
            }
        }
    }
    std::erase_if(steps, [&](const Step &step) { return step.at >= length; });
    for (Step &step : steps)
        step.duration = std::min(step.duration, length - step.at);
    return steps;
}

auto FaultScript::drawGrowth(std::uint64_t seed, milliseconds length, milliseconds faults,
                             size_t gateways) -> std::vector<Step>
{
    constexpr std::uint64_t seedOffset = 0x960000;
    std::mt19937_64 random(seed + seedOffset);
    constexpr int maxGapMs = 7000;
    constexpr int maxVersions = 4;
    constexpr int quickGapMs = 400;
    constexpr int minRoutes = 1000;
    constexpr int routesSpread = 1001;
    constexpr milliseconds instant(1);
    constexpr std::array smallChanges = {
        Kind::RouteAddedAndUsed, Kind::KeyAdded, Kind::KeyDropped, Kind::RouteAddedAndUsed,
        Kind::RoutesDropped,     Kind::KeyAdded, Kind::KeyDropped, Kind::RoutesAdded};
    std::vector<Step> steps;
    milliseconds at(random() % maxGapMs);
    while (at < length) {
        steps.push_back({at, Kind::RoutesAdded, minRoutes + random() % routesSpread, instant});
        for (auto more = random() % maxVersions; more > 0; --more) {
            at += milliseconds(2 + random() % quickGapMs);
            const Kind kind = smallChanges.at(random() % smallChanges.size());
            const size_t routes =
                kind == Kind::RoutesAdded ? minRoutes + random() % routesSpread : 1;
            steps.push_back({at, kind, routes, instant});
        }
        at += milliseconds(2 + random() % maxGapMs);
    }
    constexpr int disturbanceGapMs = 4000;
    constexpr int minDurationMs = 500;
    constexpr int durationSpreadMs = 3000;
    constexpr std::array disturbances = {Kind::CallerBurst, Kind::GatewayStoreThrottled,
                                         Kind::StoreSlow, Kind::StoreLossy};
    for (at = milliseconds(random() % disturbanceGapMs); at < faults;
         at += milliseconds(2 + random() % disturbanceGapMs)) {
        const Kind kind = disturbances.at(random() % disturbances.size());
        const Step step = {at, kind, random() % gateways,
                           milliseconds(minDurationMs + random() % durationSpreadMs)};
        if (mayAccompanyGrowth(seed, step, gateways))
            steps.push_back(step);
    }
    return steps;
}

auto FaultScript::mayAccompanyGrowth(std::uint64_t seed, const Step &step, size_t gateways) -> bool
{
    if (isOperatorAction(step.kind) || step.kind == Kind::CallerBurst)
        return true;
    if (seed % GrowthMixes == GrowthAlone)
        return false;
    const bool isOfOneGateway =
        isGatewayFault(step.kind) && step.target == seed / GrowthMixes % gateways;
    return isOfOneGateway || seed % GrowthMixes != GrowthBesideOneGateway;
}

auto FaultScript::describe(const Step &step) -> std::string
{
    std::array<char, 128> text = {};
    const std::string target = step.target == HolderTarget ? "holder" : std::to_string(step.target);
    std::snprintf(text.data(), text.size(), "%6.2f s  %-24s %s  for %.2f s",
                  Utils::toSeconds(step.at), kindNames.at(static_cast<size_t>(step.kind)),
                  target.c_str(), Utils::toSeconds(step.duration));
    return text.data();
}

FaultScript::FaultScript(SoakDeployment &deployment, std::vector<Step> steps)
    : m_deployment(deployment)
    , m_steps(std::move(steps))
{ }

auto FaultScript::start() -> void
{
    const auto self = shared_from_this();
    m_deployment.checker().noteStart(m_deployment.reactor().now());
    for (const Step &step : m_steps) {
        const auto active = std::make_shared<Step>(step);
        m_deployment.reactor().callAfter(step.at, [self, active] {
            if (active->target == HolderTarget)
                active->target = self->m_deployment.leaseHolder();
            self->m_active.push_back(*active);
            self->noteDisturbances();
            self->begin(*active);
        });
        m_deployment.reactor().callAfter(step.at + step.duration, [self, active] {
            self->noteDisturbances();
            std::erase(self->m_active, *active);
            self->end(*active);
        });
    }
    noteDisturbances();
    noteServingEngines();
}

auto FaultScript::noteServingEngines() -> void
{
    std::map<std::string, int> serving;
    const auto &engines = m_deployment.engines();
    for (size_t i = 0; i < m_deployment.modelEngines(); ++i) {
        const Emulator::EmulatedEngine &server = *engines[i].server;
        const bool isDisturbed =
            std::any_of(m_active.begin(), m_active.end(), [&](const Step &step) {
                return step.target == i && (isEngineFault(step.kind) || isVersionFault(step.kind));
            });
        const bool serves = engines[i].isUp && server.isUp() && server.isListedTruly()
            && server.listedState() == "ready" && !isDisturbed;
        serving[server.softwareVersion] += serves ? 1 : 0;
    }
    const TimePoint now = m_deployment.reactor().now();
    for (const auto &[version, count] : serving)
        m_deployment.checker().noteServing(version, count, now);
    m_deployment.reactor().callAfter(TickInterval,
                                     [self = shared_from_this()] { self->noteServingEngines(); });
}

/// Marks everything that an active fault affects as disturbed, until the faults have ended.
auto FaultScript::noteDisturbances() -> void
{
    const TimePoint now = m_deployment.reactor().now();
    for (const Step &step : m_active) {
        if (isStoreFault(step.kind) || step.kind == Kind::AllGatewaysRestart)
            m_deployment.checker().noteAllDisturbed(now);
        else if (isGatewayFault(step.kind))
            m_deployment.checker().noteDisturbed(step.target, now);
        else if (isLinkFault(step.kind))
            m_deployment.checker().noteLinkDisturbed(
                m_deployment.engines().at(step.target).server->id(), now);
        if (isProcessFault(step.kind))
            m_deployment.checker().noteProcessDisturbed(step.target);
        if (step.kind == Kind::AllGatewaysRestart) {
            for (size_t i = 0; i < m_deployment.gateways().size(); ++i)
                m_deployment.checker().noteProcessDisturbed(i);
        }
    }
    m_deployment.checkProcesses();
    m_deployment.reactor().callAfter(TickInterval, [self = shared_from_this()] {
        if (!self->m_active.empty())
            self->noteDisturbances();
    });
}

auto FaultScript::begin(const Step &step) -> void
{
    if (isGatewayFault(step.kind))
        return beginGatewayFault(step);
    if (isStoreFault(step.kind))
        return beginStoreFault(step);
    if (isEngineFault(step.kind))
        return beginEngineFault(step);
    if (step.kind == Kind::EngineReleased)
        return releaseEngine(step);
    if (step.kind == Kind::EngineUpgradedUnderItsId)
        return upgradeEngineUnderItsId(step);
    if (step.kind == Kind::EngineVersionUnlisted)
        return unlistVersion(step);
    if (step.kind == Kind::EngineNamesLimit) {
        const auto choice = static_cast<size_t>(step.duration.count()) % rateLimits.size();
        m_deployment.engines().at(step.target).server->behaviour.rateLimit = rateLimits.at(choice);
        return;
    }
    if (step.kind == Kind::AllGatewaysRestart) {
        for (SoakDeployment::Gateway &gateway : m_deployment.gateways()) {
            gateway.isExpectedToRun = false;
            gateway.process->signal(SIGKILL);
        }
        return;
    }
    beginOperatorAction(step);
}

auto FaultScript::beginOperatorAction(const Step &step) -> void
{
    switch (step.kind) {
    case Kind::NewConfiguration:
        return m_deployment.putConfiguration();
    case Kind::RouteChange:
        return m_deployment.toggleNewRoute();
    case Kind::KeyWithdrawn:
        return m_deployment.withdrawKey();
    case Kind::CallerBurst:
        return m_deployment.setBurstActive(true);
    case Kind::RoutesDropped:
        return m_deployment.dropRoutes();
    case Kind::KeyAdded:
        return m_deployment.addKey();
    case Kind::KeyDropped:
        return m_deployment.dropKey();
    default:
        m_deployment.addRoutes(static_cast<int>(step.target));
    }
}

auto FaultScript::beginGatewayFault(const Step &step) -> void
{
    SoakDeployment::Gateway &gateway = m_deployment.gateways().at(step.target);
    switch (step.kind) {
    case Kind::GatewayFreeze:
        return gateway.process->signal(SIGSTOP);
    case Kind::GatewayKill:
        gateway.isExpectedToRun = false;
        return gateway.process->signal(SIGKILL);
    case Kind::GatewayStop:
        gateway.isExpectedToRun = false;
        return gateway.process->signal(SIGTERM);
    case Kind::GatewayHangup:
        gateway.process->writeSettings(false, 3700);
        return gateway.process->signal(SIGHUP);
    case Kind::GatewayStoreSilence:
        return gateway.storeWire->setSilence(StandInWire::Silence::Both);
    case Kind::GatewayStoreOneWay:
        return gateway.storeWire->setSilence(StandInWire::Silence::FromTarget);
    case Kind::GatewayStoreReset:
        return gateway.storeWire->reset();
    case Kind::GatewayStoreThrottled:
        return gateway.throttledWire->setMbitPerSecond(ThrottledMbitPerSecond);
    case Kind::GatewaySlow:
        return runIntermittently(step);
    case Kind::GatewayStoreSlow:
        return gateway.storeWire->setDelay(SlowLinkDelay);
    default:
        return gateway.storeWire->setDelay(LinkDelay);
    }
}

auto FaultScript::beginStoreFault(const Step &step) -> void
{
    Emulator::EmulatedStore &store = m_deployment.store();
    switch (step.kind) {
    case Kind::StoreBusy:
        return store.setMode(StoreMode::Busy);
    case Kind::StoreReset:
        return store.setMode(StoreMode::Reset);
    case Kind::StoreSilent:
        return store.setMode(StoreMode::Silent);
    case Kind::StoreLosesAnswers:
        return store.setLosesAnswers(true);
    case Kind::StoreLossy:
        return store.setMode(StoreMode::Lossy);
    case Kind::StoreSlow:
        return delayStore(SlowLinkDelay);
    case Kind::StoreBackFromCopy:
        return beginCopy(step);
    default:
        return store.compact();
    }
}

/// The store is away for the first third of the fault. Operator and engines write again at its end.
auto FaultScript::beginCopy(const Step &step) -> void
{
    constexpr std::array awayModes = {StoreMode::Busy, StoreMode::Reset, StoreMode::Silent};
    m_deployment.store().setMode(awayModes.at(step.target % awayModes.size()));
    m_deployment.reactor().callAfter(step.duration / 3, [self = shared_from_this(), step] {
        const milliseconds age(step.target);
        self->m_deployment.store().restoreCopy(age);
        self->m_deployment.store().setMode(StoreMode::Normal);
        self->m_deployment.checker().noteStoreBack(age, self->m_deployment.reactor().now());
    });
}

auto FaultScript::delayStore(milliseconds delay) -> void
{
    for (SoakDeployment::Gateway &gateway : m_deployment.gateways())
        gateway.storeWire->setDelay(delay);
}

auto FaultScript::beginEngineFault(const Step &step) -> void
{
    SoakDeployment::Engine &engine = m_deployment.engines().at(step.target);
    auto &behaviour = engine.server->behaviour;
    switch (step.kind) {
    case Kind::EngineCrash:
    case Kind::EngineCrashSameName:
        engine.isUp = false;
        return engine.server->crash();
    case Kind::EngineLeaves:
        if (!engine.isUp)
            return;
        engine.server->announce("draining");
        m_deployment.checker().noteLeaving(engine.server->id(), m_deployment.reactor().now());
        return;
    case Kind::EngineSheds:
        behaviour.sheds = true;
        return;
    case Kind::EngineLosesAnswers:
        behaviour.losesAnswers = true;
        return;
    case Kind::EngineCutsStreams:
        behaviour.cutAfterEvents = 2;
        return;
    case Kind::EngineFallsSilent:
        behaviour.silentAfterEvents = 2;
        return;
    case Kind::EngineSlow:
        behaviour.processingTime = SlowProcessingTime;
        return;
    case Kind::EngineIgnoresOrders:
        behaviour.ignoresOrders = true;
        return;
    case Kind::EngineLinkDelay:
        return engine.wire->setDelay(LinkDelay);
    case Kind::EngineLinkReset:
        return engine.wire->reset();
    default:
        return engine.wire->setSilence(StandInWire::Silence::Both);
    }
}

/// The engine drains, and one with the next version of the software takes its place.
auto FaultScript::releaseEngine(const Step &step) -> void
{
    SoakDeployment::Engine &engine = m_deployment.engines().at(step.target);
    if (!engine.isUp)
        return;
    const std::string id = engine.server->id();
    engine.server->announce("draining");
    m_deployment.checker().noteLeaving(id, m_deployment.reactor().now());
    m_deployment.reactor().callAfter(step.duration,
                                     [self = shared_from_this(), &engine, id, index = step.target] {
                                         if (engine.server->id() != id || !engine.isUp)
                                             return;
                                         engine.server->withdraw();
                                         engine.server->crash();
                                         self->m_deployment.upgradeEngine(index);
                                         self->m_deployment.replaceEngine(index);
                                     });
}

/// The engine starts again under its id with the next version of the software; its row follows at
/// the end of the fault.
auto FaultScript::upgradeEngineUnderItsId(const Step &step) -> void
{
    SoakDeployment::Engine &engine = m_deployment.engines().at(step.target);
    if (!engine.isUp)
        return;
    const std::string id = engine.server->id();
    engine.isUp = false;
    engine.server->crash();
    engine.server->announcesModels = false;
    m_deployment.upgradeEngine(step.target);
    m_deployment.reactor().callAfter(UpgradeTime, [&engine, id] {
        if (engine.server->id() != id || engine.isUp)
            return;
        engine.server->restart(id, false);
        engine.isUp = true;
    });
    m_deployment.reactor().callAfter(UpgradeTime + step.duration, [&engine, id] {
        engine.server->announcesModels = true;
        if (engine.server->id() == id && engine.isUp)
            engine.server->announce();
    });
}

/// The engine's row names no software version, or something that is none.
auto FaultScript::unlistVersion(const Step &step) -> void
{
    SoakDeployment::Engine &engine = m_deployment.engines().at(step.target);
    if (!engine.isUp)
        return;
    const auto choice = static_cast<size_t>(step.duration.count()) % oddVersions.size();
    engine.server->listedVersion = oddVersions.at(choice);
    engine.server->announce(engine.server->listedState());
    m_deployment.reactor().callAfter(step.duration, [&engine] {
        engine.server->listedVersion.reset();
        if (engine.isUp)
            engine.server->announce(engine.server->listedState());
    });
}

auto FaultScript::end(const Step &step) -> void
{
    SoakDeployment::Gateway *gateway =
        isGatewayFault(step.kind) ? &m_deployment.gateways().at(step.target) : nullptr;
    switch (step.kind) {
    case Kind::GatewayFreeze:
        return gateway->process->signal(SIGCONT);
    case Kind::GatewayKill:
        return restartGateway(step.target);
    case Kind::GatewayStop:
        return awaitStop(step.target, m_deployment.reactor().now() + StopTimeout);
    case Kind::AllGatewaysRestart:
        for (size_t i = 0; i < m_deployment.gateways().size(); ++i)
            restartGateway(i);
        return;
    case Kind::StoreBackFromCopy:
        m_deployment.store().rewriteLost();
        return m_deployment.checker().noteLostRowsWritten(m_deployment.reactor().now());
    case Kind::GatewayStoreSilence:
    case Kind::GatewayStoreOneWay:
        return gateway->storeWire->setSilence(StandInWire::Silence::None);
    case Kind::GatewayStoreDelay:
    case Kind::GatewayStoreSlow:
        return gateway->storeWire->setDelay(milliseconds(0));
    case Kind::GatewayStoreThrottled:
        return gateway->throttledWire->setMbitPerSecond(gateway->baseMbitPerSecond);
    case Kind::EngineNamesLimit:
        return m_deployment.engines().at(step.target).server->behaviour.rateLimit.clear();
    case Kind::CallerBurst:
        return m_deployment.setBurstActive(false);
    case Kind::StoreBusy:
    case Kind::StoreReset:
    case Kind::StoreSilent:
    case Kind::StoreLossy:
        return m_deployment.store().setMode(StoreMode::Normal);
    case Kind::StoreSlow:
        return delayStore(milliseconds(0));
    case Kind::StoreLosesAnswers:
        return m_deployment.store().setLosesAnswers(false);
    default:
        break;
    }
    if (isEngineFault(step.kind))
        endEngineFault(step);
}

auto FaultScript::endEngineFault(const Step &step) -> void
{
    SoakDeployment::Engine &engine = m_deployment.engines().at(step.target);
    Emulator::EmulatedEngine &server = *engine.server;
    const std::string id = server.id();
    const auto after = [this, &engine, id](milliseconds delay, const std::function<void()> &act) {
        m_deployment.reactor().callAfter(delay, [&engine, id, act, self = shared_from_this()] {
            // Another fault may have replaced the engine in the meantime.
            if (engine.server->id() == id)
                act();
        });
    };
    const size_t index = step.target;
    switch (step.kind) {
    case Kind::EngineCrash:
        return after(EntryExpiryTime, [this, index] { m_deployment.replaceEngine(index); });
    case Kind::EngineCrashSameName:
        engine.isUp = true;
        return server.restart(id);
    case Kind::EngineLeaves:
        return after(DrainTime, [this, &engine, index] {
            engine.server->withdraw();
            engine.server->crash();
            m_deployment.replaceEngine(index);
        });
    case Kind::EngineLinkDelay:
        return engine.wire->setDelay(milliseconds(0));
    case Kind::EngineLinkSilence:
        return engine.wire->setSilence(StandInWire::Silence::None);
    default:
        server.behaviour = engine.usualBehaviour;
    }
}

/// Alternately pauses and resumes the process while the fault lasts.
auto FaultScript::runIntermittently(const Step &step) -> void
{
    if (std::find(m_active.begin(), m_active.end(), step) == m_active.end())
        return;
    m_deployment.gateways().at(step.target).process->signal(SIGSTOP);
    m_deployment.reactor().callAfter(PausedTime, [self = shared_from_this(), step] {
        self->m_deployment.gateways().at(step.target).process->signal(SIGCONT);
        self->m_deployment.reactor().callAfter(RunningTime,
                                               [self, step] { self->runIntermittently(step); });
    });
}

auto FaultScript::restartGateway(size_t index) -> void
{
    SoakDeployment::Gateway &gateway = m_deployment.gateways().at(index);
    if (gateway.isExpectedToRun)
        return;
    gateway.process->signal(SIGKILL);
    while (gateway.process->isRunning()) { }
    if (const auto started = m_deployment.startGateway(index, false); !started)
        std::printf("cannot start a gateway: %s\n", started.error().c_str());
}

auto FaultScript::awaitStop(size_t index, TimePoint deadline) -> void
{
    SoakDeployment::Gateway &gateway = m_deployment.gateways().at(index);
    const TimePoint now = m_deployment.reactor().now();
    m_deployment.checker().noteDisturbed(index, now);
    m_deployment.checker().noteProcessDisturbed(index);
    if (gateway.process->isRunning() && now < deadline) {
        m_deployment.reactor().callAfter(
            TickInterval,
            [self = shared_from_this(), index, deadline] { self->awaitStop(index, deadline); });
        return;
    }
    if (!gateway.process->isRunning() && gateway.process->exitStatus() != 0
        && gateway.process->exitStatus() != 128 + SIGKILL)
        m_deployment.checker().noteProcessEnded(index, gateway.process->exitStatus());
    restartGateway(index);
}

} // namespace Soak
