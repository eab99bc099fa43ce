#include "quotaexchange.h"

#include "quotaledger.h"

#include <net/periodictimer.h>
#include <utils/jsonfield.h>

#include <algorithm>
#include <random>

namespace Gateway {

namespace {

constexpr std::chrono::milliseconds RequestInterval(50);

/// Returns a random seed that differs between gateways, from the addresses of the other gateways.
auto gatewaySeed(const std::vector<Http1::SocketAddress> &peers) -> std::uint64_t
{
    constexpr int portBits = 16;
    constexpr std::uint64_t oddFactor = 0x9e3779b97f4a7c15;
    std::uint64_t sum = 0;
    for (const auto &peer : peers)
        sum += ((std::uint64_t(peer.ip()) << portBits) | peer.port()) * oddFactor;
    return sum;
}

/// Moves `count` randomly selected peers to the front.
auto shuffleToFront(std::vector<Http1::SocketAddress> &peers, size_t count, std::mt19937_64 &random)
    -> void
{
    for (size_t i = 0; i < count; ++i) {
        std::uniform_int_distribution<size_t> pick(i, peers.size() - 1);
        std::swap(peers[i], peers[pick(random)]);
    }
}

} // namespace

QuotaExchange::QuotaExchange(Net::Scheduler &scheduler, QuotaLedger &ledger, Transport transport)
    : m_scheduler(scheduler)
    , m_ledger(ledger)
    , m_transport(std::move(transport))
    , m_timer(std::make_unique<Net::PeriodicTimer>(scheduler, RequestInterval,
                                                   [this] { requestMissingQuota(); }))
{ }

QuotaExchange::~QuotaExchange() = default;

auto QuotaExchange::requestMissingQuota() -> void
{
    auto peers = m_transport.peers();
    if (peers.empty())
        return;
    const auto requests = m_ledger.makeRequests(m_scheduler.now());
    if (requests.empty())
        return;
    // All gateways list the others in the same order; without a random selection they would all
    // query the same few.
    std::mt19937_64 random(gatewaySeed(peers) + m_drawCount++);
    for (const QuotaRequest &request : requests) {
        const size_t recipientCount = std::min(static_cast<size_t>(request.gateways), peers.size());
        shuffleToFront(peers, recipientCount, random);
        for (size_t i = 0; i < recipientCount; ++i) {
            m_transport.send(peers[i],
                             {{"kind", "want"},
                              {"customer", request.customer},
                              {"amount", request.amount / static_cast<double>(recipientCount)}});
        }
    }
}

auto QuotaExchange::takeMessage(const nlohmann::json &message, const Http1::SocketAddress &sender)
    -> bool
{
    const std::string kind = Utils::fieldOr(message, "kind", std::string());
    if (kind != "want" && kind != "grant")
        return false;
    const std::string customer = Utils::fieldOr(message, "customer", std::string());
    const double amount = Utils::fieldOr(message, "amount", 0.0);
    if (!(amount > 0))
        return true;
    if (kind == "grant") {
        m_ledger.addGrant(customer, amount, m_scheduler.now());
        return true;
    }
    const double granted = m_ledger.lend(customer, amount, m_scheduler.now());
    if (granted >= 1)
        m_transport.send(sender, {{"kind", "grant"}, {"customer", customer}, {"amount", granted}});
    return true;
}

} // namespace Gateway
