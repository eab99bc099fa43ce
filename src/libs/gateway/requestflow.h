#pragma once

#include "backendattempt.h"
#include "backendregistry.h"
#include "demandtracker.h"
#include "wireformat.h"

#include <admission/admissioncontroller.h>
#include <admission/refusal.h>
#include <http1/eventsplitter.h>
#include <net/reactor.h>
#include <routing/crashfeature.h>
#include <routing/crashverdicts.h>
#include <utils/timepoint.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Http1 {
class ServerConnection;
}

namespace Gateway {

struct GatewayContext;

/// One request of a caller: validates it, waits for a backend server with capacity, sends it and
/// relays the answer.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    static auto create(GatewayContext &context, Http1::ServerConnection &caller,
                       const Http1::RequestHead &head, std::string &&body,
                       std::function<void()> onDone) -> std::shared_ptr<RequestFlow>;
    ~RequestFlow();

    auto start() -> void;
    /// Ends the request after the caller has closed its connection.
    auto handleCallerDisconnect() -> void;
    /// Sends the request if a backend server has capacity now.
    auto tryDispatch() -> void;
    auto attemptId() const -> const std::string & { return m_request.attemptId; }
    auto mayRefuseEarly() const -> bool;
    auto refuseEarly(Admission::AdmissionController::Ground ground) -> void;
    /// True if nothing but free slots decides whether the request can be sent.
    auto mayUseAnyServer() const -> bool;
    /// Refuses the request because the process is stopping.
    auto abort() -> void;

private:
    RequestFlow(GatewayContext &context, Http1::ServerConnection &caller,
                std::function<void()> onDone);

    auto validate() -> bool;
    auto revalidate() -> void;
    auto deny(Admission::RefusalReason reason) -> void;
    auto cancelConfirmation() -> void;
    auto charge() -> bool;
    auto waitForQuota(int checksLeft) -> void;
    auto tryChargeQuota() -> bool;
    auto admit() -> void;
    auto takesUpStream() const -> bool;
    auto isResumableStream() const -> bool;
    auto needsVersion() const -> bool;
    auto findOrigin() -> void;
    auto handleOrigin(const std::optional<std::string> &version) -> void;
    auto cancelOrigin() -> void;
    auto selectService() -> void;
    auto startTimers() -> void;
    auto waitForServer() -> void;
    auto refuseIfAllPaused() -> bool;
    auto refuseIfNoServerIsLeft() -> bool;
    auto stopWaiting() -> void;
    auto requestPermit() -> void;
    auto cancelPermit() -> void;
    auto handlePermitRefused(const std::string &server, Utils::Duration delay) -> void;
    auto maySendNow(const std::string &serverId, std::int64_t startedAtMs) const -> bool;
    auto trySend() -> bool;
    auto noteSent() -> void;
    auto noteAnswerBegun() -> void;
    auto isSuspect() const -> bool;
    auto refuseSuspect() -> void;
    auto send(const BackendServer &server) -> void;

    auto noteWritten(const std::string &serverId, std::int64_t startedAtMs) -> void;

    auto handleHead(const BackendAnswer &answer) -> void;
    auto handleBody(std::string_view data) -> void;
    auto handleEnd(AttemptEnd outcome) -> void;
    auto handleComplete() -> void;
    auto handleNotRun() -> void;
    auto isEmptyContinuation() const -> bool;
    auto mayLackItsBody() const -> bool;
    /// True if the answer to the current attempt has begun long enough ago that the server did not
    /// crash on the request.
    auto hasOutlivedBeginning() const -> bool;
    auto noteSurvived(bool isWhole) -> void;
    auto noteLost(bool isCutOff) -> void;
    auto handleFailure() -> void;
    auto awaitRoom() -> void;
    auto relayEvents(std::string_view data) -> bool;
    auto beginStream() -> void;
    auto bindToVersion() -> void;
    auto mayRelay(const Http1::StreamEvent &event) const -> bool;
    auto noteProgress(int events) -> void;
    auto startSilenceTimer() -> void;
    auto handleSilence() -> void;

    auto endAttempt(SendOutcome outcome) -> void;
    auto mayRepeatNow() const -> bool;
    auto requestRetry(const char *reason) -> bool;
    auto handleDeadline() -> void;
    auto handleWaitTimeout() -> void;
    auto refuse(Admission::RefusalReason reason) -> void;
    auto retryAfter(Admission::RefusalReason reason) -> std::optional<std::chrono::milliseconds>;
    auto finish() -> void;
    auto release() -> void;
    auto requirements() const -> BackendRequirements;
    auto timeLeft() const -> Utils::Duration;
    auto logOutcome(int status, const char *outcome) -> void;

    GatewayContext &m_context;
    Http1::ServerConnection
        *m_caller; ///< Null once the caller has been answered or has disconnected.
    std::function<void()> m_onDone;
    std::shared_ptr<const Configuration> m_configuration;
    CallerRequest m_request;
    Utils::Result<CallerRequest, std::string> m_parsed;
    const Route *m_route = nullptr;
    const Customer *m_customer = nullptr;
    std::string m_service;
    bool m_needsModel = false;
    std::vector<Routing::CrashFeature> m_features;
    std::optional<Routing::CrashVerdict> m_verdict; ///< That the request is refused for.
    ModelKey m_modelKey;
    std::optional<Placement::VersionDemand::Key> m_awaitedAtVersion; ///< As noted while waiting.
    Routing::RequestProfile m_profile;
    Routing::RunningRequest m_run; ///< The current attempt.

    Utils::TimePoint m_arrivedAt;
    Utils::TimePoint m_deadline;
    Utils::TimePoint m_waitEnd; ///< A request that is not sent by then is refused.
    Net::Reactor::TimerId m_deadlineTimer = 0;
    Net::Reactor::TimerId m_waitTimer = 0;
    Net::Reactor::TimerId m_quotaTimer = 0;
    Net::Reactor::TimerId m_confirmationTimer = 0;
    std::optional<std::uint64_t> m_confirmationTicket; ///< Set while the request waits for a
                                                       ///< confirmation of the configuration.
    std::optional<std::uint64_t> m_originTicket; ///< While the version of a stream is looked up.
    Net::Reactor::TimerId m_silenceTimer = 0;
    bool m_isWaiting = false;
    Admission::WaitingRequest m_waiting; ///< As the scheduler sees this request.
    Utils::TimePoint m_sentAt; ///< Of the current attempt.
    std::optional<std::uint64_t> m_permitTicket; ///< While a permit is requested.
    std::string m_permitServer; ///< The server that it is requested for.
    std::set<std::string> m_refusedPermits; ///< Servers whose limit leaves no room in time.
    Utils::Duration m_permitDelay{0}; ///< Until the first of them has room again.
    std::optional<Utils::TimePoint> m_permitUsableUntil; ///< Of the permit of the current attempt.
    bool m_isHeldBack = false; ///< The current attempt was cancelled for lack of a permit.
    bool m_isDone = false;
    double m_charged = 0;

    std::unique_ptr<BackendAttempt> m_attempt;
    std::int64_t m_serverStartedAtMs = 0; ///< Of the current attempt's server.
    std::string m_serverVersion; ///< Of the current attempt's server when the request was sent.
    /// Version that the stream goes on at, once one has begun it; empty if that is unknown.
    std::optional<std::string> m_streamVersion;
    std::optional<Utils::TimePoint> m_attemptBegunAt; ///< First event of the current attempt.
    bool m_hasNotedSurvival = false;
    std::vector<std::unique_ptr<BackendAttempt>> m_endedAttempts;
    BackendAnswer m_answer;
    bool m_hasHead = false;
    std::string m_body;
    Http1::EventSplitter m_splitter;
    std::optional<std::int64_t> m_lastEvent; ///< Last event that was sent to the caller.
    bool m_answerBegun = false;
    bool m_hasEventsWithoutId = false; ///< Some were sent to the caller.
    /// Last event before the current attempt, if that has to continue a stream.
    std::optional<std::int64_t> m_resumedAfter;
    std::set<std::string> m_triedServers; ///< Excluded from further attempts.
    int m_possibleRuns = 0; ///< Number of servers at which the request may have run.
    int m_sends = 0;
    Utils::TimePoint m_firstEventAt;
    Utils::TimePoint m_lastEventAt;
    std::string m_lastServer;
    Utils::Duration m_longestPause{0}; ///< Between two events of a stream.
};

} // namespace Gateway
