#pragma once

#include <http1/socketaddress.h>

#include <functional>
#include <memory>
#include <vector>

namespace Http1 {
class ClientConnection;
}

namespace Net {
class PeriodicTimer;
class Reactor;
} // namespace Net

namespace Soak {

/// Load balancer in front of the gateways. It checks the readiness of each once a second, and takes
/// a gateway out of rotation after two failed checks in a row.
class LoadBalancer
{
public:
    LoadBalancer(Net::Reactor &reactor,
                 const std::vector<Http1::SocketAddress> &readinessAddresses);
    ~LoadBalancer();

    auto isInRotation(size_t gateway) const -> bool;
    /// Gateways in rotation, or all gateways if none is.
    auto candidates() const -> std::vector<size_t>;

private:
    struct Member
    {
        Http1::SocketAddress address;
        std::unique_ptr<Http1::ClientConnection> probeConnection;
        bool wasAnswered = false;
        int missedProbes = 2;
    };

    auto probe(const std::shared_ptr<Member> &member) -> void;

    Net::Reactor &m_reactor;
    std::vector<std::shared_ptr<Member>> m_members;
    std::unique_ptr<Net::PeriodicTimer> m_timer;
};

} // namespace Soak
