// The attempts of an entry to serve a request, and the end of the request.

#include "entryserver_p.h"

namespace Entry {

auto EntryServer::Private::choices(const CallerRequest &request) const -> std::vector<BackendChoice>
{
    const auto &screened = request.screened();
    if (screened.kind == ScreenedRequest::Kind::Model)
        return directory->forModel(node->state(), screened.model, request.triedServers, now());
    return directory->forService(node->state(), screened.service, request.triedServers, now());
}

auto EntryServer::Private::sendToNextServer(const RequestPointer &request) -> void
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
        RefusalReason::NoBackendServer, Ran::No, shortRetryDelay, {}, rule.text, rule.person, {}};
    failRequest(request, request->lastRefusal.value_or(refusal));
}

auto EntryServer::Private::send(const RequestPointer &request, const BackendChoice &choice) -> void
{
    request->server = choice.server;
    request->agentAddress = choice.agentAddress;
    request->triedServers.insert(choice.server);
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
    request->call = node->channelTo(request->agentAddress)
                        .call(
                            path, Protocol::encode(body),
                            [this, request, attempt](const auto &message) {
                                handleMessage(request, attempt, message);
                            },
                            [this, request, attempt](auto outcome) {
                                handleOutcome(request, attempt, outcome);
                            });
}

auto EntryServer::Private::handleMessage(const RequestPointer &request, int attempt,
                                         const std::string &message) -> void
{
    // Messages of an earlier attempt are no longer part of this request's answer.
    if (attempt != request->attempt || request->isFinished())
        return;
    const auto document = Protocol::decode(message);
    const auto event = document ? Protocol::runEventFromJson(*document) : std::nullopt;
    if (event)
        std::visit([&](const auto &content) { handleEvent(request, content); }, *event);
}

auto EntryServer::Private::handleEvent(const RequestPointer &request,
                                       const Protocol::AnswerBegun &event) -> void
{
    request->resumingSince.reset();
    if (!request->hasHead())
        node->metrics().observe("acacia_first_byte_seconds",
                                Utils::toSeconds(now() - request->arrivedAt()));
    directory->recordAnswer(request->server, request->screened().model, event.queued, now());
    request->receiveHead(event);
}

auto EntryServer::Private::handleEvent(const RequestPointer &request,
                                       const Protocol::AnswerData &event) -> void
{
    request->resumingSince.reset();
    if (!request->receiveData(event))
        handleAttemptEnd(request, AttemptEnd::LostDuringAnswer);
}

auto EntryServer::Private::handleEvent(const RequestPointer &request,
                                       const Protocol::AnswerEnded &event) -> void
{
    if (!request->receiveEnd(event)) {
        handleAttemptEnd(request, AttemptEnd::LostDuringAnswer);
        return;
    }
    node->metrics().count("acacia_answers_total");
    node->metrics().observe("acacia_request_seconds",
                            Utils::toSeconds(now() - request->arrivedAt()));
    recordDecision(*request, {{"outcome", "answered"}, {"status", request->status()}});
    refundUnused(request, true);
    finish(request);
}

auto EntryServer::Private::handleEvent(const RequestPointer &request, const Refusal &event) -> void
{
    request->lastRefusal = event;
    if (!event.crash.empty())
        request->crashes.push_back(event.crash);
    if (event.reason == RefusalReason::NoBackendServer)
        directory->recordRefusal(request->server, request->screened().model);
    if (isRetryable(event.reason))
        handleAttemptEnd(request, attemptEndOf(event));
    else
        failRequest(request, event);
}

auto EntryServer::Private::handleOutcome(const RequestPointer &request, int attempt,
                                         Links::LinkOutcome outcome) -> void
{
    if (attempt != request->attempt || request->isFinished())
        return;
    if (outcome == Links::LinkOutcome::NotSent && !request->resumingSince && !request->hasHead()) {
        directory->recordUnreachable(request->server, now());
        handleAttemptEnd(request, AttemptEnd::NotDelivered);
        return;
    }
    handleAttemptEnd(
        request, request->hasHead() ? AttemptEnd::LostDuringAnswer : AttemptEnd::LostBeforeAnswer);
}

auto EntryServer::Private::handleAttemptEnd(const RequestPointer &request, AttemptEnd end) -> void
{
    const auto &screened = request->screened();
    if (Routing::ranAfter(end) == Ran::No)
        request->wasSent = false;
    switch (Routing::nextStep(end, screened.mayRepeat(), request->hasHead())) {
    case NextStep::Finish:
        break;
    case NextStep::TryAnother:
        retryElsewhere(request, end == AttemptEnd::NotDelivered ? "not_delivered" : "refused");
        break;
    case NextStep::Resume: {
        ++request->attempt;
        if (!request->resumingSince)
            request->resumingSince = now();
        if (now() - *request->resumingSince < Constants::ResumeTimeout) {
            node->reactor().callAfter(Constants::ResumeInterval,
                                      [this, request] { resume(request); });
            break;
        }
        directory->recordUnreachable(request->server, now());
        request->lastRefusal =
            makeRefusal(RefusalReason::BackendFailed, Ran::Unknown, shortRetryDelay);
        handleAttemptEnd(request, AttemptEnd::FailedAfterDispatch);
        break;
    }
    case NextStep::GiveUp: {
        const auto ran = request->hasHead() ? Ran::Yes : Routing::ranAfter(end);
        Refusal refusal = request->lastRefusal.value_or(
            makeRefusal(RefusalReason::BackendFailed, ran, shortRetryDelay));
        refusal.ran = ran;
        if (!screened.submissionIdentity.empty())
            refusal.reason = RefusalReason::SubmissionUnknown;
        failRequest(request, refusal);
        break;
    }
    }
}

auto EntryServer::Private::retryElsewhere(const RequestPointer &request, const std::string &reason)
    -> void
{
    if (choices(*request).empty() || !retryBudget.takeRetry()) {
        const auto &rule = request->screened().rule;
        const Refusal none{RefusalReason::NoBackendServer,
                           Ran::No,
                           shortRetryDelay,
                           {},
                           rule.text,
                           rule.person,
                           {}};
        failRequest(request, request->lastRefusal.value_or(none));
        return;
    }
    node->metrics().count("acacia_retries_total", {{"reason", reason}});
    Utils::logEvent(
        Utils::Event::RequestRetried,
        {{"requestId", request->id()}, {"server", request->server}, {"reason", reason}});
    sendToNextServer(request);
}

auto EntryServer::Private::failRequest(const RequestPointer &request, Refusal refusal) -> void
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
    recordDecision(*request, {{"outcome", "refused"}, {"refusal", Admission::toJson(refusal)}});
    request->refuse(refusal);
    refundUnused(request, refusal.ran != Ran::No);
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

/// Refunds the unused part of the charge.
auto EntryServer::Private::refundUnused(const RequestPointer &request, bool wasRun) -> void
{
    if (!std::exchange(request->wasCharged, false))
        return;
    const auto &screened = request->screened();
    double unused = screened.estimate.total();
    if (wasRun) {
        const auto generated = Admission::reportedTokens(request->tail());
        unused = generated ? std::max(0.0, screened.estimate.maxGenerated - *generated) : 0;
    }
    contracts->refund(screened.customer, unused);
}

auto EntryServer::Private::finish(const RequestPointer &request) -> void
{
    node->reactor().cancel(request->deadlineTimer);
    openRequests.erase(request->id());
    checkDrained();
}

} // namespace Entry
