// The processing of a run from the queue to its end.

#include "agentserver_p.h"

namespace Agent {

auto AgentServer::Private::suspicionOf(const Run &run) const -> Routing::Suspicion
{
    return suspectRegistry->suspects().suspicionOf(run.request().fingerprint, now());
}

auto AgentServer::Private::isReady(const Admission::QueuedRequest &queued) const -> bool
{
    const Run &run = *runs.at(queued.id);
    const bool isSuspect = suspicionOf(run) != Routing::Suspicion::None;
    if (isSuspect && queue.running() > 0)
        return false;
    return run.isService() || modelManager->isReady(requirementOf(run));
}

auto AgentServer::Private::startReadyRuns() -> void
{
    const auto open = runs.open();
    const bool isSuspectRunning = std::any_of(open.begin(), open.end(), [this](const auto &run) {
        return run->stage != Run::Stage::Waiting && suspicionOf(*run) != Routing::Suspicion::None;
    });
    if (isSuspectRunning)
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
        modelManager->beginUse(requirementOf(*run));
    if (const auto refusal = refusalFor(run->request())) {
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
                       [this, run](const auto &result) { handleClaimResult(run, result); });
}

auto AgentServer::Private::handleClaimResult(const RunPointer &run,
                                             const Submissions::BeginResult &result) -> void
{
    if (const auto *granted = std::get_if<Submissions::RunNow>(&result)) {
        const bool tooLate =
            run->stage == Run::Stage::Ended || now() >= run->queued().deadline || !node->mayAct();
        if (!tooLate) {
            run->claim = *granted;
            dispatch(run);
            return;
        }
        submissions->abandon(identityOf(*run), *granted);
        if (run->stage != Run::Stage::Ended)
            finish(run, makeRefusal(RefusalReason::DeadlinePassed, Ran::No, shortRetryDelay));
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
    switch (std::get<Submissions::BeginRefusal>(result)) {
    case Submissions::BeginRefusal::InProgress:
        finish(run,
               makeRefusal(RefusalReason::SubmissionInProgress, Ran::Unknown, shortRetryDelay));
        break;
    case Submissions::BeginRefusal::Unknown:
        Utils::logEvent(Utils::Event::SubmissionUnknown, {{"requestId", run->request().requestId}});
        finish(run, makeRefusal(RefusalReason::SubmissionUnknown, Ran::Unknown, {}));
        break;
    case Submissions::BeginRefusal::IdentityReused:
        finish(run, makeRefusal(RefusalReason::IdentityReused, Ran::No, {}));
        break;
    case Submissions::BeginRefusal::StoreUnavailable:
        finish(run, makeRefusal(RefusalReason::StoreUnavailable, Ran::No, shortRetryDelay));
        break;
    }
}

auto AgentServer::Private::dispatch(const RunPointer &run) -> void
{
    run->stage = Run::Stage::Running;
    run->bootId = modelManager->bootId();
    // The sweep ends the run at its deadline. This timeout only ensures that the call ends.
    const auto timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(run->queued().deadline - now())
        + std::chrono::seconds(5);
    const auto head = std::make_shared<ServerAnswerHead>();
    const bool isSubmission = run->claim.has_value();
    DispatchCallbacks callbacks;
    callbacks.onHead = [this, run, head, isSubmission](const ServerAnswerHead &received) {
        *head = received;
        if (!isSubmission)
            run->begin(received, static_cast<int>(queue.waiting()));
    };
    // Buffers the answer to a submission; it is completed only after it has been recorded.
    const auto body = std::make_shared<std::string>();
    callbacks.onData = [run, body, isSubmission](const std::string &bytes) {
        if (isSubmission)
            *body += bytes;
        else
            run->append(bytes);
    };
    callbacks.onDone = [this, run, head, body, isSubmission](DispatchEnd end) {
        if (isSubmission && end == DispatchEnd::Answered) {
            run->begin(*head, static_cast<int>(queue.waiting()));
            run->append(*body);
        }
        handleDispatchEnd(run, end, *head);
    };
    run->dispatch = server->dispatch(run->request(), timeout, std::move(callbacks));
}

auto AgentServer::Private::handleDispatchEnd(const RunPointer &run, DispatchEnd end,
                                             const ServerAnswerHead &head) -> void
{
    run->dispatch = 0;
    if (run->stage == Run::Stage::Ended)
        return;
    if (end == DispatchEnd::Answered) {
        suspectRegistry->clearSuspect(run->request().fingerprint);
        if (run->claim)
            recordAnswer(run, head);
        else
            finish(run, std::nullopt);
    } else if (end == DispatchEnd::NotSent) {
        if (run->claim)
            submissions->abandon(identityOf(*run), *run->claim);
        finish(run, makeRefusal(RefusalReason::NoBackendServer, Ran::No, shortRetryDelay));
    } else {
        handleServerFailure(run);
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

/// Handles a failure of the server or connection after the request was sent. Probes the server
/// first to find out whether it crashed.
auto AgentServer::Private::handleServerFailure(const RunPointer &run) -> void
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
        classifyFailure(status);
    });
}

auto AgentServer::Private::classifyFailure(const Utils::Result<ServerStatus, std::string> &status)
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
        suspectRegistry->report({fingerprints.begin(), fingerprints.end()}, crash);
        modelManager->handleServerRestart();
    }
    for (const auto &run : failed) {
        Refusal refusal = makeRefusal(RefusalReason::BackendFailed, Ran::Unknown, shortRetryDelay);
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
        modelManager->endUse(requirementOf(*run));
    if (refusal) {
        node->metrics().count("acacia_refusals_total",
                              {{"reason", std::string(Admission::describe(refusal->reason).code)}});
        run->refuse(*refusal);
    } else {
        node->metrics().count("acacia_answers_total");
        run->end();
    }
    startReadyRuns();
    checkDrained();
}

/// Ends a run at any stage.
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
    // The outcome is unknown, so the submission must not run again.
    if (run->claim)
        submissions->finish(identityOf(*run), *run->claim, Utils::sha256Hex(run->request().body),
                            std::nullopt, [](bool) {});
    Refusal final = refusal;
    final.ran = run->stage == Run::Stage::Claiming ? Ran::No : Ran::Unknown;
    finish(run, final);
}

} // namespace Agent
