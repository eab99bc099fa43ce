#include "callersession.h"

#include "configuration.h"
#include "denialcheck.h"
#include "gatewaycontext.h"
#include "requestflow.h"
#include "wireformat.h"

#include <http1/serverconnection.h>
#include <http1/tcpstream.h>

namespace Gateway {

namespace {

auto limitsOf(const GatewayContext &context) -> Http1::ServerLimits
{
    const ClientLimits limits =
        context.configuration ? context.configuration->limits : ClientLimits();
    Http1::ServerLimits result;
    result.message.headBytes = limits.headBytes;
    result.message.bodyBytes = limits.bodyBytes;
    result.headTimeout = limits.headTimeout;
    result.idleTimeout = limits.idleTimeout;
    result.sizesAreConfirmed = context.configuration && context.denialCheck.mayDeny();
    return result;
}

auto planBody(const GatewayContext &context, const Http1::RequestHead &head) -> Http1::BodyPlan
{
    const auto request = context.wire.parseRequest(head, {});
    if (!request || !context.configuration)
        return {limitsOf(context).headTimeout, false};
    const Route *route = context.configuration->findRoute(request->host, request->path);
    if (!route)
        return {limitsOf(context).headTimeout, false};
    return {request->patience.value_or(route->timeout)};
}

} // namespace

CallerSession::CallerSession(GatewayContext &context, std::unique_ptr<Http1::TcpStream> stream,
                             bool closeAfterAnswer, std::function<void(CallerSession *)> onClosed)
    : m_context(context)
{
    Http1::ServerConnection::Events events;
    events.limits = [&context] { return limitsOf(context); };
    events.planBody = [&context](const Http1::RequestHead &head) {
        return planBody(context, head);
    };
    events.shedder = context.shedder;
    events.onRequest = [this](const Http1::RequestHead &head, std::string &&body) {
        const auto flow = RequestFlow::create(m_context, *m_connection, head, std::move(body),
                                              [this] { m_flow.reset(); });
        m_flow = flow;
        flow->start();
    };
    events.onClientDisconnected = [this] {
        if (const auto flow = m_flow)
            flow->handleCallerDisconnect();
    };
    events.onClosed = [this, onClosed = std::move(onClosed)] { onClosed(this); };
    m_connection = std::make_unique<Http1::ServerConnection>(context.reactor, std::move(stream),
                                                             std::move(events));
    if (closeAfterAnswer)
        m_connection->closeAfterNextAnswer();
}

CallerSession::~CallerSession() = default;

auto CallerSession::closeAfterAnswer() -> void
{
    m_connection->closeAfterAnswer();
}

auto CallerSession::abort() -> void
{
    if (const auto flow = m_flow)
        flow->abort();
}

auto CallerSession::isBusy() const -> bool
{
    return m_flow != nullptr || m_connection->isReceivingRequest()
        || m_connection->isSendingLastAnswer();
}

} // namespace Gateway
