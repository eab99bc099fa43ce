#include "backendattempt.h"

#include "backendregistry.h"
#include "connectionpool.h"
#include "gatewayconstants.h"
#include "gatewaycontext.h"
#include "permitexchange.h"

#include <http1/clientconnection.h>
#include <net/reactor.h>
#include <utils/eventlog.h>

namespace Gateway {

struct BackendAttempt::Private : std::enable_shared_from_this<BackendAttempt::Private>
{
    GatewayContext *context = nullptr;
    std::string backendId;
    std::int64_t startedAtMs = 0; ///< Of the server.
    std::string attemptId;
    Utils::TimePoint sentAt; ///< When the request was written.
    Events events;
    BackendConnection connection;
    bool isHeldBack = false; ///< By `events.maySend`.
    bool isRefused = false; ///< The server has answered that it has not run the request.
    Utils::Duration idleTimeout = Constants::RepeatableMaxIdle;
    Net::Reactor::TimerId connectTimer = 0;
    /// Set if the connection carries this request only.
    std::function<std::chrono::milliseconds()> deliveryTimeout;
    bool ended = false;

    auto handleHead(const Http1::ResponseHead &head, Http1::Framing framing) -> bool
    {
        BackendAnswer answer = context->wire.parseAnswer(head);
        answer.endsWithConnection = framing == Http1::Framing::UntilClose;
        // A late answer to an earlier request may arrive on this connection. Servers name the
        // request that they answer, so an answer without a name is rejected on a reused connection.
        const bool isUnnamed = answer.attemptId.empty() && !attemptId.empty();
        if (isUnnamed ? connection.http && connection.http->wasUsedBefore()
                      : !answer.attemptId.empty() && answer.attemptId != attemptId)
            return false;
        context->board.noteAnswered(backendId, startedAtMs, connection.openedAt, sentAt);
        isRefused = answer.isNotRun;
        noteServerState(answer);
        if (answer.idleTimeout) {
            // Keep half of the stated time as a margin for clock drift and network delay.
            idleTimeout = std::min<Utils::Duration>(idleTimeout, *answer.idleTimeout / 2);
        }
        if (!ended)
            events.onHead(answer);
        return true;
    }

    /// Applies the state that the server announces, unless another server now has its address.
    auto noteServerState(const BackendAnswer &answer) -> void
    {
        if (answer.isWrongServer && answer.actualServerId && *answer.actualServerId != backendId)
            return;
        if (answer.isLeaving && context->onLeaving)
            context->onLeaving(backendId, startedAtMs);
        if (answer.coldFor)
            context->board.coldStarts().noteRemaining(backendId, startedAtMs, *answer.coldFor,
                                                      context->reactor.now());
        noteRateLimit(answer);
        if (!answer.pause)
            return;
        context->board.notePause(backendId, context->reactor.now() + *answer.pause);
        Utils::logEvent(
            Utils::Event::BackendPaused,
            {{"server", backendId}, {"request", attemptId}, {"pauseMs", answer.pause->count()}});
    }

    /// Refusals may omit a limit that is still in force, so only an answer to a request that has
    /// run can end it.
    auto noteRateLimit(const BackendAnswer &answer) -> void
    {
        if (answer.hasMalformedRateLimit) {
            Utils::logEvent(Utils::Event::RateLimitRejected,
                            {{"server", backendId}, {"request", attemptId}});
            return;
        }
        if (!answer.rateLimit && (answer.isNotRun || !answer.isSigned))
            return;
        if (!context->permits)
            return;
        context->permits->noteAnswer(
            {backendId, startedAtMs, answer.rateLimit, sentAt, context->reactor.now()}, attemptId);
    }

    auto end(AttemptEnd outcome) -> void
    {
        if (ended)
            return;
        ended = true;
        const auto self = shared_from_this();
        context->reactor.cancel(connectTimer);
        if (outcome != AttemptEnd::Complete && !isHeldBack && context->onConnectionLost)
            context->onConnectionLost(backendId, startedAtMs);
        if (isRefused)
            connection.refusedAttempts.push_back(attemptId);
        if (connection.http && outcome == AttemptEnd::Complete && !deliveryTimeout)
            context->pool.release(backendId, std::move(connection), idleTimeout);
        else
            context->pool.discard(std::move(connection));
        const auto onEnd = std::move(events.onEnd);
        events = {};
        onEnd(outcome);
    }

    static auto create(GatewayContext &sharedContext, const BackendServer &server,
                       const std::string &id, Events callbacks) -> std::shared_ptr<Private>
    {
        auto data = std::make_shared<Private>();
        data->context = &sharedContext;
        data->backendId = server.id;
        data->startedAtMs = server.startedAtMs;
        data->attemptId = id;
        data->events = std::move(callbacks);
        return data;
    }

    auto send(Utils::Result<BackendConnection, std::string> opened, std::string request) -> void
    {
        if (!opened)
            return failLater();
        connection = std::move(*opened);
        if (connection.http->isConnected()) {
            sentAt = context->reactor.now();
        } else {
            connectTimer =
                context->reactor.callAfter(Constants::ConnectTimeout, [weak = weak_from_this()] {
                    const auto self = weak.lock();
                    if (self && self->connection.http && !self->connection.http->isConnected())
                        self->end(AttemptEnd::NotSent);
                });
        }
        Http1::ClientConnection::CallEvents callEvents;
        callEvents.onHead = [this](const Http1::ResponseHead &head, Http1::Framing framing) {
            return handleHead(head, framing);
        };
        callEvents.onBody = [this](std::string_view chunk) {
            if (!ended)
                events.onBody(chunk);
        };
        callEvents.onEnd = [this](Http1::CallEnd outcome) { end(translate(outcome)); };
        callEvents.maySend = [this] {
            isHeldBack = events.maySend && !events.maySend();
            if (isHeldBack)
                return false;
            if (deliveryTimeout)
                connection.http->setAcknowledgementTimeout(deliveryTimeout());
            sentAt = context->reactor.now();
            if (auto *server = context->board.stateOf(backendId, startedAtMs))
                server->noteConnected(sentAt - connection.openedAt);
            return true;
        };
        connection.http->call(std::move(request), std::move(callEvents));
    }

    static auto translate(Http1::CallEnd outcome) -> AttemptEnd
    {
        switch (outcome) {
        case Http1::CallEnd::Complete:
            return AttemptEnd::Complete;
        case Http1::CallEnd::NotSent:
            return AttemptEnd::NotSent;
        case Http1::CallEnd::Lost:
            return AttemptEnd::Lost;
        case Http1::CallEnd::Broken:
            break;
        }
        return AttemptEnd::Broken;
    }

    auto failLater() -> void
    {
        context->reactor.callAfter(Utils::Duration::zero(),
                                   [self = shared_from_this()] { self->end(AttemptEnd::NotSent); });
    }
};

BackendAttempt::BackendAttempt(std::shared_ptr<Private> data)
    : d(std::move(data))
{ }

BackendAttempt::~BackendAttempt()
{
    abandon();
}

auto BackendAttempt::start(GatewayContext &context, const BackendServer &server,
                           std::string request, const std::string &attemptId,
                           Utils::Duration maxIdle, Events events)
    -> std::unique_ptr<BackendAttempt>
{
    auto data = Private::create(context, server, attemptId, std::move(events));
    std::unique_ptr<BackendAttempt> attempt(new BackendAttempt(data));
    data->send(context.pool.acquire(server.id, server.address, maxIdle, attemptId),
               std::move(request));
    return attempt;
}

auto BackendAttempt::startExclusive(GatewayContext &context, const BackendServer &server,
                                    std::string request,
                                    std::function<std::chrono::milliseconds()> deliveryTimeout,
                                    Events events) -> std::unique_ptr<BackendAttempt>
{
    auto data = Private::create(context, server, {}, std::move(events));
    data->deliveryTimeout = std::move(deliveryTimeout);
    std::unique_ptr<BackendAttempt> attempt(new BackendAttempt(data));
    auto connection = context.pool.open(server.address);
    if (connection)
        connection->http->setResetsOnClose();
    data->send(std::move(connection), std::move(request));
    return attempt;
}

auto BackendAttempt::abandon() -> void
{
    if (d->ended)
        return;
    d->ended = true;
    d->events = {};
    d->context->reactor.cancel(d->connectTimer);
    d->context->pool.discard(std::move(d->connection));
}

auto BackendAttempt::pauseReading() -> void
{
    if (d->connection.http)
        d->connection.http->pauseReading();
}

auto BackendAttempt::resumeReading() -> void
{
    if (d->connection.http)
        d->connection.http->resumeReading();
}

auto BackendAttempt::mayHaveArrived() const -> bool
{
    return d->connection.http && d->connection.http->hasSent();
}

auto BackendAttempt::connectedAt() const -> Utils::TimePoint
{
    return d->connection.openedAt;
}

auto BackendAttempt::backendId() const -> const std::string &
{
    return d->backendId;
}

} // namespace Gateway
