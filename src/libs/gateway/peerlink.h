#pragma once

#include <http1/socketaddress.h>
#include <utils/result.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace Gateway {

/// Sends and receives JSON datagrams between gateways. Lost datagrams are not sent again.
class PeerLink
{
public:
    using MessageCallback =
        std::function<void(const nlohmann::json &message, const Http1::SocketAddress &sender)>;

    static auto open(Net::Reactor &reactor, const Http1::SocketAddress &address,
                     MessageCallback onMessage)
        -> Utils::Result<std::unique_ptr<PeerLink>, std::string>;
    ~PeerLink();

    auto send(const Http1::SocketAddress &peer, const nlohmann::json &message) -> void;

private:
    struct Private;
    explicit PeerLink(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Gateway
