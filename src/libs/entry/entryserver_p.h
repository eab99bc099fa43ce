#pragma once

#include "entryserver.h"

#include "backenddirectory.h"
#include "callerrequest.h"
#include "contractcharger.h"
#include "decisionlog.h"
#include "entryconstants.h"

#include <admission/admissionconstants.h>
#include <monitoring/metrics.h>
#include <net/periodictimer.h>
#include <net/reactor.h>
#include <node/crashsuspectregistry.h>
#include <node/fleetnode.h>
#include <node/operatorserver.h>
#include <protocol/codec.h>
#include <routing/outcome.h>
#include <routing/retrybudget.h>
#include <routing/routingconstants.h>
#include <utils/eventlog.h>
#include <utils/hashing.h>

#include <map>

namespace Entry {

using Admission::makeRefusal;
using Admission::Ran;
using Admission::Refusal;
using Admission::RefusalReason;
using nlohmann::json;
using Routing::AttemptEnd;
using Routing::NextStep;
using RequestPointer = std::shared_ptr<CallerRequest>;

inline constexpr std::chrono::milliseconds deregistrationTimeout(1500);
inline constexpr std::chrono::seconds shortRetryDelay(1);
inline constexpr int requestIdBytes = 12;

/// True if another backend server might accept the request.
inline auto isRetryable(RefusalReason reason) -> bool
{
    switch (reason) {
    case RefusalReason::NoBackendServer:
    case RefusalReason::QueueFull:
    case RefusalReason::WouldMissDeadline:
    case RefusalReason::NotFresh:
    case RefusalReason::Draining:
    case RefusalReason::LoadFailed:
    case RefusalReason::BackendFailed:
        return true;
    default:
        return false;
    }
}

inline auto attemptEndOf(const Refusal &refusal) -> AttemptEnd
{
    return refusal.ran == Ran::No ? AttemptEnd::RefusedNotRun : AttemptEnd::FailedAfterDispatch;
}

struct EntryServer::Private
{
    EntrySettings settings;
    std::unique_ptr<Node::FleetNode> node;
    std::unique_ptr<ContractCharger> contracts;
    std::unique_ptr<Node::CrashSuspectRegistry> suspectRegistry;
    std::unique_ptr<BackendDirectory> directory;
    std::unique_ptr<Net::HttpServer> callerServer;
    std::unique_ptr<Node::OperatorServer> operatorServer;
    std::unique_ptr<Net::PeriodicTimer> instanceListTimer;
    std::unique_ptr<Net::PeriodicTimer> sweepTimer;
    Routing::RetryBudget retryBudget;
    DecisionLog decisions{Constants::MaxKeptDecisions};
    std::map<std::string, RequestPointer> openRequests;
    bool isDraining = false;
    std::function<void()> onDrained;

    explicit Private(const EntrySettings &entrySettings)
        : settings(entrySettings)
        , retryBudget(entrySettings.retryRatio, Routing::Constants::MaxSavedRetries)
    { }

    auto now() const -> Utils::TimePoint { return node->reactor().now(); }
    auto handle(const std::shared_ptr<Net::HttpExchange> &exchange) -> void;
    auto refuseEarly(Net::HttpExchange &exchange, const std::string &id, const Refusal &refusal)
        -> void;
    auto answerStatus(Net::HttpExchange &exchange, const std::string &id) -> void;
    auto accept(const RequestPointer &request) -> void;
    auto charge(const RequestPointer &request) -> void;
    auto handleCharge(const RequestPointer &request, const Contracts::ChargeResult &result) -> void;
    auto sendToNextServer(const RequestPointer &request) -> void;
    auto choices(const CallerRequest &request) const -> std::vector<BackendChoice>;
    auto send(const RequestPointer &request, const BackendChoice &choice) -> void;
    auto resume(const RequestPointer &request) -> void;
    auto callAgent(const RequestPointer &request, const std::string &path, const json &body)
        -> void;
    auto handleMessage(const RequestPointer &request, int attempt, const std::string &message)
        -> void;
    auto handleEvent(const RequestPointer &request, const Protocol::AnswerBegun &event) -> void;
    auto handleEvent(const RequestPointer &request, const Protocol::AnswerData &event) -> void;
    auto handleEvent(const RequestPointer &request, const Protocol::AnswerEnded &event) -> void;
    auto handleEvent(const RequestPointer &request, const Refusal &event) -> void;
    auto handleOutcome(const RequestPointer &request, int attempt, Links::LinkOutcome outcome)
        -> void;
    auto handleAttemptEnd(const RequestPointer &request, AttemptEnd end) -> void;
    auto retryElsewhere(const RequestPointer &request, const std::string &reason) -> void;
    auto failRequest(const RequestPointer &request, Refusal refusal) -> void;
    auto cancelAtAgent(const RequestPointer &request) -> void;
    auto finish(const RequestPointer &request) -> void;
    auto refundUnused(const RequestPointer &request, bool wasRun) -> void;
    auto recheckAll() -> void;
    auto sweep() -> void;
    auto readInstanceList() -> void;
    auto recordDecision(const CallerRequest &request, const json &outcome) -> void;
    auto checkDrained() -> void;
    auto status() const -> json;
};

} // namespace Entry
