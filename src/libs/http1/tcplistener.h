#pragma once

#include "socketaddress.h"

#include <functional>
#include <memory>

namespace Net {
class Reactor;
}

namespace Http1 {

class TcpStream;

/// A listening socket; closed with the object.
class TcpListener
{
public:
    using AcceptCallback = std::function<void(std::unique_ptr<TcpStream>)>;

    static auto listen(Net::Reactor &reactor, const SocketAddress &address, AcceptCallback onAccept)
        -> Utils::Result<std::unique_ptr<TcpListener>, std::string>;
    ~TcpListener();

    /// Takes the connections that already stand, as before an end.
    auto acceptPending() -> void;
    auto port() const -> std::uint16_t;

private:
    struct Private;
    explicit TcpListener(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Http1
