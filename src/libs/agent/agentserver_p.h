#pragma once

#include "agentserver.h"

#include "agentconstants.h"
#include "fleetcoordinator.h"
#include "httpbackendserver.h"
#include "loadslots.h"
#include "modelmanager.h"
#include "runtable.h"

#include <admission/tokenestimate.h>
#include <monitoring/metrics.h>
#include <net/periodictimer.h>
#include <net/reactor.h>
#include <node/crashsuspectregistry.h>
#include <node/fleetnode.h>
#include <node/operatorserver.h>
#include <protocol/codec.h>
#include <utils/eventlog.h>
#include <utils/hashing.h>
#include <utils/wallclock.h>

#include <set>

namespace Agent {

using Admission::makeRefusal;
using Admission::Ran;
using Admission::Refusal;
using Admission::RefusalReason;
using ExchangePointer = std::shared_ptr<Links::LinkExchange>;

inline constexpr std::chrono::milliseconds sweepInterval(25);
inline constexpr std::chrono::milliseconds typicalServiceTime(200);
inline constexpr std::chrono::milliseconds deregistrationTimeout(1500);
inline constexpr std::chrono::seconds shortRetryDelay(1);

inline auto requirementOf(const Run &run) -> ModelRequirement
{
    return {run.request().model, run.request().adapter};
}

inline auto identityOf(const Run &run) -> Submissions::SubmissionIdentity
{
    const auto &request = run.request();
    return {request.customer, request.method + " " + request.path, request.submissionIdentity};
}

struct AgentServer::Private
{
    AgentSettings settings;
    std::unique_ptr<Node::FleetNode> node;
    std::unique_ptr<BackendServer> server;
    std::unique_ptr<LoadSlots> slots;
    std::unique_ptr<ModelManager> modelManager;
    std::unique_ptr<Node::CrashSuspectRegistry> suspectRegistry;
    std::unique_ptr<FleetCoordinator> coordinator;
    std::unique_ptr<Submissions::SubmissionKeeper> submissions;
    std::unique_ptr<Node::OperatorServer> operatorServer;
    std::unique_ptr<Net::PeriodicTimer> sweepTimer;
    Admission::AdmissionQueue queue;
    RunTable runs;
    std::vector<RunPointer> failedRuns; // Wait for the result of the probe.
    bool isProbing = false;
    std::uint64_t nextNumber = 1;
    bool isDraining = false;
    std::function<void()> onDrained;

    explicit Private(const AgentSettings &agentSettings)
        : settings(agentSettings)
        , queue(Admission::makeQueueOrder(agentSettings.queueOrder), agentSettings.slots,
                typicalServiceTime)
    { }

    auto now() const -> Utils::TimePoint { return node->reactor().now(); }
    auto handleRun(const ExchangePointer &exchange) -> void;
    auto handleResume(const ExchangePointer &exchange) -> void;
    auto handleCancel(const ExchangePointer &exchange) -> void;
    auto refusalFor(const Protocol::RunRequest &request) const -> std::optional<Refusal>;
    auto admit(const Protocol::RunRequest &request, const ExchangePointer &exchange) -> void;
    auto attach(const RunPointer &run, const ExchangePointer &exchange) -> void;
    auto refuseExchange(const ExchangePointer &exchange, const Refusal &refusal) -> void;
    auto isReady(const Admission::QueuedRequest &queued) const -> bool;
    auto suspicionOf(const Run &run) const -> Routing::Suspicion;
    auto startReadyRuns() -> void;
    auto start(const RunPointer &run) -> void;
    auto claim(const RunPointer &run) -> void;
    auto handleClaimResult(const RunPointer &run, const Submissions::BeginResult &result) -> void;
    auto dispatch(const RunPointer &run) -> void;
    auto handleDispatchEnd(const RunPointer &run, DispatchEnd end, const ServerAnswerHead &head)
        -> void;
    auto recordAnswer(const RunPointer &run, const ServerAnswerHead &head) -> void;
    auto handleServerFailure(const RunPointer &run) -> void;
    auto probeServer() -> void;
    auto classifyFailure(const Utils::Result<ServerStatus, std::string> &status) -> void;
    auto finish(const RunPointer &run, const std::optional<Refusal> &refusal) -> void;
    auto stop(const RunPointer &run, const Refusal &refusal) -> void;
    auto handleLoadFailure(const std::string &item, const Refusal &refusal) -> void;
    auto recheckAll() -> void;
    auto sweep() -> void;
    auto checkDrained() -> void;
    auto status() const -> nlohmann::json;
};

} // namespace Agent
