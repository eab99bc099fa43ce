#include "entryserver_p.h"

namespace Entry {

auto EntryServer::Private::handle(const std::shared_ptr<Net::HttpExchange> &exchange) -> void
{
    const std::string id = Utils::randomHex(requestIdBytes);
    node->metrics().count("acacia_requests_total");
    if (isDraining) {
        refuseEarly(*exchange, id, makeRefusal(RefusalReason::Draining, Ran::No, shortWait));
        return;
    }
    if (!node->mayAct()) {
        refuseEarly(*exchange, id, makeRefusal(RefusalReason::NotFresh, Ran::No, shortWait));
        return;
    }
    const auto screened = screenRequest(exchange->request(), node->state().rules(),
                                        {settings.defaultDeadline, settings.longestDeadline});
    if (!screened)
        refuseEarly(*exchange, id, screened.error());
    else if (screened->kind == ScreenedRequest::Kind::OwnStatus)
        answerStatus(*exchange, id);
    else
        accept(std::make_shared<CallerRequest>(id, exchange, *screened, now()));
}

auto EntryServer::Private::refuseEarly(Net::HttpExchange &exchange, const std::string &id,
                                       const Refusal &refusal) -> void
{
    const std::string code(Admission::describe(refusal.reason).code);
    node->metrics().count("acacia_refusals_total", {{"reason", code}});
    const json decision = {{"requestId", id},
                           {"path", exchange.request().path},
                           {"outcome", "refused"},
                           {"refusal", Admission::toJson(refusal)},
                           {"revision", node->state().revision()}};
    decisions.add(id, decision);
    Utils::logEvent(Utils::Event::RequestRefused, decision);
    respondWithRefusal(exchange, id, refusal);
}

auto EntryServer::Private::answerStatus(Net::HttpExchange &exchange, const std::string &id) -> void
{
    constexpr int ok = 200;
    node->metrics().count("acacia_answers_total");
    const json body = {{"status", "ok"}, {"revision", node->state().revision()}};
    exchange.respond(ok, {{"Content-Type", "application/json"}, {"X-Request-Id", id}}, body.dump());
}

auto EntryServer::Private::accept(const RequestPointer &request) -> void
{
    open[request->id()] = request;
    request->exchange()->onClosed([this, weak = std::weak_ptr(request)] {
        const auto left = weak.lock();
        if (!left || left->isFinished())
            return;
        cancelAtAgent(left);
        left->close();
        settle(left, left->wasSent);
        finish(left);
    });
    const auto timeLeft = request->deadline() - now();
    request->deadlineTimer =
        node->reactor().callAfter(timeLeft, [this, weak = std::weak_ptr(request)] {
            const auto late = weak.lock();
            if (!late || late->isFinished())
                return;
            cancelAtAgent(late);
            giveUp(late,
                   makeRefusal(RefusalReason::DeadlinePassed,
                               late->wasSent ? Ran::Unknown : Ran::No, shortWait));
        });
    const auto fingerprint = request->toRunRequest(now()).fingerprint;
    if (strikes->suspects().suspicionOf(fingerprint, now()) == Routing::Suspicion::Refused)
        giveUp(request, makeRefusal(RefusalReason::CrashSuspect, Ran::No, {}));
    else
        charge(request);
}

auto EntryServer::Private::charge(const RequestPointer &request) -> void
{
    const auto &screened = request->screened();
    if (screened.customer.empty()) {
        retries.noteRequest();
        tryNext(request);
        return;
    }
    contracts->charge(screened.customer, request->id(), screened.estimate.total(),
                      request->deadline(),
                      [this, request](const auto &result) { takeCharge(request, result); });
}

auto EntryServer::Private::takeCharge(const RequestPointer &request,
                                      const Contracts::ChargeResult &result) -> void
{
    using Status = Contracts::ChargeResult::Status;
    const auto &screened = request->screened();
    if (result.status == Status::Charged) {
        request->wasCharged = true;
        if (request->isFinished()) {
            settle(request, false);
            return;
        }
        retries.noteRequest();
        tryNext(request);
        return;
    }
    const auto *customer = node->state().rules().customer(screened.customer);
    Refusal refusal = makeRefusal(RefusalReason::OverContract, Ran::No, result.retryAfter);
    if (result.status == Status::LargerThanContract)
        refusal = makeRefusal(RefusalReason::LargerThanContract, Ran::No, {});
    else if (result.status == Status::NoContract)
        refusal = makeRefusal(RefusalReason::NotFresh, Ran::No, shortWait);
    refusal.rule = customer ? customer->source.text : "";
    refusal.person = customer ? customer->source.person : "";
    giveUp(request, refusal);
}

auto EntryServer::Private::noteDecision(const CallerRequest &request, const json &outcome) -> void
{
    const auto &screened = request.screened();
    json decision = {{"requestId", request.id()},
                     {"customer", screened.customer},
                     {"path", screened.path},
                     {"model", screened.model},
                     {"server", request.server},
                     {"attempts", request.tried.size()},
                     {"revision", node->state().revision()},
                     {"rule", screened.rule.text},
                     {"line", screened.rule.line},
                     {"ruleRevision", screened.rule.revision},
                     {"person", screened.rule.person},
                     {"seconds", Utils::toSeconds(now() - request.arrivedAt())}};
    decision.update(outcome);
    decisions.add(request.id(), decision);
    const bool isRefusal = decision["outcome"] == "refused";
    Utils::logEvent(isRefusal ? Utils::Event::RequestRefused : Utils::Event::RequestServed,
                    decision);
}

/// After a change of the control state: a withdrawn key ends its open requests too.
auto EntryServer::Private::recheckAll() -> void
{
    std::vector<RequestPointer> withdrawn;
    for (const auto &[id, request] : open) {
        const auto &screened = request->screened();
        if (!screened.customer.empty() && !node->state().rules().customerOfKey(screened.keyHash))
            withdrawn.push_back(request);
    }
    for (const auto &request : withdrawn) {
        Utils::logEvent(Utils::Event::StreamEnded,
                        {{"requestId", request->id()}, {"reason", "key_withdrawn"}});
        cancelAtAgent(request);
        giveUp(request,
               makeRefusal(RefusalReason::KeyWithdrawn, request->wasSent ? Ran::Unknown : Ran::No,
                           {}));
    }
}

/// A node that can't prove its state fresh can't know that the keys of its open requests still
/// hold.
auto EntryServer::Private::sweep() -> void
{
    if (node->controlAge() < Constants::StreamFreshnessLimit)
        return;
    std::vector<RequestPointer> all;
    for (const auto &[id, request] : open)
        all.push_back(request);
    for (const auto &request : all) {
        cancelAtAgent(request);
        giveUp(request,
               makeRefusal(RefusalReason::NotFresh, request->wasSent ? Ran::Unknown : Ran::No,
                           shortWait));
    }
}

auto EntryServer::Private::readInstanceList() -> void
{
    node->instanceList().read([this](const auto &list) {
        if (list)
            directory->setInstanceStatuses(*list);
    });
}

auto EntryServer::Private::checkDrained() -> void
{
    if (!isDraining || !drained || !open.empty())
        return;
    node->deregister({}, goodbyeLimit, std::exchange(drained, nullptr));
}

auto EntryServer::Private::status() const -> json
{
    return {{"openRequests", open.size()},
            {"draining", isDraining},
            {"contracts", contracts->status()}};
}

EntryServer::EntryServer(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

EntryServer::~EntryServer() = default;

auto EntryServer::create(Net::Reactor &reactor, const EntrySettings &settings)
    -> Utils::Result<std::unique_ptr<EntryServer>, std::string>
{
    auto data = std::make_unique<Private>(settings);
    Private *entry = data.get();
    auto node = Node::FleetNode::create(reactor, settings.fleet, {});
    if (!node)
        return tl::unexpected(node.error());
    data->node = std::move(*node);
    data->contracts = std::make_unique<ContractDesk>(
        *data->node, Contracts::makeSharePolicy(settings.contractShares));
    data->strikes = std::make_unique<Node::StrikeBoard>(*data->node);
    data->directory = std::make_unique<BackendDirectory>(
        Placement::makeWakePolicy(settings.wakePlacement), settings.fleet.failureDomain);
    data->node->onChanged([entry] { entry->recheckAll(); });
    auto operators = Node::OperatorServer::create(
        *data->node, [entry] { return entry->status(); },
        [entry](const auto &id) { return entry->decisions.find(id); });
    if (!operators)
        return tl::unexpected(operators.error());
    data->operators = std::move(*operators);
    auto callers =
        Net::HttpServer::listen(reactor, settings.callerAddress, settings.mostBodyBytes,
                                [entry](const auto &exchange) { entry->handle(exchange); });
    if (!callers)
        return tl::unexpected(callers.error());
    data->callers = std::move(*callers);
    data->listTimer = std::make_unique<Net::PeriodicTimer>(reactor, Constants::InstanceListPeriod,
                                                           [entry] { entry->readInstanceList(); });
    data->sweepTimer = std::make_unique<Net::PeriodicTimer>(reactor, Constants::SweepPeriod,
                                                            [entry] { entry->sweep(); });
    return std::unique_ptr<EntryServer>(new EntryServer(std::move(data)));
}

auto EntryServer::drain(std::function<void()> done) -> void
{
    Utils::logEvent(Utils::Event::DrainStarted, {{"open", d->open.size()}});
    d->isDraining = true;
    d->drained = std::move(done);
    d->checkDrained();
}

} // namespace Entry
