#include "rotation.h"

#include <http1/clientconnection.h>
#include <net/periodictimer.h>
#include <net/reactor.h>

namespace Soak {

namespace {

constexpr std::chrono::seconds AskPause(1);
constexpr int MostMisses = 2;

} // namespace

Rotation::Rotation(Net::Reactor &reactor,
                   const std::vector<Http1::SocketAddress> &readinessAddresses)
    : m_reactor(reactor)
{
    for (const auto &address : readinessAddresses) {
        m_members.push_back(std::make_shared<Member>());
        m_members.back()->address = address;
    }
    m_timer = std::make_unique<Net::PeriodicTimer>(reactor, AskPause, [this] {
        for (const auto &member : m_members)
            ask(member);
    });
}

Rotation::~Rotation() = default;

auto Rotation::ask(const std::shared_ptr<Member> &member) -> void
{
    if (member->question && !member->wasAnswered)
        ++member->misses;
    member->wasAnswered = false;
    if (member->question)
        member->question->closeNow();
    auto connection = Http1::ClientConnection::connect(m_reactor, member->address);
    if (!connection) {
        ++member->misses;
        member->question.reset();
        return;
    }
    member->question = std::move(*connection);
    const auto takeHead = [member = member.get()](const Http1::ResponseHead &head, Http1::Framing) {
        constexpr int ok = 200;
        member->wasAnswered = true;
        member->misses = head.status == ok ? 0 : member->misses + 1;
        return true;
    };
    member->question->call("GET /-/readiness HTTP/1.1\r\nHost: r\r\n\r\n",
                           {takeHead, [](std::string_view) {}, [](Http1::CallEnd) {}});
}

auto Rotation::isIn(size_t gateway) const -> bool
{
    return m_members.at(gateway)->misses < MostMisses;
}

auto Rotation::candidates() const -> std::vector<size_t>
{
    std::vector<size_t> ready;
    std::vector<size_t> all;
    for (size_t i = 0; i < m_members.size(); ++i) {
        all.push_back(i);
        if (isIn(i))
            ready.push_back(i);
    }
    return ready.empty() ? all : ready;
}

} // namespace Soak
