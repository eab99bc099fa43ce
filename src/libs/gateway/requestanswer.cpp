// The functions of RequestFlow that process backend servers' answers.

#include "backendregistry.h"
#include "connectionpool.h"
#include "denialcheck.h"
#include "gatewayconstants.h"
#include "gatewaycontext.h"
#include "quotaledger.h"
#include "requestflow.h"
#include "requestqueue.h"
#include "streamorigins.h"
#include "suspectexchange.h"

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

/// Returns true for the statuses by which a gateway states that a request has not run.
auto impliesNotRun(int status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

constexpr int FirstServerError = 500;

/// Names of the prompt's parts, for the log, except for the last one: it is the request's own.
auto sharedPartNames(const CallerRequest &request) -> std::vector<std::string>
{
    constexpr size_t maxNames = 8;
    std::vector<std::string> names;
    for (size_t i = 0; i + 1 < request.promptParts.size() && i < maxNames; ++i)
        names.push_back(request.promptParts[i].id);
    return names;
}

} // namespace

auto RequestFlow::handleHead(const BackendAnswer &answer) -> void
{
    m_hasHead = true;
    m_answer = answer;
    if (answer.load)
        m_context.board.updateLoad(m_attempt->backendId(), *answer.load, m_context.reactor.now());
    if (m_route->kind != RouteKind::Stream && answer.isSuccess() && answer.isSigned)
        noteProgress(1);
}

auto RequestFlow::noteProgress(int events) -> void
{
    if (auto *server = m_context.board.stateOf(m_attempt->backendId(), m_run.startedAtMs))
        m_context.board.selector().noteEvents(m_profile, m_run, *server, events,
                                              m_context.reactor.now());
}

auto RequestFlow::handleBody(std::string_view data) -> void
{
    const bool isStream = m_route->kind == RouteKind::Stream && m_answer.isSuccess()
        && m_answer.isSigned && !m_answer.isEncoded;
    m_run.answerBytes += static_cast<double>(data.size());
    bool isValid = true;
    if (isStream)
        isValid = relayEvents(data);
    else
        m_body += data;
    const bool isTooLarge = m_body.size() > Constants::MaxAnswerBytes
        || m_splitter.partialEventBytes() > Constants::MaxEventBytes;
    if (m_attempt && (!isValid || isTooLarge))
        return handleEnd(AttemptEnd::Broken);
    if (m_caller)
        m_caller->noteHeldAnswer(m_body.size());
    awaitRoom();
}

/// Stops reading the answer from the server while the client doesn't take what it has.
auto RequestFlow::awaitRoom() -> void
{
    const auto self = shared_from_this();
    const bool hasRoom = !m_caller || m_caller->hasRoomForAnswer();
    if (!m_attempt)
        return;
    if (hasRoom)
        return m_attempt->resumeReading();
    m_attempt->pauseReading();
    startSilenceTimer();
    m_context.reactor.callAfter(Constants::RoomCheckInterval, [weak = weak_from_this()] {
        if (const auto flow = weak.lock())
            flow->awaitRoom();
    });
}

/// Returns false for bytes that show that the answer is not, or no longer, this request's stream.
auto RequestFlow::mayRelay(const Http1::StreamEvent &event) const -> bool
{
    if (event.id || event.isComment)
        return true;
    // Nothing shows that it continues what the caller has.
    return !m_resumedAfter && event.hasOnlyFields;
}

/// Forwards complete events in order, each exactly once. Returns false if the answer must not be
/// read on.
auto RequestFlow::relayEvents(std::string_view data) -> bool
{
    std::string out;
    int newEvents = 0;
    bool isValid = true;
    for (const Http1::StreamEvent &event : m_splitter.feed(data)) {
        isValid = mayRelay(event);
        if (!isValid)
            break;
        if (event.id && m_lastEvent && *event.id <= *m_lastEvent)
            continue;
        const bool hasContinued = !m_resumedAfter || m_lastEvent != m_resumedAfter;
        if (event.isComment && !hasContinued)
            continue;
        if (event.id) {
            m_lastEvent = event.id;
            ++newEvents;
        }
        m_hasEventsWithoutId = m_hasEventsWithoutId || !(event.id || event.isComment);
        out += event.text;
    }
    if (out.empty())
        return isValid;
    if (!m_answerBegun) {
        m_answerBegun = true;
        m_firstEventAt = m_context.reactor.now();
        noteAnswerBegun();
        beginStream();
        m_context.metrics.observe("acacia_first_byte_seconds",
                                  Utils::toSeconds(m_firstEventAt - m_arrivedAt));
        m_caller->begin(m_answer.status, m_answer.forwarded);
    }
    const auto now = m_context.reactor.now();
    if (m_lastEventAt != Utils::TimePoint())
        m_longestPause = std::max(m_longestPause, now - m_lastEventAt);
    m_lastEventAt = now;
    m_caller->write(out);
    // Comments show that the connection is alive, but not that the engine makes progress.
    if (newEvents == 0)
        return isValid;
    noteProgress(newEvents);
    startSilenceTimer();
    if (!m_attemptBegunAt)
        m_attemptBegunAt = now;
    if (!m_hasNotedSurvival && hasOutlivedBeginning())
        noteSurvived(false);
    return isValid;
}

/// Called before the first event is sent to the caller.
auto RequestFlow::beginStream() -> void
{
    bindToVersion();
    if (!isResumableStream())
        return;
    std::string attempt = takesUpStream() ? m_request.resumedAttempt : m_request.attemptId;
    if (attempt.size() > Constants::MaxResumableAttemptBytes)
        attempt.clear();
    if (m_context.streamOrigins && !attempt.empty())
        m_context.streamOrigins->noteBegun(attempt, m_service, *m_streamVersion);
    if (!m_context.onStreamBegun)
        return;
    m_context.onStreamBegun({std::move(attempt), m_service, m_attempt->backendId(),
                             m_serverStartedAtMs, m_attempt->connectedAt(),
                             [weak = weak_from_this()] {
                                 if (const auto flow = weak.lock())
                                     flow->m_streamVersion = std::string();
                             }});
}

/// Binds a stream that may go on at another server to the version of this one.
auto RequestFlow::bindToVersion() -> void
{
    if (!m_route->mayRepeat() || m_streamVersion)
        return;
    const BackendServer *server = m_context.board.find(m_attempt->backendId());
    // The answer may be from either of two incarnations.
    const bool isReplaced = server && server->startedAtMs != m_serverStartedAtMs;
    m_streamVersion = isReplaced ? std::string() : m_serverVersion;
}

/// The part of the answer that the latency objective is set for has arrived.
auto RequestFlow::noteAnswerBegun() -> void
{
    m_context.requestQueue.admission().noteAnswered(m_waiting, m_context.reactor.now() - m_sentAt);
}

auto RequestFlow::hasOutlivedBeginning() const -> bool
{
    return m_attemptBegunAt
        && m_context.reactor.now() - *m_attemptBegunAt >= Constants::AnswerBeginningTime;
}

auto RequestFlow::noteSurvived(bool isWhole) -> void
{
    m_hasNotedSurvival = true;
    m_context.suspects->noteSurvived(Routing::clearedBy(m_features, isWhole));
}

/// Notes that the server may have crashed on the request.
auto RequestFlow::noteLost(bool isCutOff) -> void
{
    m_context.onRequestLost({m_attempt->backendId(), m_serverStartedAtMs,
                             Routing::suspectsOf(m_features, hasOutlivedBeginning()), isCutOff});
}

auto RequestFlow::handleEnd(AttemptEnd outcome) -> void
{
    const auto self = shared_from_this();
    switch (outcome) {
    case AttemptEnd::Complete:
        handleComplete();
        return;
    case AttemptEnd::NotSent:
        if (m_isHeldBack) {
            endAttempt(SendOutcome::Abandoned);
        } else {
            m_context.pool.closeIdleConnections(m_attempt->backendId());
            endAttempt(SendOutcome::Unreachable);
        }
        if (!trySend())
            waitForServer();
        return;
    case AttemptEnd::Lost:
    case AttemptEnd::Broken:
        break;
    }
    ++m_possibleRuns;
    const auto sinceFirstEvent = m_firstEventAt == Utils::TimePoint()
        ? -1
        : duration_cast<milliseconds>(m_context.reactor.now() - m_firstEventAt).count();
    Utils::logEvent(
        Utils::Event::StreamEnded,
        {{"request", m_request.attemptId},
         {"server", m_attempt->backendId()},
         {"softwareVersion", m_serverVersion},
         {"reason", outcome == AttemptEnd::Lost ? "lost_before_answer" : "broken_answer"},
         {"answerBegun", m_answerBegun},
         {"sinceFirstEventMs", sinceFirstEvent},
         {"sharedParts", sharedPartNames(m_request)}});
    noteLost(true);
    m_triedServers.insert(m_attempt->backendId());
    m_context.pool.closeIdleConnections(m_attempt->backendId());
    endAttempt(SendOutcome::Failed);
    handleFailure();
}

auto RequestFlow::handleComplete() -> void
{
    if (m_answer.isNotRun)
        return handleNotRun();
    ++m_possibleRuns;
    const bool isMalformed = m_answer.isEncoded || (m_answer.isSuccess() && !m_answer.isSigned)
        || m_splitter.hasPartialEvent() || mayLackItsBody();
    const bool isError = m_answer.status >= FirstServerError;
    const std::string server = m_attempt->backendId();
    // A crash may end such an answer as well, as a machine may end connections in an orderly way.
    if (m_answer.endsWithConnection || m_splitter.hasPartialEvent())
        noteLost(m_splitter.hasPartialEvent() || !m_attemptBegunAt);
    else if (!isMalformed)
        noteSurvived(true);
    endAttempt(isMalformed || isError ? SendOutcome::Failed : SendOutcome::Good);
    if (isMalformed || isEmptyContinuation()) {
        m_triedServers.insert(server);
        return handleFailure();
    }
    if (isError && !m_answerBegun && mayRepeatNow() && requestRetry("server_error")) {
        m_triedServers.insert(server);
        const BackendAnswer answer = m_answer;
        const std::string body = m_body;
        if (trySend())
            return;
        m_answer = answer;
        m_body = body;
    }
    Http1::ServerConnection *caller = m_caller;
    const bool begun = m_answerBegun;
    // The caller would take such a status as a statement that the request has not run.
    const bool wouldImplyNotRun = impliesNotRun(m_answer.status) && !m_route->mayRepeat();
    const bool isUnsignedFailure = !m_answer.isSigned;
    if (!begun && (wouldImplyNotRun || isUnsignedFailure))
        return refuse(RefusalReason::BackendFailed);
    if (begun && !m_answer.isSuccess())
        return refuse(RefusalReason::BackendFailed);
    if (!begun)
        noteAnswerBegun();
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

/// True if a successful answer has no content and nothing but the connection's end shows that it
/// is whole: a server that fails right after the head leaves the same bytes.
auto RequestFlow::mayLackItsBody() const -> bool
{
    const bool hasContent = !m_body.empty() || m_attemptBegunAt || m_hasEventsWithoutId;
    return m_answer.isSuccess() && m_answer.endsWithConnection && !hasContent
        && m_request.method != "HEAD";
}

/// True if a successful answer has to continue a stream, but adds nothing to it. The server may
/// have had nothing to add, but nothing shows that: a stream's last event looks like any other.
auto RequestFlow::isEmptyContinuation() const -> bool
{
    return m_resumedAfter && m_answer.isSuccess() && m_lastEvent == m_resumedAfter;
}

/// Handles an answer which says that the server has not run the request.
auto RequestFlow::handleNotRun() -> void
{
    const std::string server = m_attempt->backendId();
    const bool isOtherIncarnation =
        m_answer.isWrongServer && m_answer.actualServerId && *m_answer.actualServerId != server;
    if (isOtherIncarnation)
        m_triedServers.insert(server);
    else if (m_answer.isWrongServer && m_needsModel)
        m_context.board.noteMissing(server, m_request.model, m_request.adapter);
    const bool isUnsuitable = isOtherIncarnation || (m_answer.isWrongServer && m_needsModel);
    endAttempt(isUnsuitable ? SendOutcome::Abandoned : SendOutcome::Busy);
    if (!requestRetry("not_run"))
        return refuse(m_possibleRuns > 0 ? RefusalReason::BackendFailed
                                         : RefusalReason::NoBackendServer);
    if (!trySend())
        waitForServer();
}

/// Handles a lost or truncated answer; the request may have run.
auto RequestFlow::handleFailure() -> void
{
    if (!mayRepeatNow() || !requestRetry("answer_lost"))
        return refuse(RefusalReason::BackendFailed);
    if (!trySend())
        waitForServer();
}

auto RequestFlow::mayRepeatNow() const -> bool
{
    // Another server can't be told to go on after events without an id.
    return !isSuspect() && m_route->mayRepeat() && !m_hasEventsWithoutId
        && m_possibleRuns < m_route->maxServers && timeLeft() > Constants::AnswerMargin * 2;
}

auto RequestFlow::requestRetry(const char *reason) -> bool
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
    if (auto *server = m_context.board.stateOf(m_attempt->backendId(), m_run.startedAtMs))
        m_context.board.selector().noteEnded(m_profile, m_run, *server,
                                             outcome == SendOutcome::Good);
    if (m_run.isRemote && m_attempt->mayHaveArrived()) {
        m_context.metrics.count("acacia_cross_domain_requests_total", {{"service", m_service}});
        m_context.metrics.count("acacia_cross_domain_bytes_total", {{"service", m_service}},
                                m_profile.bytes + m_run.answerBytes);
    }
    m_context.board.noteEnded(m_attempt->backendId(), outcome, m_context.reactor.now());
    if (m_needsModel)
        m_context.demand.noteRunning(m_modelKey, -1);
    m_context.reactor.cancel(m_silenceTimer);
    m_attempt->abandon();
    // The attempt may be inside one of its callbacks, so it is destroyed with the request.
    m_endedAttempts.push_back(std::move(m_attempt));
    m_context.requestQueue.wake();
}

/// Starts the timeout for a silent server if the request may be repeated at another one.
auto RequestFlow::startSilenceTimer() -> void
{
    m_context.reactor.cancel(m_silenceTimer);
    if (!m_route->mayRepeat())
        return;
    Duration limit = Constants::StreamIdleTimeout;
    if (m_route->kind == RouteKind::Idempotent)
        limit = std::chrono::duration_cast<Duration>(m_route->latencyObjective
                                                     * Constants::RepeatAfterObjectives);
    else if (!m_answerBegun)
        limit = std::chrono::duration_cast<Duration>(m_route->latencyObjective
                                                     * Constants::FirstEventTimeoutObjectives);
    m_silenceTimer = m_context.reactor.callAfter(limit, [weak = weak_from_this()] {
        if (const auto flow = weak.lock())
            flow->handleSilence();
    });
}

auto RequestFlow::handleSilence() -> void
{
    const auto self = shared_from_this();
    if (m_isDone || !m_attempt || m_hasEventsWithoutId)
        return;
    const bool mayHaveArrived = m_attempt->mayHaveArrived();
    if (mayHaveArrived && m_possibleRuns + 1 >= m_route->maxServers)
        return;
    // If no other server is available, keeps waiting for the silent one.
    BackendRequirements others = requirements();
    others.excluded.insert(m_attempt->backendId());
    if (!m_context.board.choose(others, m_context.reactor.now()) || !requestRetry("silence"))
        return;
    if (mayHaveArrived)
        ++m_possibleRuns;
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
    const auto age = m_context.denialCheck.confirmationAge();
    Utils::logEvent(
        status >= 200 && status < 300 ? Utils::Event::RequestServed : Utils::Event::RequestRefused,
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
         {"mayHaveRun", m_possibleRuns},
         {"configuration", m_configuration ? m_configuration->version : 0},
         {"configurationAgeMs", age ? duration_cast<milliseconds>(*age).count() : -1},
         {"firstEventMs", since(m_firstEventAt)},
         {"longestPauseMs", duration_cast<milliseconds>(m_longestPause).count()},
         {"softwareVersion", m_streamVersion.value_or(std::string())},
         {"resumes", m_request.resumedAttempt.substr(0, Constants::MaxResumableAttemptBytes)},
         {"crashFeature", m_verdict ? m_verdict->feature.toString() : std::string()},
         {"crashes", m_verdict ? m_verdict->crashes : 0},
         {"tookMs", since(now)}});
}

} // namespace Gateway
