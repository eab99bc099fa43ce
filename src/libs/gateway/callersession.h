#pragma once

#include <functional>
#include <memory>

namespace Http1 {
class ServerConnection;
class TcpStream;
} // namespace Http1

namespace Gateway {

struct GatewayContext;
class RequestFlow;

/// A caller's connection and its open request.
class CallerSession
{
public:
    CallerSession(GatewayContext &context, std::unique_ptr<Http1::TcpStream> stream,
                  bool closeAfterAnswer, std::function<void(CallerSession *)> onClosed);
    ~CallerSession();

    auto closeAfterAnswer() -> void;
    /// Ends the open request, if any, with a refusal.
    auto abort() -> void;
    /// True if a request is open or being received, or its answer is still being sent.
    auto isBusy() const -> bool;

private:
    GatewayContext &m_context;
    std::shared_ptr<RequestFlow> m_flow;
    std::unique_ptr<Http1::ServerConnection> m_connection;
};

} // namespace Gateway
