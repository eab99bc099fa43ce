#pragma once

#include "attempt.h"
#include "configurationhistory.h"

#include <platform/emulator/emulatedengine.h>
#include <utils/timepoint.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Soak {

/// Checks what callers and engines see against what the gateways promise. Bounds in time hold for
/// gateways that nothing has disturbed for a while; the others hold always.
class InvariantChecker
{
public:
    InvariantChecker(size_t gateways, double weightsMb, std::map<std::string, double> modelWeights);

    /// Violations are told in seconds since then.
    auto noteStart(Utils::TimePoint now) -> void;
    /// A fault touches the gateway, its links or its process at this moment.
    auto noteDisturbed(size_t gateway, Utils::TimePoint now) -> void;
    /// A fault touches the store or what all gateways depend on.
    auto noteAllDisturbed(Utils::TimePoint now) -> void;
    /// The link between an engine and all gateways is cut, delayed or reset.
    auto noteLinkDisturbed(const std::string &engine, Utils::TimePoint now) -> void;
    auto noteSent(const Attempt &attempt) -> void;
    auto noteEnd(const std::string &id, const AttemptEnd &end, Utils::TimePoint now) -> void;
    auto noteArrival(const Emulator::EmulatedEngine &engine,
                     const Emulator::EmulatedEngine::Arrival &arrival, Utils::TimePoint now)
        -> void;
    auto noteOrder(const Emulator::EmulatedEngine &engine,
                   const Emulator::EmulatedEngine::Order &order, Utils::TimePoint now) -> void;
    /// The list of servers says since `now` that the engine leaves or is gone.
    auto noteLeaving(const std::string &engine, Utils::TimePoint now) -> void;
    /// Routes and keys that the operator adds and drops.
    auto history() -> ConfigurationHistory & { return m_history; }
    auto noteProcessStarted(size_t gateway, Utils::TimePoint now) -> void;
    /// Limits what a customer may use: tokens a second and at once.
    auto setQuota(const std::string &customer, double perSecond, double burst) -> void;
    auto noteProcessEnded(size_t gateway, int status) -> void;
    /// Share of the requests sent since `from` that were answered with success.
    auto servedShare(Utils::TimePoint from) const -> double;
    auto summary() const -> std::string;
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

    /// True if nothing has disturbed the gateway in the while before `since`.
    auto isStable(size_t gateway, Utils::TimePoint since) const -> bool;
    auto reportViolation(const std::string &rule, const std::string &what, Utils::TimePoint now)
        -> void;
    auto checkSuccess(const Record &record, const AttemptEnd &end, Utils::TimePoint now) -> void;
    /// True if the gateway must have the state that has held since then.
    auto mustBeApplied(const Attempt &attempt, std::optional<Utils::TimePoint> since) const -> bool;
    auto countCheckable(const Attempt &attempt) -> void;
    auto checkDenial(const Attempt &attempt, int status, Utils::TimePoint now) -> void;
    auto checkRun(Record &record, Utils::TimePoint now) -> void;
    auto checkQuota(const Attempt &attempt, Utils::TimePoint now) -> void;
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
    std::map<std::string, int> m_outcomes;
    int m_checkedPresent = 0; ///< Requests for what had been there, or gone, beyond the bound.
    int m_checkedRemoved = 0;
    /// Longest that a calm gateway has refused what was in force.
    Utils::Duration m_longestDenial{0};
    std::vector<std::string> m_violations;
};

} // namespace Soak
