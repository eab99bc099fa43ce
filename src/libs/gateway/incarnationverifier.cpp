#include "incarnationverifier.h"

#include "backendattempt.h"
#include "backendregistry.h"
#include "gatewayconstants.h"
#include "gatewaycontext.h"

#include <net/reactor.h>

#include <algorithm>

namespace Gateway {

IncarnationVerifier::IncarnationVerifier(GatewayContext &context, Events events)
    : m_context(context)
    , m_events(std::move(events))
{ }

IncarnationVerifier::~IncarnationVerifier()
{
    for (const auto &[id, check] : m_checks)
        m_context.reactor.cancel(check.timer);
}

/// Versions matter where streams may go on at another server.
auto IncarnationVerifier::isVersionNeeded(const std::string &service) const -> bool
{
    if (!m_context.configuration)
        return false;
    const auto &routes = m_context.configuration->routes;
    return std::any_of(routes.begin(), routes.end(), [&service](const Route &route) {
        return route.kind == RouteKind::Stream && route.isResumable
            && std::any_of(
                   route.shares.begin(), route.shares.end(),
                   [&service](const ServiceShare &share) { return share.service == service; });
    });
}

auto IncarnationVerifier::noteConnectionLost(const std::string &backendId, std::int64_t startedAtMs)
    -> void
{
    const BackendServer *server = m_context.board.find(backendId);
    if (!server || server->startedAtMs != startedAtMs || server->isLeaving
        || !isVersionNeeded(server->service))
        return;
    m_context.board.noteConnectionLost(backendId, startedAtMs, m_context.reactor.now());
    const auto [check, isNew] = m_checks.try_emplace(backendId);
    if (!isNew)
        return;
    check->second.delay = Constants::CrashProbeDelay;
    schedule(backendId);
}

auto IncarnationVerifier::schedule(const std::string &backendId) -> void
{
    Check &check = m_checks.at(backendId);
    check.timer = m_context.reactor.callAfter(check.delay, [this, id = backendId] { start(id); });
    check.delay = std::clamp<Utils::Duration>(check.delay * 2, Constants::MinReportInterval,
                                              Constants::MaxReportInterval);
}

auto IncarnationVerifier::isSettled(const std::string &backendId) -> bool
{
    const BackendServer *server = m_context.board.find(backendId);
    if (!server || server->isLeaving)
        return true;
    m_context.board.confirmIncarnation(backendId, server->startedAtMs, m_events.listedUntil());
    return m_context.board.isIncarnationKnown(backendId, server->startedAtMs);
}

auto IncarnationVerifier::start(const std::string &backendId) -> void
{
    if (isSettled(backendId)) {
        m_checks.erase(backendId);
        return m_events.onConfirmed();
    }
    // Evacuated servers are not probed, nor used until they have been.
    if (m_context.board.find(backendId)->isEvacuated)
        return schedule(backendId);
    Check &check = m_checks.at(backendId);
    check.status = 0;
    check.body.clear();
    check.calledAt = m_context.reactor.now();
    check.timer = m_context.reactor.callAfter(Constants::ReportTimeout,
                                              [this, id = backendId] { handleAnswer(id, false); });
    BackendAttempt::Events events;
    events.onHead = [this, id = backendId](const BackendAnswer &answer) {
        m_checks.at(id).status = answer.status;
    };
    events.onBody = [this, id = backendId](std::string_view data) {
        std::string &body = m_checks.at(id).body;
        if (body.size() + data.size() <= Constants::MaxAnswerBytes)
            body += data;
    };
    events.onEnd = [this, id = backendId](AttemptEnd end) {
        handleAnswer(id, end == AttemptEnd::Complete);
    };
    check.call = BackendAttempt::start(m_context, *m_context.board.find(backendId),
                                       m_context.wire.formatReportRequest(backendId), {},
                                       Utils::Duration::zero(), std::move(events));
}

auto IncarnationVerifier::handleAnswer(const std::string &backendId, bool isComplete) -> void
{
    Check &check = m_checks.at(backendId);
    m_context.reactor.cancel(check.timer);
    check.call->abandon();
    // The call may be inside one of its callbacks.
    m_context.reactor.callAfter(Utils::Duration::zero(),
                                [kept = std::shared_ptr<BackendAttempt>(std::move(check.call))] {});
    constexpr int ok = 200;
    if (isComplete && check.status == ok) {
        const auto report = m_context.wire.parseReport(check.body);
        if (report && report->startedAtMs)
            m_context.board.confirmIncarnation(backendId, *report->startedAtMs, check.calledAt);
    }
    if (!isSettled(backendId))
        return schedule(backendId);
    m_checks.erase(backendId);
    m_events.onConfirmed();
}

} // namespace Gateway
