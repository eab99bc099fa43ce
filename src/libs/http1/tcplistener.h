#pragma once

#include "socketaddress.h"

#include <functional>
#include <memory>

namespace Net {
class Reactor;
}

namespace Http1 {

class TcpStream;

/// A listening socket that is closed with the object.
class TcpListener
{
public:
    using AcceptCallback = std::function<void(std::unique_ptr<TcpStream>)>;

    static auto listen(Net::Reactor &reactor, const SocketAddress &address, AcceptCallback onAccept)
        -> Utils::Result<std::unique_ptr<TcpListener>, std::string>;
    ~TcpListener();

    /// Accepts the connections that are already established, so that closing doesn't reset them.
    auto acceptPending() -> void;
    auto port() const -> std::uint16_t;

private:
    struct Private;
    explicit TcpListener(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Http1
