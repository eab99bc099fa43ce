#pragma once

#include "agentserver.h"

#include "agentconstants.h"
#include "dutyrunner.h"
#include "httpbackendserver.h"
#include "loadslots.h"
#include "modelkeeper.h"
#include "runtable.h"

#include <admission/tokenestimate.h>
#include <monitoring/metrics.h>
#include <net/periodictimer.h>
#include <net/reactor.h>
#include <node/fleetnode.h>
#include <node/operatorserver.h>
#include <node/strikeboard.h>
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

inline constexpr std::chrono::milliseconds sweepPeriod(25);
inline constexpr std::chrono::milliseconds typicalService(200);
inline constexpr std::chrono::milliseconds goodbyeLimit(1500);
inline constexpr std::chrono::seconds shortWait(1);

inline auto needOf(const Run &run) -> ModelNeed
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
    std::unique_ptr<ModelKeeper> keeper;
    std::unique_ptr<Node::StrikeBoard> strikes;
    std::unique_ptr<DutyRunner> duty;
    std::unique_ptr<Submissions::SubmissionKeeper> submissions;
    std::unique_ptr<Node::OperatorServer> operators;
    std::unique_ptr<Net::PeriodicTimer> sweepTimer;
    Admission::AdmissionQueue queue;
    RunTable runs;
    std::vector<RunPointer> failedRuns; // Wait to hear whether the server crashed.
    bool isProbing = false;
    std::uint64_t nextNumber = 1;
    bool isDraining = false;
    std::function<void()> drained;

    explicit Private(const AgentSettings &agentSettings)
        : settings(agentSettings)
        , queue(Admission::makeQueueOrder(agentSettings.queueOrder), agentSettings.slots,
                typicalService)
    { }

    auto now() const -> Utils::TimePoint { return node->reactor().now(); }
    auto takeRun(const ExchangePointer &exchange) -> void;
    auto takeResume(const ExchangePointer &exchange) -> void;
    auto takeCancel(const ExchangePointer &exchange) -> void;
    auto whyNot(const Protocol::RunRequest &request) const -> std::optional<Refusal>;
    auto admit(const Protocol::RunRequest &request, const ExchangePointer &exchange) -> void;
    auto attach(const RunPointer &run, const ExchangePointer &exchange) -> void;
    auto refuseExchange(const ExchangePointer &exchange, const Refusal &refusal) -> void;
    auto isReady(const Admission::QueuedRequest &queued) const -> bool;
    auto suspicionOf(const Run &run) const -> Routing::Suspicion;
    auto pump() -> void;
    auto start(const RunPointer &run) -> void;
    auto claim(const RunPointer &run) -> void;
    auto takeClaim(const RunPointer &run, const Submissions::BeginResult &result) -> void;
    auto dispatch(const RunPointer &run) -> void;
    auto takeDispatchEnd(const RunPointer &run, DispatchEnd end, const ServerAnswerHead &head)
        -> void;
    auto recordAnswer(const RunPointer &run, const ServerAnswerHead &head) -> void;
    auto fail(const RunPointer &run) -> void;
    auto probeServer() -> void;
    auto judgeFailure(const Utils::Result<ServerStatus, std::string> &status) -> void;
    auto finish(const RunPointer &run, const std::optional<Refusal> &refusal) -> void;
    auto stop(const RunPointer &run, const Refusal &refusal) -> void;
    auto takeLoadFailure(const std::string &item, const Refusal &refusal) -> void;
    auto recheckAll() -> void;
    auto sweep() -> void;
    auto checkDrained() -> void;
    auto status() const -> nlohmann::json;
};

} // namespace Agent
