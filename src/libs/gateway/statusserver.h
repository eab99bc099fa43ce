#pragma once

#include <http1/head.h>
#include <http1/socketaddress.h>
#include <utils/result.h>

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace Http1 {
class ServerConnection;
class TcpListener;
class TcpStream;
} // namespace Http1

namespace Net {
class Reactor;
}

namespace Resources {
class LoadShedder;
}

namespace Gateway {

/// Serves short status requests, such as readiness and metrics, at a separate address.
class StatusServer
{
public:
    struct Answer
    {
        int status = 0;
        std::string body;
    };
    using AnswerCallback = std::function<Answer(const Http1::RequestHead &)>;

    static auto listen(Net::Reactor &reactor, const Http1::SocketAddress &address,
                       AnswerCallback answer, std::shared_ptr<Resources::LoadShedder> shedder)
        -> Utils::Result<std::unique_ptr<StatusServer>, std::string>;
    ~StatusServer();

private:
    StatusServer(Net::Reactor &reactor, AnswerCallback answer,
                 std::shared_ptr<Resources::LoadShedder> shedder);
    auto accept(std::unique_ptr<Http1::TcpStream> stream) -> void;

    Net::Reactor &m_reactor;
    AnswerCallback m_answer;
    std::shared_ptr<Resources::LoadShedder> m_shedder;
    std::unique_ptr<Http1::TcpListener> m_listener;
    std::list<std::unique_ptr<Http1::ServerConnection>> m_connections;
};

} // namespace Gateway
