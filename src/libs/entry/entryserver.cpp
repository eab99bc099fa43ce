#include "entryserver_p.h"

#include <utils/jsontext.h>

namespace Entry {

auto EntryServer::Private::handle(const std::shared_ptr<Net::HttpExchange> &exchange) -> void
{
    const std::string id = Utils::randomHex(requestIdBytes);
    node->metrics().count("acacia_requests_total");
    if (isDraining) {
        refuseEarly(*exchange, id, makeRefusal(RefusalReason::Draining, Ran::No, shortRetryDelay));
        return;
    }
    if (!node->mayAct()) {
        refuseEarly(*exchange, id, makeRefusal(RefusalReason::NotFresh, Ran::No, shortRetryDelay));
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
    exchange.respond(ok, {{"Content-Type", "application/json"}, {"X-Request-Id", id}},
                     Utils::toJsonText(body));
}

auto EntryServer::Private::accept(const RequestPointer &request) -> void
{
    openRequests[request->id()] = request;
    request->exchange()->onClosed([this, weak = std::weak_ptr(request)] {
        const auto abandoned = weak.lock();
        if (!abandoned || abandoned->isFinished())
            return;
        cancelAtAgent(abandoned);
        abandoned->close();
        refundUnused(abandoned, abandoned->wasSent);
        finish(abandoned);
    });
    const auto timeLeft = request->deadline() - now();
    request->deadlineTimer =
        node->reactor().callAfter(timeLeft, [this, weak = std::weak_ptr(request)] {
            const auto expired = weak.lock();
            if (!expired || expired->isFinished())
                return;
            cancelAtAgent(expired);
            failRequest(expired,
                        makeRefusal(RefusalReason::DeadlinePassed,
                                    expired->wasSent ? Ran::Unknown : Ran::No, shortRetryDelay));
        });
    const auto fingerprint = request->toRunRequest(now()).fingerprint;
    if (suspectRegistry->suspects().suspicionOf(fingerprint, now()) == Routing::Suspicion::Refused)
        failRequest(request, makeRefusal(RefusalReason::CrashSuspect, Ran::No, {}));
    else
        charge(request);
}

auto EntryServer::Private::charge(const RequestPointer &request) -> void
{
    const auto &screened = request->screened();
    if (screened.customer.empty()) {
        retryBudget.noteRequest();
        sendToNextServer(request);
        return;
    }
    contracts->charge(screened.customer, request->id(), screened.estimate.total(),
                      request->deadline(),
                      [this, request](const auto &result) { handleCharge(request, result); });
}

auto EntryServer::Private::handleCharge(const RequestPointer &request,
                                        const Contracts::ChargeResult &result) -> void
{
    using Status = Contracts::ChargeResult::Status;
    const auto &screened = request->screened();
    if (result.status == Status::Charged) {
        request->wasCharged = true;
        if (request->isFinished()) {
            refundUnused(request, false);
            return;
        }
        retryBudget.noteRequest();
        sendToNextServer(request);
        return;
    }
    const auto *customer = node->state().rules().customer(screened.customer);
    Refusal refusal = makeRefusal(RefusalReason::OverContract, Ran::No, result.retryAfter);
    if (result.status == Status::LargerThanContract)
        refusal = makeRefusal(RefusalReason::LargerThanContract, Ran::No, {});
    else if (result.status == Status::NoContract)
        refusal = makeRefusal(RefusalReason::NotFresh, Ran::No, shortRetryDelay);
    refusal.rule = customer ? customer->source.text : "";
    refusal.person = customer ? customer->source.person : "";
    failRequest(request, refusal);
}

auto EntryServer::Private::recordDecision(const CallerRequest &request, const json &outcome) -> void
{
    const auto &screened = request.screened();
    json decision = {{"requestId", request.id()},
                     {"customer", screened.customer},
                     {"path", screened.path},
                     {"model", screened.model},
                     {"server", request.server},
                     {"attempts", request.triedServers.size()},
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

/// Ends the open requests of withdrawn keys after a change of the control state.
auto EntryServer::Private::recheckAll() -> void
{
    std::vector<RequestPointer> withdrawn;
    for (const auto &[id, request] : openRequests) {
        const auto &screened = request->screened();
        if (!screened.customer.empty() && !node->state().rules().customerOfKey(screened.keyHash))
            withdrawn.push_back(request);
    }
    for (const auto &request : withdrawn) {
        Utils::logEvent(Utils::Event::StreamEnded,
                        {{"requestId", request->id()}, {"reason", "key_withdrawn"}});
        cancelAtAgent(request);
        failRequest(request,
                    makeRefusal(RefusalReason::KeyWithdrawn,
                                request->wasSent ? Ran::Unknown : Ran::No, {}));
    }
}

/// Ends all open requests if the control state is too old, because their keys may have been
/// withdrawn in the meantime.
auto EntryServer::Private::sweep() -> void
{
    if (node->controlAge() < Constants::StreamFreshnessLimit)
        return;
    std::vector<RequestPointer> all;
    for (const auto &[id, request] : openRequests)
        all.push_back(request);
    for (const auto &request : all) {
        cancelAtAgent(request);
        failRequest(request,
                    makeRefusal(RefusalReason::NotFresh, request->wasSent ? Ran::Unknown : Ran::No,
                                shortRetryDelay));
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
    if (!isDraining || !onDrained || !openRequests.empty())
        return;
    node->deregister({}, deregistrationTimeout, std::exchange(onDrained, nullptr));
}

auto EntryServer::Private::status() const -> json
{
    return {{"openRequests", openRequests.size()},
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
    data->contracts = std::make_unique<ContractCharger>(
        *data->node, Contracts::makeSharePolicy(settings.contractShares));
    data->suspectRegistry = std::make_unique<Node::CrashSuspectRegistry>(*data->node);
    data->directory = std::make_unique<BackendDirectory>(
        Placement::makeWakePolicy(settings.wakePlacement), settings.fleet.failureDomain);
    data->node->onChanged([entry] { entry->recheckAll(); });
    auto operatorServer = Node::OperatorServer::create(
        *data->node, [entry] { return entry->status(); },
        [entry](const auto &id) { return entry->decisions.find(id); });
    if (!operatorServer)
        return tl::unexpected(operatorServer.error());
    data->operatorServer = std::move(*operatorServer);
    auto callerServer =
        Net::HttpServer::listen(reactor, settings.callerAddress, settings.mostBodyBytes,
                                [entry](const auto &exchange) { entry->handle(exchange); });
    if (!callerServer)
        return tl::unexpected(callerServer.error());
    data->callerServer = std::move(*callerServer);
    data->instanceListTimer = std::make_unique<Net::PeriodicTimer>(
        reactor, Constants::InstanceListInterval, [entry] { entry->readInstanceList(); });
    data->sweepTimer = std::make_unique<Net::PeriodicTimer>(reactor, Constants::SweepInterval,
                                                            [entry] { entry->sweep(); });
    return std::unique_ptr<EntryServer>(new EntryServer(std::move(data)));
}

auto EntryServer::drain(std::function<void()> done) -> void
{
    Utils::logEvent(Utils::Event::DrainStarted, {{"open", d->openRequests.size()}});
    d->isDraining = true;
    d->onDrained = std::move(done);
    d->checkDrained();
}

} // namespace Entry
