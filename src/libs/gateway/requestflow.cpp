#include "requestflow.h"

#include "backendregistry.h"
#include "denialcheck.h"
#include "gatewayconstants.h"
#include "gatewaycontext.h"
#include "permitexchange.h"
#include "quotaledger.h"
#include "requestqueue.h"
#include "streamorigins.h"
#include "suspectexchange.h"

#include <admission/retryafter.h>
#include <http1/serverconnection.h>
#include <monitoring/metrics.h>
#include <utils/eventlog.h>
#include <utils/rendezvous.h>

#include <algorithm>
#include <array>

namespace Gateway {

using Admission::RefusalReason;

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Utils::Duration;

namespace {

/// HTTP status of the refusal. A 4xx status would count as a denial of a request that the
/// configuration allows.
auto statusOf(RefusalReason reason) -> int
{
    constexpr int unavailable = 503;
    return reason == RefusalReason::CrashSuspect ? unavailable
                                                 : Admission::describe(reason).httpStatus;
}

} // namespace

auto RequestFlow::create(GatewayContext &context, Http1::ServerConnection &caller,
                         const Http1::RequestHead &head, std::string &&body,
                         std::function<void()> onDone) -> std::shared_ptr<RequestFlow>
{
    std::shared_ptr<RequestFlow> flow(new RequestFlow(context, caller, std::move(onDone)));
    flow->m_parsed = context.wire.parseRequest(head, std::move(body));
    return flow;
}

RequestFlow::RequestFlow(GatewayContext &context, Http1::ServerConnection &caller,
                         std::function<void()> onDone)
    : m_context(context)
    , m_caller(&caller)
    , m_onDone(std::move(onDone))
    , m_configuration(context.configuration)
    , m_parsed(tl::unexpected(std::string()))
    , m_arrivedAt(context.reactor.now())
{ }

RequestFlow::~RequestFlow()
{
    release();
}

auto RequestFlow::start() -> void
{
    m_context.metrics.count("acacia_requests_total");
    if (m_parsed)
        m_request = std::move(*m_parsed);
    if (validate() && charge())
        admit();
}

auto RequestFlow::admit() -> void
{
    m_lastEvent = m_request.resumeAfter;
    m_context.retryBudget(m_service).noteRequest();
    if (m_needsModel)
        m_context.demand.noteArrived(m_modelKey, m_arrivedAt);
    startTimers();
    m_waiting = {m_context.requestQueue.makeId(),
                 m_service,
                 m_needsModel ? m_request.model : std::string(),
                 m_needsModel ? m_request.adapter : std::string(),
                 m_route->name,
                 m_customer ? m_customer->name : std::string(),
                 m_customer ? m_customer->priority : 0,
                 m_route->priority,
                 m_request.hasTokenCount ? m_request.tokens() : double(m_request.body.size()),
                 m_arrivedAt,
                 m_arrivedAt + m_route->latencyObjective,
                 m_waitEnd};
    const auto now = m_context.reactor.now();
    m_context.requestQueue.admission().noteArrived(m_waiting, now);
    if (takesUpStream())
        return findOrigin();
    const auto &scheduler = m_context.requestQueue.admission().scheduler();
    if (scheduler.hasClaimBefore(m_waiting, now) || !trySend())
        waitForServer();
}

auto RequestFlow::takesUpStream() const -> bool
{
    return m_route->kind == RouteKind::Stream && m_request.takesUpStream;
}

/// True if the caller may take up the stream with another request.
auto RequestFlow::isResumableStream() const -> bool
{
    return m_route->kind == RouteKind::Stream && m_route->isResumable;
}

/// True if it matters which version serves the request.
auto RequestFlow::needsVersion() const -> bool
{
    return isResumableStream() || m_streamVersion;
}

/// Looks up the version that began the stream that the request takes up.
auto RequestFlow::findOrigin() -> void
{
    if (!m_context.streamOrigins)
        return refuse(RefusalReason::UnknownStream);
    const Duration patience = std::clamp<Duration>(m_waitEnd - m_context.reactor.now(),
                                                   Duration::zero(), Constants::MaxOriginWait);
    m_originTicket = m_context.streamOrigins->find(
        m_request.resumedAttempt, m_service, patience,
        [weak = weak_from_this()](const std::optional<std::string> &version) {
            if (const auto flow = weak.lock())
                flow->handleOrigin(version);
        });
}

auto RequestFlow::handleOrigin(const std::optional<std::string> &version) -> void
{
    m_originTicket.reset();
    if (m_isDone)
        return;
    if (!version || version->empty())
        return refuse(RefusalReason::UnknownStream);
    m_streamVersion = version;
    if (m_context.isStopping())
        return abort();
    if (!trySend())
        waitForServer();
}

auto RequestFlow::cancelOrigin() -> void
{
    if (m_originTicket)
        m_context.streamOrigins->cancel(*m_originTicket);
    m_originTicket.reset();
}

/// Runs the checks that need no quota or server. Returns false if the request was refused or waits
/// for a confirmation of the configuration.
auto RequestFlow::validate() -> bool
{
    if (!m_configuration || m_context.isStopping()) {
        refuse(m_configuration ? RefusalReason::Draining : RefusalReason::NotFresh);
        return false;
    }
    if (!m_parsed) {
        refuse(RefusalReason::MalformedBody);
        return false;
    }
    m_route = m_configuration->findRoute(m_request.host, m_request.path);
    if (!m_route) {
        deny(RefusalReason::UnknownRoute);
        return false;
    }
    if (m_configuration->requiresKeys && m_route->needsKey) {
        m_customer = m_configuration->findCustomer(m_request.key);
        if (!m_customer) {
            deny(RefusalReason::WrongKey);
            return false;
        }
    }
    selectService();
    if (!m_context.board.hasService(m_service)) {
        refuse(RefusalReason::NoBackendServer);
        return false;
    }
    const std::string &resumed = m_request.resumedAttempt;
    if (takesUpStream()
        && (resumed.empty() || resumed.size() > Constants::MaxResumableAttemptBytes)) {
        refuse(RefusalReason::UnknownStream);
        return false;
    }
    std::vector<std::string> parts;
    for (const PromptPart &part : m_request.promptParts)
        parts.push_back(part.id);
    m_features = Routing::withRun(Routing::crashFeaturesOf(
        m_customer ? m_customer->name : std::string(), m_request.target, m_request.body, parts));
    if (isSuspect()) {
        refuseSuspect();
        return false;
    }
    return true;
}

/// Denies a request for good if the store has confirmed the configuration recently. Otherwise the
/// request waits for a confirmation, or is refused as not run if too many requests wait already.
auto RequestFlow::deny(RefusalReason reason) -> void
{
    if (m_context.denialCheck.mayDeny())
        return refuse(reason);
    if (m_confirmationTicket)
        return;
    const auto weak = weak_from_this();
    m_confirmationTicket = m_context.denialCheck.waitForConfirmation([weak] {
        if (const auto flow = weak.lock())
            flow->revalidate();
    });
    if (!m_confirmationTicket)
        return refuse(RefusalReason::NotFresh);
    Duration maxWait = Constants::ConfirmationTimeout;
    if (m_request.patience)
        maxWait = std::min(maxWait,
                           duration_cast<Duration>(*m_request.patience * Constants::MaxWaitShare));
    if (m_route)
        maxWait =
            std::min(maxWait, duration_cast<Duration>(m_route->timeout * Constants::MaxWaitShare));
    m_confirmationTimer = m_context.reactor.callAfter(maxWait, [weak] {
        if (const auto flow = weak.lock())
            flow->refuse(RefusalReason::NotFresh);
    });
}

/// Validates the request again with the current configuration after an answer of the store.
auto RequestFlow::revalidate() -> void
{
    m_route = nullptr;
    m_customer = nullptr;
    m_configuration = m_context.configuration;
    if (!validate())
        return;
    cancelConfirmation();
    if (charge())
        admit();
}

auto RequestFlow::cancelConfirmation() -> void
{
    m_context.reactor.cancel(m_confirmationTimer);
    if (m_confirmationTicket)
        m_context.denialCheck.cancel(*m_confirmationTicket);
    m_confirmationTicket.reset();
}

auto RequestFlow::tryChargeQuota() -> bool
{
    const double cost =
        m_context.quota.costOf(*m_customer, m_request.hasTokenCount, m_request.tokens());
    if (!m_context.quota.tryConsume(m_customer->name, cost, m_context.reactor.now()))
        return false;
    m_charged = cost;
    return true;
}

/// Charges the request's quota. Returns false if the request waits for quota from other gateways.
auto RequestFlow::charge() -> bool
{
    if (!m_customer || tryChargeQuota())
        return true;
    waitForQuota(Constants::QuotaChecks);
    return false;
}

/// Requests quota from other gateways and checks after a short delay whether there is enough.
auto RequestFlow::waitForQuota(int checksLeft) -> void
{
    m_context.onQuotaShortage();
    const auto wait = std::min<Duration>(m_route->latencyObjective / Constants::QuotaWaitDivisor,
                                         Constants::MaxQuotaWait);
    m_quotaTimer = m_context.reactor.callAfter(wait / Constants::QuotaChecks,
                                               [weak = weak_from_this(), checksLeft] {
                                                   const auto flow = weak.lock();
                                                   if (!flow || flow->m_isDone)
                                                       return;
                                                   if (flow->tryChargeQuota())
                                                       flow->admit();
                                                   else if (checksLeft > 1)
                                                       flow->waitForQuota(checksLeft - 1);
                                                   else
                                                       flow->refuse(RefusalReason::OverContract);
                                               });
}

/// Chooses the service by a hash of the attempt's identity, so that retries use the same service,
/// and streams are taken up at the service that began them.
auto RequestFlow::selectService() -> void
{
    double total = 0;
    for (const ServiceShare &share : m_route->shares)
        total += share.weight;
    constexpr std::uint64_t steps = 1 << 20;
    const std::string &identity = takesUpStream() ? m_request.resumedAttempt : m_request.attemptId;
    double point = static_cast<double>(Utils::stableHash(identity) % steps) / steps * total;
    m_service = m_route->shares.back().service;
    for (const ServiceShare &share : m_route->shares) {
        if (point < share.weight) {
            m_service = share.service;
            break;
        }
        point -= share.weight;
    }
    const Service *service = m_configuration->findService(m_service);
    m_needsModel = service && service->engine && !m_request.model.empty();
    m_modelKey = {m_service, m_request.model, m_request.adapter};
    m_profile = {m_service,
                 m_needsModel ? m_request.modelName() : std::string(),
                 static_cast<double>(m_request.promptTokens),
                 static_cast<double>(m_request.maxAnswerTokens),
                 m_request.lengthHint,
                 static_cast<double>(m_request.body.size()),
                 {},
                 Utils::stableHash(identity)};
    for (size_t i = 0; m_route->hasPromptParts && i + 1 < m_request.promptParts.size(); ++i)
        m_profile.addPart(m_request.promptParts[i].id, m_request.promptParts[i].tokens);
}

auto RequestFlow::startTimers() -> void
{
    milliseconds total = m_route->timeout;
    if (m_request.patience)
        total = std::min(total, *m_request.patience);
    m_deadline = m_arrivedAt + total;
    // A client that has given up is served by nobody; refused before that, it may try again.
    m_waitEnd = m_arrivedAt
        + duration_cast<Duration>(std::min(total, m_route->clientPatience)
                                  * Constants::MaxWaitShare);
    // Part of the time may have been spent waiting for quota or for a confirmation.
    const auto now = m_context.reactor.now();
    const auto weak = weak_from_this();
    m_deadlineTimer = m_context.reactor.callAfter(
        std::max<Duration>(m_deadline - Constants::AnswerMargin - now, Duration::zero()), [weak] {
            if (const auto flow = weak.lock())
                flow->handleDeadline();
        });
    m_waitTimer =
        m_context.reactor.callAfter(std::max<Duration>(m_waitEnd - now, Duration::zero()), [weak] {
            if (const auto flow = weak.lock())
                flow->handleWaitTimeout();
        });
}

auto RequestFlow::waitForServer() -> void
{
    if (m_isDone || m_isWaiting || refuseIfAllPaused() || refuseIfNoServerIsLeft())
        return;
    m_isWaiting = true;
    m_context.requestQueue.add(shared_from_this(), m_waiting);
    requestPermit();
    if (!m_needsModel)
        return;
    m_context.demand.noteWaiting(m_modelKey, m_context.reactor.now());
    if (m_streamVersion && !m_streamVersion->empty()) {
        m_awaitedAtVersion = {m_service, m_request.model, m_request.adapter, *m_streamVersion};
        m_context.demand.versions().noteWaiting(*m_awaitedAtVersion, 1);
    }
    m_context.onModelNeeded();
}

/// Refuses the request if all servers have asked for a pause that outlasts its waiting time.
/// Requests for a model keep waiting, as another engine may load the model, unless they need one
/// of a certain version.
auto RequestFlow::refuseIfAllPaused() -> bool
{
    if (m_needsModel && !m_streamVersion)
        return false;
    const auto pauseEnd = m_context.board.pauseEnd(requirements(), m_context.reactor.now());
    if (!pauseEnd || *pauseEnd < m_waitEnd)
        return false;
    refuse(m_possibleRuns > 0 ? RefusalReason::BackendFailed : RefusalReason::NoBackendServer);
    return true;
}

/// Refuses a request if its service is evacuated, or if it goes on with a stream and no server of
/// that version can serve it any more.
auto RequestFlow::refuseIfNoServerIsLeft() -> bool
{
    const bool isEvacuated =
        !m_context.board.evacuations().domains().empty() && !m_context.board.hasService(m_service);
    if (!isEvacuated && (!m_streamVersion || m_context.board.hasPossibleServer(requirements())))
        return false;
    refuse(m_possibleRuns > 0 ? RefusalReason::BackendFailed : RefusalReason::NoBackendServer);
    return true;
}

auto RequestFlow::stopWaiting() -> void
{
    if (!m_isWaiting)
        return;
    m_isWaiting = false;
    cancelPermit();
    m_context.requestQueue.remove(m_waiting.id);
    if (m_needsModel)
        m_context.demand.noteWaitingEnded(m_modelKey);
    if (m_awaitedAtVersion)
        m_context.demand.versions().noteWaiting(*m_awaitedAtVersion, -1);
    m_awaitedAtVersion.reset();
}

/// Requests a permit if the request can only be sent to a server that has named a limit.
auto RequestFlow::requestPermit() -> void
{
    // All waiting requests do this again and again.
    if (m_context.rateLimits.all().empty())
        return cancelPermit();
    const bool isOpen = m_permitTicket && m_context.permits->isOpen(*m_permitTicket);
    BackendRequirements needed = requirements();
    needed.excluded.insert(m_refusedPermits.begin(), m_refusedPermits.end());
    const auto now = m_context.reactor.now();
    const auto id =
        m_context.board.choosePermitServer(needed, isOpen ? m_permitServer : std::string(), now);
    if (isOpen && id == m_permitServer)
        return;
    cancelPermit();
    if (!id)
        return;
    m_permitServer = *id;
    PermitExchange::Need need;
    need.server = *id;
    need.startedAtMs = m_context.board.find(*id)->startedAtMs;
    need.request = m_request.attemptId;
    need.patience = m_waitEnd - now;
    need.onRefused = [weak = weak_from_this(), server = *id](Duration delay) {
        if (const auto flow = weak.lock())
            flow->handlePermitRefused(server, delay);
    };
    m_permitTicket = m_context.permits->request(std::move(need));
}

auto RequestFlow::cancelPermit() -> void
{
    if (m_permitTicket)
        m_context.permits->cancel(*m_permitTicket);
    m_permitTicket.reset();
}

/// Tries another server with a limit; refuses the request if no other server can take it in time.
auto RequestFlow::handlePermitRefused(const std::string &server, Duration delay) -> void
{
    if (m_isDone || !m_isWaiting)
        return;
    m_permitTicket.reset();
    m_permitDelay = m_refusedPermits.empty() ? delay : std::min(m_permitDelay, delay);
    m_refusedPermits.insert(server);
    requestPermit();
    if (m_permitTicket || m_context.board.hasServerWithoutLimit(requirements()))
        return;
    refuse(m_possibleRuns > 0 ? RefusalReason::BackendFailed : RefusalReason::WouldMissDeadline);
}

auto RequestFlow::abort() -> void
{
    if (m_isDone)
        return;
    const bool mayHaveRun = m_possibleRuns > 0 || (m_attempt && m_attempt->mayHaveArrived());
    refuse(mayHaveRun ? RefusalReason::BackendFailed : RefusalReason::Draining);
}

auto RequestFlow::tryDispatch() -> void
{
    const auto self = shared_from_this();
    // Callers of a stopping gateway are better served elsewhere than by waiting for its end. The
    // answer to one whose stream has begun can only be continued here.
    if (m_isWaiting && m_context.isStopping() && !m_answerBegun)
        return abort();
    if (!m_isWaiting)
        return;
    if (trySend())
        stopWaiting();
    else if (!refuseIfNoServerIsLeft())
        requestPermit();
}

auto RequestFlow::mayUseAnyServer() const -> bool
{
    return m_triedServers.empty() && !needsVersion() && !m_context.isStopping()
        && m_context.rateLimits.all().empty() && !m_permitTicket;
}

/// False if the caller gains from waiting on: a permit may be under way, or an answer has begun.
auto RequestFlow::mayRefuseEarly() const -> bool
{
    return m_isWaiting && m_possibleRuns == 0 && !m_answerBegun && !m_streamVersion
        && m_context.rateLimits.all().empty();
}

auto RequestFlow::refuseEarly(Admission::AdmissionController::Ground ground) -> void
{
    m_context.metrics.count("acacia_early_refusals_total",
                            {{"reason", Admission::AdmissionController::nameOf(ground)}});
    refuse(RefusalReason::WouldMissDeadline);
}

auto RequestFlow::trySend() -> bool
{
    // Does not send a request whose caller disconnected while this process was busy or suspended.
    if (m_caller->clientHasDisconnected()) {
        handleCallerDisconnect();
        return true;
    }
    if (isSuspect()) {
        refuseSuspect();
        return true;
    }
    const auto id = m_context.board.choose(requirements(), m_context.reactor.now());
    if (!id)
        return false;
    send(*m_context.board.find(*id));
    return true;
}

auto RequestFlow::isSuspect() const -> bool
{
    return m_context.suspects->findVerdict(m_features).has_value();
}

/// Refuses a request with a feature that crashes servers.
auto RequestFlow::refuseSuspect() -> void
{
    m_verdict = m_context.suspects->findVerdict(m_features);
    if (m_verdict)
        m_context.suspects->noteRefused(m_verdict->feature);
    refuse(m_possibleRuns > 0 ? RefusalReason::BackendFailed : RefusalReason::CrashSuspect);
}

auto RequestFlow::requirements() const -> BackendRequirements
{
    BackendRequirements requirements;
    requirements.service = m_service;
    if (m_needsModel) {
        requirements.model = m_request.model;
        requirements.adapter = m_request.adapter;
    }
    if (m_route->hasPromptParts && !m_request.promptParts.empty())
        requirements.affinity = m_request.modelName() + m_request.promptParts.front().id;
    requirements.excluded = m_triedServers;
    requirements.profile = &m_profile;
    requirements.softwareVersion = m_streamVersion;
    requirements.needsKnownIncarnation = needsVersion();
    if (isResumableStream() && !m_streamVersion && m_context.streamOrigins) {
        requirements.mayUseVersion = [this](const std::string &version) {
            return m_context.streamOrigins->mayBegin(m_service, version);
        };
    }
    return requirements;
}

auto RequestFlow::send(const BackendServer &server) -> void
{
    AttemptDetails details;
    details.backendId = server.id;
    if (m_customer)
        details.customer = m_customer->name;
    details.timeLeft = std::max(duration_cast<milliseconds>(timeLeft()) - Constants::AnswerMargin,
                                milliseconds(1));
    details.resumeAfter = m_lastEvent;
    if (m_needsModel) {
        constexpr int perCustomerRank = 3;
        constexpr int leastUrgent = 9;
        const bool toleratesDelay = m_route->latencyObjective >= std::chrono::seconds(1);
        details.urgency = std::min(leastUrgent,
                                   (m_customer ? m_customer->priority : 0) * perCustomerRank
                                       + m_route->priority + (toleratesDelay ? 1 : 0));
    }
    m_serverStartedAtMs = server.startedAtMs;
    m_serverVersion = server.softwareVersion;
    m_attemptBegunAt.reset();
    m_hasNotedSurvival = false;
    m_hasHead = false;
    m_answer = {};
    m_body.clear();
    m_splitter.clear();
    m_resumedAfter = m_answerBegun ? m_lastEvent : std::nullopt;
    ++m_sends;
    noteSent();
    m_permitUsableUntil = m_context.permits->take(server);
    m_isHeldBack = false;
    m_run = m_context.board.noteRequest(server.id, m_profile, m_context.reactor.now());
    m_context.board.noteSent(server.id);
    const auto coldUntil = m_context.board.coldStarts().take(server.id, m_context.reactor.now());
    if (m_needsModel)
        m_context.demand.noteRunning(m_modelKey, 1);
    BackendAttempt::Events events;
    events.onHead = [this](const BackendAnswer &answer) { handleHead(answer); };
    events.onBody = [this](std::string_view data) { handleBody(data); };
    events.onEnd = [this](AttemptEnd outcome) { handleEnd(outcome); };
    events.maySend = [this, id = server.id, startedAtMs = server.startedAtMs,
                      domain = server.failureDomain, coldUntil] {
        if (timeLeft() <= Constants::AnswerMargin || m_caller->clientHasDisconnected())
            return false;
        const bool isReplaced =
            needsVersion() && !m_context.board.isIncarnationKnown(id, startedAtMs);
        m_isHeldBack = isSuspect() || !maySendNow(id, startedAtMs) || isReplaced
            || m_context.board.evacuations().isEvacuated(domain)
            || !m_context.board.coldStarts().mayWrite(id, coldUntil, m_context.reactor.now());
        if (m_isHeldBack)
            return false;
        noteWritten(id, startedAtMs);
        return true;
    };
    const Duration maxIdle =
        m_route->mayRepeat() ? Constants::RepeatableMaxIdle : Constants::AtMostOnceMaxIdle;
    m_attempt =
        BackendAttempt::start(m_context, server, m_context.wire.formatSend(m_request, details),
                              m_request.attemptId, maxIdle, std::move(events));
    if (m_attempt->mayHaveArrived())
        noteWritten(server.id, server.startedAtMs);
    startSilenceTimer();
}

auto RequestFlow::noteSent() -> void
{
    m_sentAt = m_context.reactor.now();
    m_context.requestQueue.admission().noteSent(m_waiting, m_sends == 1, m_sentAt);
    if (m_sends == 1 && m_sentAt > m_waiting.objective)
        m_context.metrics.count("acacia_sent_late_total", {{"route", m_route->name}});
}

/// False if the server has named a limit since the connection was opened, or the permit has
/// expired.
auto RequestFlow::maySendNow(const std::string &serverId, std::int64_t startedAtMs) const -> bool
{
    if (m_permitUsableUntil)
        return m_context.permits->isValid(*m_permitUsableUntil);
    return !m_context.rateLimits.find(serverId, startedAtMs);
}

/// Uses up what allowed the request, and logs which sends reach a server that has named a limit,
/// and what was known then.
auto RequestFlow::noteWritten(const std::string &serverId, std::int64_t startedAtMs) -> void
{
    m_context.suspects->noteWritten(m_features);
    const auto now = m_context.reactor.now();
    if (m_context.board.coldStarts().noteWritten(m_request.attemptId, serverId, now))
        m_context.metrics.count("acacia_cold_sends_total", {});
    const RateLimit *limit = m_context.rateLimits.find(serverId, startedAtMs);
    if (!limit)
        return;
    Utils::logEvent(Utils::Event::RequestSentUnderLimit,
                    {{"request", m_request.attemptId},
                     {"server", serverId},
                     {"perSecond", limit->perSecond},
                     {"hasEnded", limit->hasEnded},
                     {"limitAgeMs", duration_cast<milliseconds>(now - limit->observedAt).count()},
                     {"sends", m_sends},
                     {"mayHaveRun", m_possibleRuns},
                     {"waitedMs", duration_cast<milliseconds>(now - m_arrivedAt).count()}});
}

auto RequestFlow::timeLeft() const -> Duration
{
    return m_deadline - m_context.reactor.now();
}

auto RequestFlow::handleDeadline() -> void
{
    if (m_isDone)
        return;
    const bool mayHaveRun = m_possibleRuns > 0 || (m_attempt && m_attempt->mayHaveArrived());
    refuse(mayHaveRun           ? RefusalReason::DeadlinePassed
               : m_originTicket ? RefusalReason::UnknownStream
               : m_needsModel   ? RefusalReason::LoadFailed
                                : RefusalReason::NoBackendServer);
}

auto RequestFlow::handleWaitTimeout() -> void
{
    if (m_isDone || !m_isWaiting)
        return;
    refuse(m_possibleRuns > 0 ? RefusalReason::BackendFailed
               : m_needsModel ? RefusalReason::LoadFailed
                              : RefusalReason::NoBackendServer);
}

auto RequestFlow::handleCallerDisconnect() -> void
{
    if (m_isDone)
        return;
    const auto self = shared_from_this();
    m_caller = nullptr;
    logOutcome(0, "caller_left");
    finish();
}

auto RequestFlow::retryAfter(RefusalReason reason) -> std::optional<milliseconds>
{
    const auto now = m_context.reactor.now();
    Duration wait =
        m_context.requestQueue.admission().expectedWait(m_waiting.id).value_or(Duration::zero());
    switch (reason) {
    case RefusalReason::OverContract: {
        const double cost =
            m_context.quota.costOf(*m_customer, m_request.hasTokenCount, m_request.tokens());
        const auto needed = m_context.quota.reserveForRetry(m_customer->name, cost, now);
        return std::clamp(duration_cast<milliseconds>(needed), Constants::DefaultRetryAfter,
                          Constants::MaxRetryAfter);
    }
    case RefusalReason::NoBackendServer:
        // A delay that the servers asked for is passed on as it is.
        if (const auto pauseEnd = m_context.board.pauseEnd(requirements(), now))
            return std::clamp(duration_cast<milliseconds>(*pauseEnd - now),
                              Constants::DefaultRetryAfter, Constants::MaxRetryAfter);
        break;
    case RefusalReason::WouldMissDeadline:
        // The next permit is free then; a later return could find it taken.
        if (m_permitDelay > Duration::zero())
            return std::max(duration_cast<milliseconds>(m_permitDelay),
                            Constants::DefaultRetryAfter);
        break;
    case RefusalReason::LoadFailed:
        break;
    case RefusalReason::NotFresh:
    case RefusalReason::Draining:
    case RefusalReason::UnknownStream:
        return Constants::DefaultRetryAfter;
    default:
        return {};
    }
    return Admission::retryAfter(std::max<Duration>(wait, Constants::DefaultRetryAfter),
                                 m_request.attemptId);
}

auto RequestFlow::refuse(RefusalReason reason) -> void
{
    const auto self = shared_from_this();
    const int status = statusOf(reason);
    const std::string code(Admission::describe(reason).code);
    const auto fields = m_context.wire.refusalFields(m_request.attemptId, retryAfter(reason));
    m_context.metrics.count("acacia_refusals_total", {{"reason", code}});
    logOutcome(status, code.c_str());
    Http1::ServerConnection *caller = m_caller;
    const bool begun = m_answerBegun;
    finish();
    if (!caller)
        return;
    if (begun)
        caller->abort();
    else
        caller->respond(status, fields, {});
}

auto RequestFlow::finish() -> void
{
    release();
    const auto onDone = std::move(m_onDone);
    m_onDone = nullptr;
    if (onDone)
        onDone();
}

/// Releases timers, quota and the attempt that the request holds.
auto RequestFlow::release() -> void
{
    m_isDone = true;
    m_caller = nullptr;
    stopWaiting();
    cancelConfirmation();
    cancelOrigin();
    m_context.reactor.cancel(m_deadlineTimer);
    m_context.reactor.cancel(m_waitTimer);
    m_context.reactor.cancel(m_quotaTimer);
    m_context.reactor.cancel(m_silenceTimer);
    if (m_attempt) {
        if (m_attempt->mayHaveArrived())
            ++m_possibleRuns;
        endAttempt(SendOutcome::Abandoned);
    }
    if (m_charged > 0 && m_possibleRuns == 0)
        m_context.quota.refund(m_customer->name, m_charged, m_context.reactor.now());
    m_charged = 0;
}

} // namespace Gateway
