#include "loadbalancer.h"

#include <http1/clientconnection.h>
#include <net/periodictimer.h>
#include <net/reactor.h>

namespace Soak {

namespace {

constexpr std::chrono::seconds ProbeInterval(1);
constexpr int MaxMissedProbes = 2;

} // namespace

LoadBalancer::LoadBalancer(Net::Reactor &reactor,
                           const std::vector<Http1::SocketAddress> &readinessAddresses)
    : m_reactor(reactor)
{
    for (const auto &address : readinessAddresses) {
        m_members.push_back(std::make_shared<Member>());
        m_members.back()->address = address;
    }
    m_timer = std::make_unique<Net::PeriodicTimer>(reactor, ProbeInterval, [this] {
        for (const auto &member : m_members)
            probe(member);
    });
}

LoadBalancer::~LoadBalancer() = default;

auto LoadBalancer::probe(const std::shared_ptr<Member> &member) -> void
{
    if (member->probeConnection && !member->wasAnswered)
        ++member->missedProbes;
    member->wasAnswered = false;
    if (member->probeConnection)
        member->probeConnection->closeNow();
    auto connection = Http1::ClientConnection::connect(m_reactor, member->address);
    if (!connection) {
        ++member->missedProbes;
        member->probeConnection.reset();
        return;
    }
    member->probeConnection = std::move(*connection);
    const auto handleHead = [member = member.get()](const Http1::ResponseHead &head,
                                                    Http1::Framing) {
        constexpr int ok = 200;
        member->wasAnswered = true;
        member->missedProbes = head.status == ok ? 0 : member->missedProbes + 1;
        return true;
    };
    member->probeConnection->call("GET /-/readiness HTTP/1.1\r\nHost: r\r\n\r\n",
                                  {handleHead, [](std::string_view) {}, [](Http1::CallEnd) {}});
}

auto LoadBalancer::isInRotation(size_t gateway) const -> bool
{
    return m_members.at(gateway)->missedProbes < MaxMissedProbes;
}

auto LoadBalancer::candidates() const -> std::vector<size_t>
{
    std::vector<size_t> ready;
    std::vector<size_t> all;
    for (size_t i = 0; i < m_members.size(); ++i) {
        all.push_back(i);
        if (isInRotation(i))
            ready.push_back(i);
    }
    return ready.empty() ? all : ready;
}

} // namespace Soak
