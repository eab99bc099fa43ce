#pragma once

#include "attempt.h"
#include "configurationhistory.h"

#include "../../shared/crashpartchecker.h"
#include "../../shared/ratelimitchecker.h"
#include "../../shared/streamversionchecker.h"

#include <platform/emulator/emulatedengine.h>
#include <utils/timepoint.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Soak {

/// Checks what callers and engines see against the guarantees of the gateways. Time bounds only
/// hold for gateways that have not been disturbed for a while; all other guarantees always hold.
class InvariantChecker
{
public:
    InvariantChecker(size_t gateways, double weightsMb, std::map<std::string, double> modelWeights);

    /// Sets the start of the soak; violations are reported in seconds since then.
    auto noteStart(Utils::TimePoint now) -> void;
    /// A fault affects the gateway, its links or its process at the time `now`.
    auto noteDisturbed(size_t gateway, Utils::TimePoint now) -> void;
    /// The gateway's process is stopped, paused or slow.
    auto noteProcessDisturbed(size_t gateway) -> void;
    /// A fault affects the store or anything else that all gateways depend on.
    auto noteAllDisturbed(Utils::TimePoint now) -> void;
    /// The store came back from a copy of that age, without what was written since.
    auto noteStoreBack(std::chrono::milliseconds age, Utils::TimePoint now) -> void;
    /// Operator and engines have written again what the store had lost.
    auto noteLostRowsWritten(Utils::TimePoint now) -> void;
    /// The link between an engine and all gateways is cut, delayed or reset.
    auto noteLinkDisturbed(const std::string &engine, Utils::TimePoint now) -> void;
    auto noteSent(const Attempt &attempt) -> void;
    auto noteEnd(const std::string &id, const AttemptEnd &end, Utils::TimePoint now) -> void;
    auto noteArrival(const Emulator::EmulatedEngine &engine,
                     const Emulator::EmulatedEngine::Arrival &arrival, Utils::TimePoint now)
        -> void;
    /// An engine crashes on a part of a prompt.
    auto noteCrashOnPart(Utils::TimePoint now) -> void { m_crashParts.noteCrash(now); }
    auto noteOrder(const Emulator::EmulatedEngine &engine,
                   const Emulator::EmulatedEngine::Order &order, Utils::TimePoint now) -> void;
    /// From `now` on, the list of servers shows that the engine is leaving or removed.
    auto noteLeaving(const std::string &engine, Utils::TimePoint now) -> void;
    /// From `now` on, this many engines with that software version serve without a fault.
    auto noteServing(const std::string &version, int engines, Utils::TimePoint now) -> void;
    /// Routes and keys that the operator adds and removes.
    auto history() -> ConfigurationHistory & { return m_history; }
    auto noteProcessStarted(size_t gateway, Utils::TimePoint now) -> void;
    /// Sets a customer's quota: tokens per second and burst.
    auto setQuota(const std::string &customer, double perSecond, double burst) -> void;
    auto noteProcessEnded(size_t gateway, int status) -> void;
    /// Share of the requests sent since `from` that succeeded, without those that were denied or
    /// over quota.
    auto servedShare(Utils::TimePoint from) const -> double;
    auto summary() const -> std::string;
    /// Checks the rules that count over the whole soak.
    auto checkTotals(Utils::TimePoint now) -> void;
    auto violations() const -> const std::vector<std::string> & { return m_violations; }

private:
    struct Record
    {
        Attempt attempt;
        int runs = 0;
        int sends = 0;
        int status = 0;
        bool hasEnded = false;
        Utils::TimePoint endedAt;
        bool isReportedNotRun = false;
        bool hasUnknownVersion = false; ///< Ran on an engine whose row doesn't name its version.
    };
    struct Quota
    {
        double perSecond = 0;
        double burst = 0;
        std::deque<std::pair<Utils::TimePoint, int>> used;
        double inWindow = 0;
    };
    struct LastOrder
    {
        std::string holder;
        Utils::TimePoint at;
    };
    /// The newest configuration whose effect an engine saw, by when it was written.
    struct NewestEffect
    {
        Utils::TimePoint writtenAt;
        Utils::TimePoint seenAt;
    };
    /// A time in which the store lacked configurations written after `copiedAt`.
    struct Copy
    {
        Utils::TimePoint copiedAt;
        Utils::TimePoint backAt;
        Utils::TimePoint rewrittenAt;
    };

    /// True if nothing has disturbed the gateway in the last `StableWindow` before `since`.
    auto isStable(size_t gateway, Utils::TimePoint since) const -> bool;
    auto reportViolation(const std::string &rule, const std::string &what, Utils::TimePoint now)
        -> void;
    auto checkSuccess(const Record &record, const AttemptEnd &end, Utils::TimePoint now) -> void;
    /// True if the gateway must have applied a change made at `since` when the attempt was sent.
    auto mustBeApplied(const Attempt &attempt, std::optional<Utils::TimePoint> since) const -> bool;
    /// True if the gateway has already shown a newer configuration than the one that changed a name
    /// at `since`, in the same process, some time before the attempt.
    auto hasShownNewer(const Attempt &attempt, std::optional<Utils::TimePoint> since) const -> bool;
    auto noteEffect(const Attempt &attempt, Utils::TimePoint now) -> void;
    /// True if the gateway may have read its first configuration from a copy without that change.
    auto mayHaveStartedFromCopy(size_t gateway, Utils::TimePoint since) const -> bool;
    auto checkFence(const std::string &engine, const std::string &holder, std::uint64_t fence,
                    Utils::TimePoint now) -> void;
    auto countCheckable(const Attempt &attempt) -> void;
    auto checkDenial(const Attempt &attempt, int status, Utils::TimePoint now) -> void;
    auto checkRun(Record &record, Utils::TimePoint now) -> void;
    auto checkRateLimit(const Emulator::EmulatedEngine &engine, size_t gateway,
                        Utils::TimePoint now) -> void;
    auto checkQuota(const Attempt &attempt, Utils::TimePoint now) -> void;
    auto checkStream(const Record &record, const AttemptEnd &end, Utils::TimePoint now) -> void;
    auto countStream(const Record &record, const AttemptEnd &end, bool hasEvents,
                     Utils::TimePoint now) -> void;
    auto countSound(const Record &record, const AttemptEnd &end, Utils::TimePoint now) -> void;
    auto checkTimeliness(const Record &record, const AttemptEnd &end, Utils::TimePoint now) -> void;

    double m_weightsMb;
    std::map<std::string, double> m_modelWeights;
    std::vector<Utils::TimePoint> m_disturbedAt; ///< By gateway.
    Utils::TimePoint m_allDisturbedAt;
    Utils::TimePoint m_startedAt;
    std::map<std::string, Utils::TimePoint> m_linkDisturbedAt; ///< By engine.
    std::map<std::string, Record> m_records;
    std::map<std::string, Utils::TimePoint> m_leavingSince; ///< By engine.
    ConfigurationHistory m_history;
    std::vector<Utils::TimePoint> m_processStartedAt; ///< By gateway.
    std::map<std::string, Quota> m_quotas;
    std::map<std::string, LastOrder> m_orders; ///< By engine.
    std::map<std::string, std::uint64_t> m_highestFence; ///< By engine.
    std::map<std::uint64_t, std::string> m_fenceHolders;
    std::vector<NewestEffect> m_newestEffects; ///< By gateway, of its present process.
    std::vector<Copy> m_copies;
    RateLimitChecker m_rateLimits;
    StreamVersionChecker m_streamVersions;
    CrashPartChecker m_crashParts;
    std::map<std::string, std::string> m_namedLimits; ///< By engine and incarnation.
    std::map<std::string, std::string> m_incarnations; ///< Newest of each engine.
    std::map<std::string, int> m_outcomes;
    int m_checkedPresent = 0; ///< Names used after their addition, or removal, had to be applied.
    int m_checkedRemoved = 0;
    int m_orderCount = 0;
    int m_changesOfHolder = 0; ///< Between two orders to one engine.
    /// Longest time for which an undisturbed gateway has denied something that was in force.
    Utils::Duration m_longestDenial{0};
    std::vector<std::string> m_violations;
};

} // namespace Soak
