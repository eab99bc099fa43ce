// The part of a request's way that deals with backend servers' answers.

#include "backendregistry.h"
#include "connectionpool.h"
#include "denialcheck.h"
#include "gatewayconstants.h"
#include "gatewaycontext.h"
#include "quotaledger.h"
#include "requestflow.h"
#include "waitingroom.h"

#include <http1/serverconnection.h>
#include <monitoring/metrics.h>
#include <utils/eventlog.h>

#include <algorithm>

namespace Gateway {

using Admission::RefusalReason;

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Utils::Duration;

namespace {

/// Statuses by which a gateway promises that a request has not run.
auto isPromise(int status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

constexpr int firstServerError = 500;

} // namespace

auto RequestFlow::takeHead(const BackendAnswer &answer) -> void
{
    m_headCame = true;
    m_answer = answer;
    if (answer.load)
        m_context.board.updateLoad(m_attempt->backendId(), *answer.load, m_context.reactor.now());
}

auto RequestFlow::takeBody(std::string_view data) -> void
{
    const bool isStream = m_route->kind == RouteKind::Stream && m_answer.isSuccess()
        && m_answer.isSigned && !m_answer.isEncoded;
    if (isStream)
        relay(data);
    else
        m_body += data;
    const bool isEndless = m_attempt
        && (m_body.size() > Constants::MostAnswerBytes
            || m_splitter.restBytes() > Constants::MostEventBytes);
    if (isEndless)
        takeEnd(AttemptEnd::Broken);
}

/// Passes on whole events in order, each once.
auto RequestFlow::relay(std::string_view data) -> void
{
    std::string out;
    bool isNews = false;
    for (const StreamEvent &event : m_splitter.feed(data)) {
        if (event.id && m_lastEvent && *event.id <= *m_lastEvent)
            continue;
        if (event.id) {
            m_lastEvent = event.id;
            isNews = true;
        }
        out += event.text;
    }
    if (out.empty())
        return;
    if (!m_answerBegun) {
        m_answerBegun = true;
        m_firstEventAt = m_context.reactor.now();
        m_context.metrics.observe("acacia_first_byte_seconds",
                                  Utils::toSeconds(m_firstEventAt - m_arrivedAt));
        m_caller->begin(m_answer.status, m_answer.forwarded);
    }
    const auto now = m_context.reactor.now();
    if (m_lastEventAt != Utils::TimePoint())
        m_longestPause = std::max(m_longestPause, now - m_lastEventAt);
    m_lastEventAt = now;
    m_caller->write(out);
    // Comments show that the connection lives, and not that the engine gets on.
    if (isNews)
        armSilence();
}

auto RequestFlow::takeEnd(AttemptEnd how) -> void
{
    const auto keep = shared_from_this();
    switch (how) {
    case AttemptEnd::Complete:
        takeComplete();
        return;
    case AttemptEnd::NotSent:
        m_context.pool.forget(m_attempt->backendId());
        endAttempt(SendOutcome::Unreachable);
        if (!trySend())
            waitForServer();
        return;
    case AttemptEnd::Lost:
    case AttemptEnd::Broken:
        break;
    }
    ++m_ranAt;
    Utils::logEvent(Utils::Event::StreamEnded,
                    {{"request", m_request.attemptId},
                     {"server", m_attempt->backendId()},
                     {"reason", how == AttemptEnd::Lost ? "lost_before_answer" : "broken_answer"},
                     {"answerBegun", m_answerBegun}});
    m_context.onSuspect(m_attempt->backendId(), m_fingerprint);
    m_triedServers.insert(m_attempt->backendId());
    m_context.pool.forget(m_attempt->backendId());
    endAttempt(SendOutcome::Failed);
    takeFailure();
}

auto RequestFlow::takeComplete() -> void
{
    if (m_answer.isNotRun)
        return takeNotRun();
    ++m_ranAt;
    const bool isGarbled =
        m_answer.isEncoded || (m_answer.isSuccess() && !m_answer.isSigned) || m_splitter.hasRest();
    const bool isError = m_answer.status >= firstServerError;
    const std::string server = m_attempt->backendId();
    endAttempt(isGarbled || isError ? SendOutcome::Failed : SendOutcome::Good);
    if (isGarbled) {
        m_triedServers.insert(server);
        return takeFailure();
    }
    if (isError && !m_answerBegun && mayRepeatNow() && takeRetry("server_error")) {
        m_triedServers.insert(server);
        const BackendAnswer answer = m_answer;
        const std::string body = m_body;
        if (trySend())
            return;
        m_answer = answer;
        m_body = body;
    }
    m_context.crashSuspects.noteFinished(m_fingerprint);
    Http1::ServerConnection *caller = m_caller;
    const bool begun = m_answerBegun;
    // The caller would read such a status as a promise that the request has not run.
    const bool isFalsePromise = isPromise(m_answer.status) && !m_route->mayRepeat();
    const bool isUnsignedFailure = !m_answer.isSigned;
    if (!begun && (isFalsePromise || isUnsignedFailure))
        return refuse(RefusalReason::BackendFailed);
    if (begun && !m_answer.isSuccess())
        return refuse(RefusalReason::BackendFailed);
    m_context.metrics.count("acacia_answers_total");
    m_context.metrics.observe("acacia_request_seconds",
                              Utils::toSeconds(m_context.reactor.now() - m_arrivedAt));
    m_lastServer = server;
    logOutcome(m_answer.status, "answered");
    const BackendAnswer answer = std::move(m_answer);
    const std::string body = std::move(m_body);
    const bool isEmptyStream = m_route->kind == RouteKind::Stream && !begun && body.empty();
    finish();
    if (begun) {
        caller->finish();
    } else if (isEmptyStream && answer.isSuccess()) {
        caller->begin(answer.status, answer.forwarded);
        caller->finish();
    } else {
        caller->respond(answer.status, answer.forwarded, body);
    }
}

/// The server said that it has not run the request.
auto RequestFlow::takeNotRun() -> void
{
    const std::string server = m_attempt->backendId();
    if (m_answer.isOtherServer) {
        // Either another incarnation has the address, or the model is not there.
        if (m_answer.otherServerId && *m_answer.otherServerId != server)
            m_triedServers.insert(server);
        else if (m_needsModel)
            m_context.board.noteMissing(server, m_request.model, m_request.adapter);
        endAttempt(SendOutcome::Abandoned);
    } else {
        endAttempt(SendOutcome::Busy);
    }
    if (!takeRetry("not_run"))
        return refuse(m_ranAt > 0 ? RefusalReason::BackendFailed : RefusalReason::NoBackendServer);
    if (!trySend())
        waitForServer();
}

/// The request may have run and its answer is lost, or broke off.
auto RequestFlow::takeFailure() -> void
{
    if (!mayRepeatNow() || !takeRetry("answer_lost"))
        return refuse(RefusalReason::BackendFailed);
    if (!trySend())
        waitForServer();
}

auto RequestFlow::mayRepeatNow() const -> bool
{
    return m_route->mayRepeat() && m_ranAt < m_route->mostServers
        && timeLeft() > Constants::AnswerMargin * 2;
}

auto RequestFlow::takeRetry(const char *reason) -> bool
{
    const bool isGranted = m_context.retryBudget(m_service).takeRetry();
    m_context.metrics.count("acacia_retries_total",
                            {{"reason", reason}, {"granted", isGranted ? "yes" : "no"}});
    Utils::logEvent(Utils::Event::RequestRetried,
                    {{"request", m_request.attemptId},
                     {"reason", reason},
                     {"granted", isGranted},
                     {"sends", m_sends}});
    return isGranted;
}

auto RequestFlow::endAttempt(SendOutcome outcome) -> void
{
    if (!m_attempt)
        return;
    m_context.board.noteEnded(m_attempt->backendId(), outcome, m_context.reactor.now());
    if (m_needsModel)
        m_context.demand.noteRunning(m_modelKey, -1);
    m_context.reactor.cancel(m_silenceTimer);
    m_attempt->abandon();
    // The attempt may be in one of its callbacks; it goes with the request.
    m_endedAttempts.push_back(std::move(m_attempt));
    m_context.waiting.wake();
}

/// Watches for servers that went silent, where the request may go on elsewhere.
auto RequestFlow::armSilence() -> void
{
    m_context.reactor.cancel(m_silenceTimer);
    if (!m_route->mayRepeat())
        return;
    Duration limit = Constants::StreamSilence;
    if (m_route->kind == RouteKind::Idempotent)
        limit = std::chrono::duration_cast<Duration>(m_route->latencyObjective
                                                     * Constants::RepeatAfterObjectives);
    else if (!m_answerBegun)
        limit = std::chrono::duration_cast<Duration>(m_route->latencyObjective
                                                     * Constants::FirstEventObjectives);
    m_silenceTimer = m_context.reactor.callAfter(limit, [weak = weak_from_this()] {
        if (const auto flow = weak.lock())
            flow->handleSilence();
    });
}

auto RequestFlow::handleSilence() -> void
{
    const auto keep = shared_from_this();
    if (m_isDone || !m_attempt)
        return;
    const bool mayHaveArrived = m_attempt->mayHaveArrived();
    if (mayHaveArrived && m_ranAt + 1 >= m_route->mostServers)
        return;
    // Without another server the silent one is still the best hope.
    BackendRequirements others = need();
    others.excluded.insert(m_attempt->backendId());
    if (!m_context.board.choose(others, m_context.reactor.now()) || !takeRetry("silence"))
        return;
    if (mayHaveArrived)
        ++m_ranAt;
    m_triedServers.insert(m_attempt->backendId());
    endAttempt(SendOutcome::Failed);
    if (!trySend())
        waitForServer();
}

auto RequestFlow::logOutcome(int status, const char *outcome) -> void
{
    const auto now = m_context.reactor.now();
    const auto since = [&](Utils::TimePoint at) {
        return at == Utils::TimePoint() ? -1
                                        : duration_cast<milliseconds>(at - m_arrivedAt).count();
    };
    const auto age = m_context.denialCheck.age();
    Utils::logEvent(status >= 200 && status < 300 ? Utils::Event::RequestServed
                                                  : Utils::Event::RequestRefused,
                    {{"request", m_request.attemptId},
                     {"outcome", outcome},
                     {"status", status},
                     {"route", m_route ? m_route->name : std::string()},
                     {"customer", m_customer ? m_customer->name : std::string()},
                     {"model", m_request.modelName()},
                     {"tokens", m_request.tokens()},
                     {"charged", m_charged},
                     {"server", m_attempt ? m_attempt->backendId() : m_lastServer},
                     {"sends", m_sends},
                     {"mayHaveRun", m_ranAt},
                     {"configuration", m_configuration ? m_configuration->version : 0},
                     {"configurationAgeMs", age ? duration_cast<milliseconds>(*age).count() : -1},
                     {"firstEventMs", since(m_firstEventAt)},
                     {"longestPauseMs", duration_cast<milliseconds>(m_longestPause).count()},
                     {"tookMs", since(now)}});
}

} // namespace Gateway
