#include "entryserver.h"

#include "backenddirectory.h"
#include "callerrequest.h"
#include "contractdesk.h"
#include "decisionlog.h"
#include "entryconstants.h"

#include <admission/admissionconstants.h>
#include <net/periodictimer.h>
#include <node/fleetnode.h>
#include <node/metrics.h>
#include <node/operatorserver.h>
#include <node/strikeboard.h>
#include <protocol/codec.h>
#include <routing/outcome.h>
#include <routing/retrybudget.h>
#include <routing/routingconstants.h>
#include <utils/eventlog.h>
#include <utils/hashing.h>

#include <map>

namespace Entry {

using Admission::Ran;
using Admission::Refusal;
using Admission::RefusalReason;
using nlohmann::json;
using Routing::AttemptEnd;
using Routing::NextStep;
using RequestPointer = std::shared_ptr<CallerRequest>;

namespace {

constexpr std::chrono::milliseconds goodbyeLimit(1500);
constexpr std::chrono::seconds shortWait(1);
constexpr int requestIdBytes = 12;

auto makeRefusal(RefusalReason reason, Ran ran, std::chrono::milliseconds retryAfter) -> Refusal
{
    return {reason, ran, retryAfter, {}, {}, {}, {}};
}

/// Refusals that another backend server might not give.
auto isWorthAnother(RefusalReason reason) -> bool
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

auto attemptEndOf(const Refusal &refusal) -> AttemptEnd
{
    return refusal.ran == Ran::No ? AttemptEnd::RefusedNotRun : AttemptEnd::FailedAfterDispatch;
}

} // namespace

struct EntryServer::Private
{
    EntrySettings settings;
    std::unique_ptr<Node::FleetNode> node;
    std::unique_ptr<ContractDesk> contracts;
    std::unique_ptr<Node::StrikeBoard> strikes;
    std::unique_ptr<BackendDirectory> directory;
    std::unique_ptr<Net::HttpServer> callers;
    std::unique_ptr<Node::OperatorServer> operators;
    std::unique_ptr<Net::PeriodicTimer> listTimer;
    std::unique_ptr<Net::PeriodicTimer> sweepTimer;
    Routing::RetryBudget retries;
    DecisionLog decisions{Constants::KeptDecisions};
    std::map<std::string, RequestPointer> open;
    bool isDraining = false;
    std::function<void()> drained;

    explicit Private(const EntrySettings &entrySettings)
        : settings(entrySettings)
        , retries(entrySettings.retryRatio, Routing::Constants::MostSavedRetries)
    { }

    auto now() const -> Utils::TimePoint { return node->reactor().now(); }
    auto handle(const std::shared_ptr<Net::HttpExchange> &exchange) -> void;
    auto refuseEarly(Net::HttpExchange &exchange, const std::string &id, const Refusal &refusal)
        -> void;
    auto answerStatus(Net::HttpExchange &exchange, const std::string &id) -> void;
    auto accept(const RequestPointer &request) -> void;
    auto charge(const RequestPointer &request) -> void;
    auto takeCharge(const RequestPointer &request, const Contracts::ChargeResult &result) -> void;
    auto tryNext(const RequestPointer &request) -> void;
    auto choices(const CallerRequest &request) const -> std::vector<BackendChoice>;
    auto send(const RequestPointer &request, const BackendChoice &choice) -> void;
    auto resume(const RequestPointer &request) -> void;
    auto callAgent(const RequestPointer &request, const std::string &path, const json &body)
        -> void;
    auto takeMessage(const RequestPointer &request, int attempt, const std::string &message)
        -> void;
    auto takeEvent(const RequestPointer &request, const Protocol::AnswerBegun &event) -> void;
    auto takeEvent(const RequestPointer &request, const Protocol::AnswerData &event) -> void;
    auto takeEvent(const RequestPointer &request, const Protocol::AnswerEnded &event) -> void;
    auto takeEvent(const RequestPointer &request, const Refusal &event) -> void;
    auto takeOutcome(const RequestPointer &request, int attempt, Links::LinkOutcome outcome)
        -> void;
    auto followUp(const RequestPointer &request, AttemptEnd end) -> void;
    auto tryAnother(const RequestPointer &request, const std::string &reason) -> void;
    auto giveUp(const RequestPointer &request, Refusal refusal) -> void;
    auto cancelAtAgent(const RequestPointer &request) -> void;
    auto finish(const RequestPointer &request) -> void;
    auto settle(const RequestPointer &request, bool wasRun) -> void;
    auto recheckAll() -> void;
    auto sweep() -> void;
    auto readInstanceList() -> void;
    auto noteDecision(const CallerRequest &request, const json &outcome) -> void;
    auto checkDrained() -> void;
    auto status() const -> json;
};

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

auto EntryServer::Private::choices(const CallerRequest &request) const -> std::vector<BackendChoice>
{
    const auto &screened = request.screened();
    if (screened.kind == ScreenedRequest::Kind::Model)
        return directory->forModel(node->state(), screened.model, request.tried, now());
    return directory->forService(node->state(), screened.service, request.tried, now());
}

auto EntryServer::Private::tryNext(const RequestPointer &request) -> void
{
    if (request->isFinished())
        return;
    const auto candidates = choices(*request);
    if (!candidates.empty()) {
        send(request, candidates.front());
        return;
    }
    const auto &rule = request->screened().rule;
    Refusal refusal{
        RefusalReason::NoBackendServer, Ran::No, shortWait, {}, rule.text, rule.person, {}};
    giveUp(request, request->lastRefusal.value_or(refusal));
}

auto EntryServer::Private::send(const RequestPointer &request, const BackendChoice &choice) -> void
{
    request->server = choice.server;
    request->agentAddress = choice.agentAddress;
    request->tried.insert(choice.server);
    request->resumingSince.reset();
    request->wasSent = true;
    callAgent(request, Protocol::Path::run, Protocol::toJson(request->toRunRequest(now())));
}

auto EntryServer::Private::resume(const RequestPointer &request) -> void
{
    if (request->isFinished())
        return;
    node->metrics().count("acacia_retries_total", {{"reason", "resume"}});
    const Protocol::ResumeRequest rest{request->id(), request->received(), request->hasHead()};
    callAgent(request, Protocol::Path::resume, Protocol::toJson(rest));
}

auto EntryServer::Private::callAgent(const RequestPointer &request, const std::string &path,
                                     const json &body) -> void
{
    const int attempt = ++request->attempt;
    request->call =
        node->channelTo(request->agentAddress)
            .call(
                path, Protocol::encode(body),
                [this, request, attempt](const auto &message) {
                    takeMessage(request, attempt, message);
                },
                [this, request, attempt](auto outcome) { takeOutcome(request, attempt, outcome); });
}

auto EntryServer::Private::takeMessage(const RequestPointer &request, int attempt,
                                       const std::string &message) -> void
{
    // What an earlier attempt still sends is not this request's answer any more.
    if (attempt != request->attempt || request->isFinished())
        return;
    const auto document = Protocol::decode(message);
    const auto event = document ? Protocol::runEventFromJson(*document) : std::nullopt;
    if (event)
        std::visit([&](const auto &content) { takeEvent(request, content); }, *event);
}

auto EntryServer::Private::takeEvent(const RequestPointer &request,
                                     const Protocol::AnswerBegun &event) -> void
{
    request->resumingSince.reset();
    if (!request->hasHead())
        node->metrics().observe("acacia_first_byte_seconds",
                                Utils::toSeconds(now() - request->arrivedAt()));
    directory->noteAnswer(request->server, request->screened().model, event.queued, now());
    request->takeHead(event);
}

auto EntryServer::Private::takeEvent(const RequestPointer &request,
                                     const Protocol::AnswerData &event) -> void
{
    request->resumingSince.reset();
    if (!request->takeData(event))
        followUp(request, AttemptEnd::LostDuringAnswer);
}

auto EntryServer::Private::takeEvent(const RequestPointer &request,
                                     const Protocol::AnswerEnded &event) -> void
{
    if (!request->takeEnd(event)) {
        followUp(request, AttemptEnd::LostDuringAnswer);
        return;
    }
    node->metrics().count("acacia_answers_total");
    node->metrics().observe("acacia_request_seconds",
                            Utils::toSeconds(now() - request->arrivedAt()));
    noteDecision(*request, {{"outcome", "answered"}, {"status", request->status()}});
    settle(request, true);
    finish(request);
}

auto EntryServer::Private::takeEvent(const RequestPointer &request, const Refusal &event) -> void
{
    request->lastRefusal = event;
    if (!event.crash.empty())
        request->crashes.push_back(event.crash);
    if (event.reason == RefusalReason::NoBackendServer)
        directory->noteRefusal(request->server, request->screened().model);
    if (isWorthAnother(event.reason))
        followUp(request, attemptEndOf(event));
    else
        giveUp(request, event);
}

auto EntryServer::Private::takeOutcome(const RequestPointer &request, int attempt,
                                       Links::LinkOutcome outcome) -> void
{
    if (attempt != request->attempt || request->isFinished())
        return;
    if (outcome == Links::LinkOutcome::NotSent && !request->resumingSince && !request->hasHead()) {
        directory->noteUnreachable(request->server, now());
        followUp(request, AttemptEnd::NotDelivered);
        return;
    }
    followUp(request,
             request->hasHead() ? AttemptEnd::LostDuringAnswer : AttemptEnd::LostBeforeAnswer);
}

auto EntryServer::Private::followUp(const RequestPointer &request, AttemptEnd end) -> void
{
    const auto &screened = request->screened();
    if (Routing::ranAfter(end) == Ran::No)
        request->wasSent = false;
    switch (Routing::nextStep(end, screened.mayRepeat(), request->hasHead())) {
    case NextStep::Finish:
        break;
    case NextStep::TryAnother:
        tryAnother(request, end == AttemptEnd::NotDelivered ? "not_delivered" : "refused");
        break;
    case NextStep::Resume: {
        ++request->attempt;
        if (!request->resumingSince)
            request->resumingSince = now();
        if (now() - *request->resumingSince < Constants::ResumeLimit) {
            node->reactor().callAfter(Constants::ResumePeriod,
                                      [this, request] { resume(request); });
            break;
        }
        directory->noteUnreachable(request->server, now());
        request->lastRefusal = makeRefusal(RefusalReason::BackendFailed, Ran::Unknown, shortWait);
        followUp(request, AttemptEnd::FailedAfterDispatch);
        break;
    }
    case NextStep::GiveUp: {
        const auto ran = request->hasHead() ? Ran::Yes : Routing::ranAfter(end);
        Refusal refusal = request->lastRefusal.value_or(
            makeRefusal(RefusalReason::BackendFailed, ran, shortWait));
        refusal.ran = ran;
        if (!screened.submissionIdentity.empty())
            refusal.reason = RefusalReason::SubmissionUnknown;
        giveUp(request, refusal);
        break;
    }
    }
}

auto EntryServer::Private::tryAnother(const RequestPointer &request, const std::string &reason)
    -> void
{
    if (choices(*request).empty() || !retries.takeRetry()) {
        const auto &rule = request->screened().rule;
        const Refusal none{
            RefusalReason::NoBackendServer, Ran::No, shortWait, {}, rule.text, rule.person, {}};
        giveUp(request, request->lastRefusal.value_or(none));
        return;
    }
    node->metrics().count("acacia_retries_total", {{"reason", reason}});
    Utils::logEvent(
        Utils::Event::RequestRetried,
        {{"requestId", request->id()}, {"server", request->server}, {"reason", reason}});
    tryNext(request);
}

auto EntryServer::Private::giveUp(const RequestPointer &request, Refusal refusal) -> void
{
    if (request->isFinished())
        return;
    ++request->attempt;
    const std::string code(Admission::describe(refusal.reason).code);
    node->metrics().count("acacia_refusals_total", {{"reason", code}});
    if (refusal.rule.empty()) {
        refusal.rule = request->screened().rule.text;
        refusal.person = request->screened().rule.person;
    }
    noteDecision(*request, {{"outcome", "refused"}, {"refusal", Admission::toJson(refusal)}});
    request->refuse(refusal);
    settle(request, refusal.ran != Ran::No);
    finish(request);
}

auto EntryServer::Private::cancelAtAgent(const RequestPointer &request) -> void
{
    if (request->agentAddress.empty())
        return;
    const Protocol::ResumeRequest cancel{request->id(), 0, false};
    node->channelTo(request->agentAddress)
        .call(
            Protocol::Path::cancel, Protocol::encode(Protocol::toJson(cancel)),
            [](const std::string &) {}, [](Links::LinkOutcome) {});
}

/// Gives back what the charge did not use.
auto EntryServer::Private::settle(const RequestPointer &request, bool wasRun) -> void
{
    if (!std::exchange(request->wasCharged, false))
        return;
    const auto &screened = request->screened();
    double unused = screened.estimate.total();
    if (wasRun) {
        const auto generated = Admission::reportedTokens(request->tail());
        unused = generated ? std::max(0.0, screened.estimate.mostGenerated - *generated) : 0;
    }
    contracts->giveBack(screened.customer, unused);
}

auto EntryServer::Private::finish(const RequestPointer &request) -> void
{
    node->reactor().cancel(request->deadlineTimer);
    open.erase(request->id());
    checkDrained();
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
