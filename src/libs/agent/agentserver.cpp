#include "agentserver.h"

#include "agentconstants.h"
#include "dutyrunner.h"
#include "httpbackendserver.h"
#include "loadslots.h"
#include "modelkeeper.h"
#include "runtable.h"

#include <admission/tokenestimate.h>
#include <net/periodictimer.h>
#include <node/fleetnode.h>
#include <node/metrics.h>
#include <node/operatorserver.h>
#include <node/strikeboard.h>
#include <protocol/codec.h>
#include <utils/eventlog.h>
#include <utils/hashing.h>

#include <set>

namespace Agent {

using Admission::Ran;
using Admission::Refusal;
using Admission::RefusalReason;
using ExchangePointer = std::shared_ptr<Links::LinkExchange>;

namespace {

constexpr std::chrono::milliseconds sweepPeriod(25);
constexpr std::chrono::milliseconds typicalService(200);
constexpr std::chrono::milliseconds goodbyeLimit(1500);
constexpr std::chrono::seconds shortWait(1);

auto makeRefusal(RefusalReason reason, Ran ran, std::chrono::milliseconds retryAfter) -> Refusal
{
    return {reason, ran, retryAfter, {}, {}, {}, {}};
}

auto needOf(const Run &run) -> ModelNeed
{
    return {run.request().model, run.request().adapter};
}

auto identityOf(const Run &run) -> Submissions::SubmissionIdentity
{
    const auto &request = run.request();
    return {request.customer, request.method + " " + request.path, request.submissionIdentity};
}

auto wallClock() -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

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

auto AgentServer::Private::refuseExchange(const ExchangePointer &exchange, const Refusal &refusal)
    -> void
{
    node->metrics().count("acacia_refusals_total",
                          {{"reason", std::string(Admission::describe(refusal.reason).code)}});
    exchange->send(Protocol::encode(Protocol::toJson(Protocol::RunEvent(refusal))));
    exchange->finish();
}

auto AgentServer::Private::takeRun(const ExchangePointer &exchange) -> void
{
    const auto document = Protocol::decode(exchange->body());
    const auto request = document ? Protocol::runRequestFromJson(*document) : std::nullopt;
    if (!request) {
        refuseExchange(exchange, makeRefusal(RefusalReason::MalformedBody, Ran::No, {}));
        return;
    }
    if (const auto known = runs.find(request->requestId)) {
        attach(known, exchange);
        known->replay({request->requestId, 0, false});
        return;
    }
    node->metrics().count("acacia_requests_total");
    const auto refusal = whyNot(*request);
    if (refusal)
        refuseExchange(exchange, *refusal);
    else
        admit(*request, exchange);
}

auto AgentServer::Private::whyNot(const Protocol::RunRequest &request) const
    -> std::optional<Refusal>
{
    const auto &rules = node->state().rules();
    if (runs.isClosed(request.requestId))
        return makeRefusal(RefusalReason::DeadlinePassed, Ran::No, {});
    if (!node->mayAct())
        return makeRefusal(RefusalReason::NotFresh, Ran::No, shortWait);
    if (isDraining)
        return makeRefusal(RefusalReason::Draining, Ran::No, Constants::RetryPeriod);
    if (const auto *drain = rules.drain(settings.serverName))
        return Refusal{
            RefusalReason::Draining, Ran::No, Constants::RetryPeriod, {}, drain->source.text,
            drain->source.person,    {}};
    if (!request.customer.empty() && !rules.customerOfKey(request.keyHash))
        return makeRefusal(RefusalReason::KeyWithdrawn, Ran::No, {});
    for (const auto &crash : request.crashes)
        strikes->suspects().noteStrike(request.fingerprint, crash, now());
    if (strikes->suspects().suspicionOf(request.fingerprint, now()) == Routing::Suspicion::Refused)
        return makeRefusal(RefusalReason::CrashSuspect, Ran::No, {});
    if (request.model.empty())
        return std::nullopt;
    return keeper->whyNot({request.model, request.adapter});
}

auto AgentServer::Private::admit(const Protocol::RunRequest &request,
                                 const ExchangePointer &exchange) -> void
{
    const ModelNeed need{request.model, request.adapter};
    Admission::QueuedRequest queued;
    queued.id = nextNumber++;
    queued.customer = request.customer;
    queued.weight = request.weight;
    queued.cost = request.cost;
    queued.model = request.model;
    queued.arrivedAt = now();
    queued.deadline = now() + request.timeLeft;
    const bool isService = request.model.empty();
    const auto delay = isService ? Utils::Duration::zero() : keeper->expectedDelay(need);
    if (const auto refusal = queue.enqueue(queued, delay, now())) {
        refuseExchange(exchange, *refusal);
        return;
    }
    const auto run = std::make_shared<Run>(request, queued);
    runs.add(run);
    attach(run, exchange);
    if (!isService)
        keeper->want(need, queued.deadline);
    pump();
}

auto AgentServer::Private::attach(const RunPointer &run, const ExchangePointer &exchange) -> void
{
    run->attach(exchange);
    const std::weak_ptr<Run> weakRun = run;
    const std::weak_ptr<Links::LinkExchange> weakExchange = exchange;
    exchange->onClosed([this, weakRun, weakExchange] {
        node->reactor().callAfter(Constants::OrphanLifetime, [this, weakRun, weakExchange] {
            const auto orphan = weakRun.lock();
            const auto lost = weakExchange.lock();
            // Nobody came back for it on another connection.
            if (orphan && orphan->stage != Run::Stage::Ended && orphan->isAttachedTo(lost))
                stop(orphan, makeRefusal(RefusalReason::DeadlinePassed, Ran::Unknown, {}));
        });
    });
}

auto AgentServer::Private::takeResume(const ExchangePointer &exchange) -> void
{
    const auto document = Protocol::decode(exchange->body());
    const auto resume = document ? Protocol::resumeRequestFromJson(*document) : std::nullopt;
    if (!resume) {
        refuseExchange(exchange, makeRefusal(RefusalReason::MalformedBody, Ran::Unknown, {}));
        return;
    }
    const auto run = runs.find(resume->requestId);
    if (!run) {
        // It never came, and if it still comes over the old connection it will not be run.
        const bool wasClosed = !runs.closeId(resume->requestId, now());
        refuseExchange(exchange,
                       makeRefusal(RefusalReason::NoBackendServer,
                                   wasClosed ? Ran::Unknown : Ran::No, Constants::RetryPeriod));
        return;
    }
    attach(run, exchange);
    if (!run->replay(*resume))
        refuseExchange(exchange, makeRefusal(RefusalReason::BackendFailed, Ran::Yes, {}));
}

auto AgentServer::Private::takeCancel(const ExchangePointer &exchange) -> void
{
    const auto document = Protocol::decode(exchange->body());
    const auto cancel = document ? Protocol::resumeRequestFromJson(*document) : std::nullopt;
    exchange->finish();
    if (!cancel)
        return;
    const auto run = runs.find(cancel->requestId);
    if (run && run->stage != Run::Stage::Ended)
        stop(run, makeRefusal(RefusalReason::DeadlinePassed, Ran::Unknown, {}));
    else if (!run)
        runs.closeId(cancel->requestId, now());
}

auto AgentServer::Private::suspicionOf(const Run &run) const -> Routing::Suspicion
{
    return strikes->suspects().suspicionOf(run.request().fingerprint, now());
}

auto AgentServer::Private::isReady(const Admission::QueuedRequest &queued) const -> bool
{
    const Run &run = *runs.at(queued.id);
    const bool isSuspect = suspicionOf(run) != Routing::Suspicion::None;
    if (isSuspect && queue.running() > 0)
        return false;
    return run.isService() || keeper->isReady(needOf(run));
}

auto AgentServer::Private::pump() -> void
{
    const auto open = runs.open();
    const bool suspectRuns = std::any_of(open.begin(), open.end(), [this](const auto &run) {
        return run->stage != Run::Stage::Waiting && suspicionOf(*run) != Routing::Suspicion::None;
    });
    if (suspectRuns)
        return;
    while (const auto chosen = queue.next([this](const auto &queued) { return isReady(queued); })) {
        const RunPointer run = runs.at(chosen->id);
        const bool isSuspect = suspicionOf(*run) != Routing::Suspicion::None;
        start(run);
        if (isSuspect)
            return;
    }
}

auto AgentServer::Private::start(const RunPointer &run) -> void
{
    run->startedAt = now();
    run->stage = Run::Stage::Claiming;
    if (!run->isService())
        keeper->beginUse(needOf(*run));
    if (const auto refusal = whyNot(run->request())) {
        finish(run, *refusal);
        return;
    }
    if (run->request().submissionIdentity.empty())
        dispatch(run);
    else
        claim(run);
}

auto AgentServer::Private::claim(const RunPointer &run) -> void
{
    const auto &request = run->request();
    const auto timeLeft =
        std::chrono::duration_cast<std::chrono::milliseconds>(run->queued().deadline - now());
    submissions->begin(identityOf(*run), Utils::sha256Hex(request.body), timeLeft,
                       [this, run](const auto &result) { takeClaim(run, result); });
}

auto AgentServer::Private::takeClaim(const RunPointer &run, const Submissions::BeginResult &result)
    -> void
{
    if (const auto *mine = std::get_if<Submissions::RunNow>(&result)) {
        const bool tooLate =
            run->stage == Run::Stage::Ended || now() >= run->queued().deadline || !node->mayAct();
        if (!tooLate) {
            run->claim = *mine;
            dispatch(run);
            return;
        }
        submissions->abandon(identityOf(*run), *mine);
        if (run->stage != Run::Stage::Ended)
            finish(run, makeRefusal(RefusalReason::DeadlinePassed, Ran::No, shortWait));
        return;
    }
    if (run->stage == Run::Stage::Ended)
        return;
    if (const auto *answered = std::get_if<Submissions::AlreadyAnswered>(&result)) {
        run->begin({answered->answer.status, answered->answer.contentType}, 0);
        run->append(answered->answer.body);
        finish(run, std::nullopt);
        return;
    }
    switch (std::get<Submissions::NotNow>(result)) {
    case Submissions::NotNow::InProgress:
        finish(run, makeRefusal(RefusalReason::SubmissionInProgress, Ran::Unknown, shortWait));
        break;
    case Submissions::NotNow::Unknown:
        Utils::logEvent(Utils::Event::SubmissionUnknown, {{"requestId", run->request().requestId}});
        finish(run, makeRefusal(RefusalReason::SubmissionUnknown, Ran::Unknown, {}));
        break;
    case Submissions::NotNow::IdentityReused:
        finish(run, makeRefusal(RefusalReason::IdentityReused, Ran::No, {}));
        break;
    case Submissions::NotNow::StoreUnavailable:
        finish(run, makeRefusal(RefusalReason::StoreUnavailable, Ran::No, shortWait));
        break;
    }
}

auto AgentServer::Private::dispatch(const RunPointer &run) -> void
{
    run->stage = Run::Stage::Running;
    run->bootId = keeper->bootId();
    // The sweep ends it at its deadline; this only keeps the call from lasting for ever.
    const auto timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(run->queued().deadline - now())
        + std::chrono::seconds(5);
    const auto head = std::make_shared<ServerAnswerHead>();
    const bool isOnce = run->claim.has_value();
    DispatchCallbacks callbacks;
    callbacks.onHead = [this, run, head, isOnce](const ServerAnswerHead &received) {
        *head = received;
        if (!isOnce)
            run->begin(received, static_cast<int>(queue.waiting()));
    };
    // A submission's answer goes out only after it was recorded.
    const auto body = std::make_shared<std::string>();
    callbacks.onData = [run, body, isOnce](const std::string &bytes) {
        if (isOnce)
            *body += bytes;
        else
            run->append(bytes);
    };
    callbacks.onDone = [this, run, head, body, isOnce](DispatchEnd end) {
        if (isOnce && end == DispatchEnd::Answered) {
            run->begin(*head, static_cast<int>(queue.waiting()));
            run->append(*body);
        }
        takeDispatchEnd(run, end, *head);
    };
    run->dispatch = server->dispatch(run->request(), timeout, std::move(callbacks));
}

auto AgentServer::Private::takeDispatchEnd(const RunPointer &run, DispatchEnd end,
                                           const ServerAnswerHead &head) -> void
{
    run->dispatch = 0;
    if (run->stage == Run::Stage::Ended)
        return;
    if (end == DispatchEnd::Answered) {
        strikes->acquit(run->request().fingerprint);
        if (run->claim)
            recordAnswer(run, head);
        else
            finish(run, std::nullopt);
    } else if (end == DispatchEnd::NotSent) {
        if (run->claim)
            submissions->abandon(identityOf(*run), *run->claim);
        finish(run, makeRefusal(RefusalReason::NoBackendServer, Ran::No, shortWait));
    } else {
        fail(run);
    }
}

auto AgentServer::Private::recordAnswer(const RunPointer &run, const ServerAnswerHead &head) -> void
{
    const auto body = run->wholeBody();
    std::optional<Submissions::RecordedAnswer> answer;
    if (body)
        answer = {head.status, head.contentType, *body};
    submissions->finish(identityOf(*run), *run->claim, Utils::sha256Hex(run->request().body),
                        answer, [this, run](bool recorded) {
                            Utils::logEvent(
                                Utils::Event::SubmissionRecorded,
                                {{"requestId", run->request().requestId}, {"recorded", recorded}});
                            if (run->stage != Run::Stage::Ended)
                                finish(run, std::nullopt);
                        });
}

/// The server or the connection failed with the request in its hands: first find out whether it
/// crashed.
auto AgentServer::Private::fail(const RunPointer &run) -> void
{
    if (run->claim)
        submissions->finish(identityOf(*run), *run->claim, Utils::sha256Hex(run->request().body),
                            std::nullopt, [](bool) {});
    failedRuns.push_back(run);
    probeServer();
}

auto AgentServer::Private::probeServer() -> void
{
    if (std::exchange(isProbing, true))
        return;
    server->status([this](const auto &status) {
        isProbing = false;
        judgeFailure(status);
    });
}

auto AgentServer::Private::judgeFailure(const Utils::Result<ServerStatus, std::string> &status)
    -> void
{
    const auto failed = std::exchange(failedRuns, {});
    std::string crash;
    const bool hasCrashed =
        !failed.empty() && (!status || status->bootId != failed.front()->bootId);
    if (hasCrashed) {
        crash = settings.serverName + "/" + failed.front()->bootId;
        std::set<std::string> fingerprints;
        for (const auto &run : failed)
            fingerprints.insert(run->request().fingerprint);
        Utils::logEvent(Utils::Event::CrashSuspected,
                        {{"crash", crash}, {"fingerprints", fingerprints}});
        node->metrics().count("acacia_engine_crashes_total");
        strikes->report({fingerprints.begin(), fingerprints.end()}, crash);
        keeper->noteRestart();
    }
    for (const auto &run : failed) {
        Refusal refusal = makeRefusal(RefusalReason::BackendFailed, Ran::Unknown, shortWait);
        refusal.crash = crash;
        if (run->stage != Run::Stage::Ended)
            finish(run, refusal);
    }
}

/// Ends a run that was taken from the queue.
auto AgentServer::Private::finish(const RunPointer &run, const std::optional<Refusal> &refusal)
    -> void
{
    runs.markEnded(run, now());
    const auto tail = run->wholeBody().value_or(std::string());
    const double generated =
        refusal ? 0 : Admission::reportedTokens(tail).value_or(run->queued().cost);
    queue.finish(run->queued(), generated, now() - run->startedAt);
    if (!run->isService())
        keeper->endUse(needOf(*run));
    if (refusal) {
        node->metrics().count("acacia_refusals_total",
                              {{"reason", std::string(Admission::describe(refusal->reason).code)}});
        run->refuse(*refusal);
    } else {
        node->metrics().count("acacia_answers_total");
        run->end();
    }
    pump();
    checkDrained();
}

/// Ends a run at whatever stage it is.
auto AgentServer::Private::stop(const RunPointer &run, const Refusal &refusal) -> void
{
    if (run->stage == Run::Stage::Ended)
        return;
    if (run->stage == Run::Stage::Waiting) {
        queue.remove(run->queued().id);
        Refusal notRun = refusal;
        notRun.ran = Ran::No;
        runs.markEnded(run, now());
        run->refuse(notRun);
        checkDrained();
        return;
    }
    if (run->dispatch != 0)
        server->cancel(run->dispatch, run->request().requestId);
    // Its outcome is open: nobody may run it again.
    if (run->claim)
        submissions->finish(identityOf(*run), *run->claim, Utils::sha256Hex(run->request().body),
                            std::nullopt, [](bool) {});
    Refusal final = refusal;
    final.ran = run->stage == Run::Stage::Claiming ? Ran::No : Ran::Unknown;
    finish(run, final);
}

auto AgentServer::Private::takeLoadFailure(const std::string &item, const Refusal &refusal) -> void
{
    std::vector<RunPointer> hit;
    for (const auto &run : runs.open()) {
        const bool needsIt = run->request().model == item || run->request().adapter == item;
        if (run->stage == Run::Stage::Waiting && needsIt)
            hit.push_back(run);
    }
    for (const auto &run : hit)
        stop(run, refusal);
}

/// After a change of the control state: keys may be withdrawn, the server may be draining.
auto AgentServer::Private::recheckAll() -> void
{
    const auto &rules = node->state().rules();
    for (const auto &run : runs.open()) {
        const auto &request = run->request();
        if (!request.customer.empty() && !rules.customerOfKey(request.keyHash))
            stop(run, makeRefusal(RefusalReason::KeyWithdrawn, Ran::Unknown, {}));
        else if (run->stage == Run::Stage::Waiting && !node->mayAct())
            stop(run, makeRefusal(RefusalReason::NotFresh, Ran::No, shortWait));
        else if (run->stage == Run::Stage::Waiting && rules.drain(settings.serverName))
            stop(run, *whyNot(request));
    }
    pump();
}

auto AgentServer::Private::sweep() -> void
{
    for (const auto &expired : queue.takeExpired(now())) {
        const auto run = runs.at(expired.id);
        runs.markEnded(run, now());
        run->refuse(makeRefusal(RefusalReason::DeadlinePassed, Ran::No, shortWait));
    }
    for (const auto &run : runs.open()) {
        if (now() >= run->queued().deadline)
            stop(run, makeRefusal(RefusalReason::DeadlinePassed, Ran::Unknown, shortWait));
    }
    runs.forgetOld(now());
    node->metrics().set("acacia_queue_length", static_cast<double>(queue.waiting()));
    node->metrics().set("acacia_running_requests", queue.running());
    checkDrained();
}

auto AgentServer::Private::checkDrained() -> void
{
    if (!isDraining || !drained || queue.running() > 0 || queue.waiting() > 0)
        return;
    const auto done = std::exchange(drained, nullptr);
    nlohmann::json item = backendItem(settings);
    item["leaving"] = true;
    node->deregister({{backendItemKey(settings.serverName), item}}, goodbyeLimit, done);
}

auto AgentServer::Private::status() const -> nlohmann::json
{
    nlohmann::json status = keeper->status();
    status["server"] = settings.serverName;
    status["waiting"] = queue.waiting();
    status["running"] = queue.running();
    status["draining"] = isDraining;
    return status;
}

AgentServer::AgentServer(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

AgentServer::~AgentServer() = default;

auto AgentServer::create(Net::Reactor &reactor, const AgentSettings &settings)
    -> Utils::Result<std::unique_ptr<AgentServer>, std::string>
{
    auto data = std::make_unique<Private>(settings);
    Private *agent = data.get();
    auto node = Node::FleetNode::create(
        reactor, settings.fleet, {{backendItemKey(settings.serverName), backendItem(settings)}});
    if (!node)
        return tl::unexpected(node.error());
    data->node = std::move(*node);
    data->server = std::make_unique<HttpBackendServer>(data->node->http(), settings.serverAddress);
    data->slots = std::make_unique<LoadSlots>(*data->node, settings.storeLimits,
                                              settings.loadPacing == "paced");
    data->strikes = std::make_unique<Node::StrikeBoard>(*data->node);
    data->keeper = std::make_unique<ModelKeeper>(
        *data->node, *data->server, *data->slots, settings, [agent] { agent->pump(); },
        [agent](const auto &item, const auto &refusal) { agent->takeLoadFailure(item, refusal); });
    data->submissions =
        std::make_unique<Submissions::SubmissionKeeper>(data->node->table(), wallClock);
    data->duty = std::make_unique<DutyRunner>(
        *data->node, [agent](bool held) { agent->slots->setOnDuty(held); });
    data->node->handle(Protocol::Path::run,
                       [agent](const auto &exchange) { agent->takeRun(exchange); });
    data->node->handle(Protocol::Path::resume,
                       [agent](const auto &exchange) { agent->takeResume(exchange); });
    data->node->handle(Protocol::Path::cancel,
                       [agent](const auto &exchange) { agent->takeCancel(exchange); });
    data->node->onChanged([agent] { agent->recheckAll(); });
    auto operators = Node::OperatorServer::create(
        *data->node, [agent] { return agent->status(); },
        [](const auto &) { return nlohmann::json(); });
    if (!operators)
        return tl::unexpected(operators.error());
    data->operators = std::move(*operators);
    data->sweepTimer =
        std::make_unique<Net::PeriodicTimer>(reactor, sweepPeriod, [agent] { agent->sweep(); });
    return std::unique_ptr<AgentServer>(new AgentServer(std::move(data)));
}

auto AgentServer::drain(std::function<void()> done) -> void
{
    Utils::logEvent(Utils::Event::DrainStarted,
                    {{"waiting", d->queue.waiting()}, {"running", d->queue.running()}});
    d->isDraining = true;
    d->drained = std::move(done);
    for (const auto &waiting : d->queue.takeAll()) {
        const auto run = d->runs.at(waiting.id);
        d->runs.markEnded(run, d->now());
        run->refuse(makeRefusal(RefusalReason::Draining, Ran::No, Constants::RetryPeriod));
    }
    d->checkDrained();
}

} // namespace Agent
