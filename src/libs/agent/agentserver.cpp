#include "agentserver_p.h"

namespace Agent {

auto AgentServer::Private::refuseExchange(const ExchangePointer &exchange, const Refusal &refusal)
    -> void
{
    node->metrics().count("acacia_refusals_total",
                          {{"reason", std::string(Admission::describe(refusal.reason).code)}});
    exchange->send(Protocol::encode(Protocol::toJson(Protocol::RunEvent(refusal))));
    exchange->finish();
}

auto AgentServer::Private::handleRun(const ExchangePointer &exchange) -> void
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
    const auto refusal = refusalFor(*request);
    if (refusal)
        refuseExchange(exchange, *refusal);
    else
        admit(*request, exchange);
}

auto AgentServer::Private::refusalFor(const Protocol::RunRequest &request) const
    -> std::optional<Refusal>
{
    const auto &rules = node->state().rules();
    if (runs.isClosed(request.requestId))
        return makeRefusal(RefusalReason::DeadlinePassed, Ran::No, {});
    if (!node->mayAct())
        return makeRefusal(RefusalReason::NotFresh, Ran::No, shortRetryDelay);
    if (isDraining)
        return makeRefusal(RefusalReason::Draining, Ran::No, Constants::RetryInterval);
    if (const auto *drain = rules.drain(settings.serverName))
        return Refusal{
            RefusalReason::Draining, Ran::No, Constants::RetryInterval, {}, drain->source.text,
            drain->source.person,    {}};
    if (!request.customer.empty() && !rules.customerOfKey(request.keyHash))
        return makeRefusal(RefusalReason::KeyWithdrawn, Ran::No, {});
    for (const auto &crash : request.crashes)
        suspectRegistry->suspects().recordCrash(request.fingerprint, crash, now());
    if (suspectRegistry->suspects().suspicionOf(request.fingerprint, now())
        == Routing::Suspicion::Refused)
        return makeRefusal(RefusalReason::CrashSuspect, Ran::No, {});
    if (request.model.empty())
        return std::nullopt;
    return modelManager->refusalFor({request.model, request.adapter});
}

auto AgentServer::Private::admit(const Protocol::RunRequest &request,
                                 const ExchangePointer &exchange) -> void
{
    const ModelRequirement requirement{request.model, request.adapter};
    Admission::QueuedRequest queued;
    queued.id = nextNumber++;
    queued.customer = request.customer;
    queued.weight = request.weight;
    queued.cost = request.cost;
    queued.model = request.model;
    queued.arrivedAt = now();
    queued.deadline = now() + request.timeLeft;
    const bool isService = request.model.empty();
    const auto delay =
        isService ? Utils::Duration::zero() : modelManager->expectedDelay(requirement);
    if (const auto refusal = queue.enqueue(queued, delay, now())) {
        refuseExchange(exchange, *refusal);
        return;
    }
    const auto run = std::make_shared<Run>(request, queued);
    runs.add(run);
    attach(run, exchange);
    if (!isService)
        modelManager->requestLoad(requirement, queued.deadline);
    startReadyRuns();
}

auto AgentServer::Private::attach(const RunPointer &run, const ExchangePointer &exchange) -> void
{
    run->attach(exchange);
    const std::weak_ptr<Run> weakRun = run;
    const std::weak_ptr<Links::LinkExchange> weakExchange = exchange;
    exchange->onClosed([this, weakRun, weakExchange] {
        node->reactor().callAfter(Constants::OrphanTimeout, [this, weakRun, weakExchange] {
            const auto orphan = weakRun.lock();
            const auto lost = weakExchange.lock();
            // The run was not resumed on another connection.
            if (orphan && orphan->stage != Run::Stage::Ended && orphan->isAttachedTo(lost))
                stop(orphan, makeRefusal(RefusalReason::DeadlinePassed, Ran::Unknown, {}));
        });
    });
}

auto AgentServer::Private::handleResume(const ExchangePointer &exchange) -> void
{
    const auto document = Protocol::decode(exchange->body());
    const auto resume = document ? Protocol::resumeRequestFromJson(*document) : std::nullopt;
    if (!resume) {
        refuseExchange(exchange, makeRefusal(RefusalReason::MalformedBody, Ran::Unknown, {}));
        return;
    }
    const auto run = runs.find(resume->requestId);
    if (!run) {
        // The request never arrived. If it still arrives over the old connection, it is not run.
        const bool wasClosed = !runs.closeId(resume->requestId, now());
        refuseExchange(exchange,
                       makeRefusal(RefusalReason::NoBackendServer,
                                   wasClosed ? Ran::Unknown : Ran::No, Constants::RetryInterval));
        return;
    }
    attach(run, exchange);
    if (!run->replay(*resume))
        refuseExchange(exchange, makeRefusal(RefusalReason::BackendFailed, Ran::Yes, {}));
}

auto AgentServer::Private::handleCancel(const ExchangePointer &exchange) -> void
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

auto AgentServer::Private::handleLoadFailure(const std::string &item, const Refusal &refusal)
    -> void
{
    std::vector<RunPointer> affected;
    for (const auto &run : runs.open()) {
        const bool needsIt = run->request().model == item || run->request().adapter == item;
        if (run->stage == Run::Stage::Waiting && needsIt)
            affected.push_back(run);
    }
    for (const auto &run : affected)
        stop(run, refusal);
}

/// Checks open runs after a change of the control state: their key may have been withdrawn, or the
/// server may be draining.
auto AgentServer::Private::recheckAll() -> void
{
    const auto &rules = node->state().rules();
    for (const auto &run : runs.open()) {
        const auto &request = run->request();
        if (!request.customer.empty() && !rules.customerOfKey(request.keyHash))
            stop(run, makeRefusal(RefusalReason::KeyWithdrawn, Ran::Unknown, {}));
        else if (run->stage == Run::Stage::Waiting && !node->mayAct())
            stop(run, makeRefusal(RefusalReason::NotFresh, Ran::No, shortRetryDelay));
        else if (run->stage == Run::Stage::Waiting && rules.drain(settings.serverName))
            stop(run, *refusalFor(request));
    }
    startReadyRuns();
}

auto AgentServer::Private::sweep() -> void
{
    for (const auto &expired : queue.takeExpired(now())) {
        const auto run = runs.at(expired.id);
        runs.markEnded(run, now());
        run->refuse(makeRefusal(RefusalReason::DeadlinePassed, Ran::No, shortRetryDelay));
    }
    for (const auto &run : runs.open()) {
        if (now() >= run->queued().deadline)
            stop(run, makeRefusal(RefusalReason::DeadlinePassed, Ran::Unknown, shortRetryDelay));
    }
    runs.removeExpired(now());
    node->metrics().set("acacia_queue_length", static_cast<double>(queue.waiting()));
    node->metrics().set("acacia_running_requests", queue.running());
    checkDrained();
}

auto AgentServer::Private::checkDrained() -> void
{
    if (!isDraining || !onDrained || queue.running() > 0 || queue.waiting() > 0)
        return;
    const auto done = std::exchange(onDrained, nullptr);
    nlohmann::json item = backendItem(settings);
    item["leaving"] = true;
    node->deregister({{backendItemKey(settings.serverName), item}}, deregistrationTimeout, done);
}

auto AgentServer::Private::status() const -> nlohmann::json
{
    nlohmann::json status = modelManager->status();
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
    data->suspectRegistry = std::make_unique<Node::CrashSuspectRegistry>(*data->node);
    data->modelManager = std::make_unique<ModelManager>(
        *data->node, *data->server, *data->slots, settings, [agent] { agent->startReadyRuns(); },
        [agent](const auto &item, const auto &refusal) {
            agent->handleLoadFailure(item, refusal);
        });
    data->submissions =
        std::make_unique<Submissions::SubmissionKeeper>(data->node->table(), Utils::wallClock);
    data->coordinator = std::make_unique<FleetCoordinator>(
        *data->node, [agent](bool held) { agent->slots->setCoordinator(held); });
    data->node->setHandler(Protocol::Path::run,
                           [agent](const auto &exchange) { agent->handleRun(exchange); });
    data->node->setHandler(Protocol::Path::resume,
                           [agent](const auto &exchange) { agent->handleResume(exchange); });
    data->node->setHandler(Protocol::Path::cancel,
                           [agent](const auto &exchange) { agent->handleCancel(exchange); });
    data->node->onChanged([agent] { agent->recheckAll(); });
    auto operatorServer = Node::OperatorServer::create(
        *data->node, [agent] { return agent->status(); },
        [](const auto &) { return nlohmann::json(); });
    if (!operatorServer)
        return tl::unexpected(operatorServer.error());
    data->operatorServer = std::move(*operatorServer);
    data->sweepTimer =
        std::make_unique<Net::PeriodicTimer>(reactor, sweepInterval, [agent] { agent->sweep(); });
    return std::unique_ptr<AgentServer>(new AgentServer(std::move(data)));
}

auto AgentServer::drain(std::function<void()> done) -> void
{
    Utils::logEvent(Utils::Event::DrainStarted,
                    {{"waiting", d->queue.waiting()}, {"running", d->queue.running()}});
    d->isDraining = true;
    d->onDrained = std::move(done);
    for (const auto &waiting : d->queue.takeAll()) {
        const auto run = d->runs.at(waiting.id);
        d->runs.markEnded(run, d->now());
        run->refuse(makeRefusal(RefusalReason::Draining, Ran::No, Constants::RetryInterval));
    }
    d->checkDrained();
}

} // namespace Agent
