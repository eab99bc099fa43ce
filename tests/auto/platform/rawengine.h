#pragma once

#include <http1/socketaddress.h>
#include <http1/tcplistener.h>
#include <http1/tcpstream.h>
#include <net/reactor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// A backend server on loopback whose answers the test writes as raw bytes. Requests are small, so
/// each one is received in one piece.
class RawEngine
{
public:
    struct Arrival
    {
        int number = 0; ///< Among the requests, or among the gateway's own calls, from 1 on.
        size_t connection = 0;
        std::string attemptId;
        std::string target;
    };

    using RequestCallback = std::function<void(const Arrival &)>;

    RawEngine(Net::Reactor &reactor, RequestCallback onRequest)
        : m_reactor(reactor)
        , m_onRequest(std::move(onRequest))
    {
        m_listener = std::move(*Http1::TcpListener::listen(
            reactor, *Http1::SocketAddress::parse("127.0.0.1:0"),
            [this](std::unique_ptr<Http1::TcpStream> stream) { accept(std::move(stream)); }));
    }

    auto address() const -> Http1::SocketAddress
    {
        return *Http1::SocketAddress::parse("127.0.0.1:" + std::to_string(m_listener->port()));
    }

    /// Gets the gateway's own calls, for the engine's report and with orders; they get no answer
    /// without it.
    RequestCallback onOwnCall;

    auto arrivals() const -> const std::vector<Arrival> & { return m_arrivals; }
    auto connectionCount() const -> size_t { return m_connections.size(); }

    auto write(size_t connection, const std::string &bytes) -> void
    {
        if (m_connections[connection])
            m_connections[connection]->write(bytes);
    }

    auto writeLater(size_t connection, std::chrono::milliseconds delay, const std::string &bytes)
        -> void
    {
        m_reactor.callAfter(delay, [this, connection, bytes] { write(connection, bytes); });
    }

    /// Ends the connection in an orderly way after all that was written.
    auto finish(size_t connection) -> void { m_connections[connection]->closeGracefully(); }
    auto reset(size_t connection) -> void { m_connections[connection]->reset(); }

private:
    auto accept(std::unique_ptr<Http1::TcpStream> stream) -> void
    {
        const size_t index = m_connections.size();
        m_connections.push_back(std::move(stream));
        m_connections[index]->setEvents(
            {[this, index](std::string_view data) { handle(index, std::string(data)); },
             [](Http1::StreamEnd) {}});
    }

    auto handle(size_t connection, const std::string &data) -> void
    {
        Arrival arrival;
        arrival.number = static_cast<int>(m_arrivals.size()) + 1;
        arrival.connection = connection;
        const auto targetAt = data.find(' ') + 1;
        arrival.target = data.substr(targetAt, data.find(' ', targetAt) - targetAt);
        const std::string name = "Attempt-Id: ";
        const auto idAt = data.find(name);
        if (idAt != std::string::npos) {
            const auto begin = idAt + name.size();
            arrival.attemptId = data.substr(begin, data.find('\r', begin) - begin);
        }
        if (arrival.target.starts_with("/-/")) {
            arrival.number = ++m_ownCalls;
            if (onOwnCall)
                onOwnCall(arrival);
            return;
        }
        m_arrivals.push_back(arrival);
        m_onRequest(arrival);
    }

    Net::Reactor &m_reactor;
    RequestCallback m_onRequest;
    std::unique_ptr<Http1::TcpListener> m_listener;
    std::vector<std::unique_ptr<Http1::TcpStream>> m_connections;
    std::vector<Arrival> m_arrivals;
    int m_ownCalls = 0;
};
