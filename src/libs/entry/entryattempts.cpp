// The attempts that an entry makes for one request, and how it ends.

#include "entryserver_p.h"

namespace Entry {

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
        unused = generated ? std::max(0.0, screened.estimate.maxGenerated - *generated) : 0;
    }
    contracts->giveBack(screened.customer, unused);
}

auto EntryServer::Private::finish(const RequestPointer &request) -> void
{
    node->reactor().cancel(request->deadlineTimer);
    open.erase(request->id());
    checkDrained();
}

} // namespace Entry
