#include "statusserver.h"

#include <http1/serverconnection.h>
#include <http1/tcplistener.h>
#include <http1/tcpstream.h>
#include <net/reactor.h>

namespace Gateway {

StatusServer::StatusServer(Net::Reactor &reactor, AnswerCallback answer,
                           std::shared_ptr<Resources::LoadShedder> shedder)
    : m_reactor(reactor)
    , m_answer(std::move(answer))
    , m_shedder(std::move(shedder))
{ }

StatusServer::~StatusServer() = default;

auto StatusServer::listen(Net::Reactor &reactor, const Http1::SocketAddress &address,
                          AnswerCallback answer, std::shared_ptr<Resources::LoadShedder> shedder)
    -> Utils::Result<std::unique_ptr<StatusServer>, std::string>
{
    std::unique_ptr<StatusServer> server(
        new StatusServer(reactor, std::move(answer), std::move(shedder)));
    auto listener = Http1::TcpListener::listen(
        reactor, address, [raw = server.get()](std::unique_ptr<Http1::TcpStream> stream) {
            raw->accept(std::move(stream));
        });
    if (!listener)
        return tl::unexpected(listener.error());
    server->m_listener = std::move(*listener);
    return server;
}

auto StatusServer::accept(std::unique_ptr<Http1::TcpStream> stream) -> void
{
    m_connections.emplace_back();
    const auto it = std::prev(m_connections.end());
    Http1::ServerConnection::Events events;
    events.limits = [] { return Http1::ServerLimits(); };
    events.onRequest = [this, it](const Http1::RequestHead &head, std::string &&) {
        const Answer answer = m_answer(head);
        (*it)->respond(answer.status, {}, answer.body);
    };
    events.planBody = [](const Http1::RequestHead &) {
        return Http1::BodyPlan{Http1::ServerLimits().headTimeout, false, false};
    };
    events.shedder = m_shedder;
    events.onClosed = [this, it] {
        // Deferred, as the connection is inside one of its callbacks.
        m_reactor.callAfter(Utils::Duration::zero(),
                            [kept = std::shared_ptr<Http1::ServerConnection>(std::move(*it))] {});
        m_connections.erase(it);
    };
    *it =
        std::make_unique<Http1::ServerConnection>(m_reactor, std::move(stream), std::move(events));
}

} // namespace Gateway
