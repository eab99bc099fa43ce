#include "quotaexchange.h"

#include "quotaledger.h"

#include <net/periodictimer.h>
#include <utils/jsonfield.h>

#include <algorithm>

namespace Gateway {

namespace {

constexpr std::chrono::milliseconds LookPause(50);

} // namespace

QuotaExchange::QuotaExchange(Net::Scheduler &scheduler, QuotaLedger &ledger,
                             Surroundings surroundings)
    : m_scheduler(scheduler)
    , m_ledger(ledger)
    , m_surroundings(std::move(surroundings))
    , m_timer(std::make_unique<Net::PeriodicTimer>(scheduler, LookPause, [this] { askNow(); }))
{ }

QuotaExchange::~QuotaExchange() = default;

auto QuotaExchange::askNow() -> void
{
    const auto peers = m_surroundings.peers();
    if (peers.empty())
        return;
    for (const QuotaWant &want : m_ledger.takeWants(m_scheduler.now())) {
        // In a large fleet the next question goes to others.
        const size_t asked = std::min(static_cast<size_t>(want.gateways), peers.size());
        for (size_t i = 0; i < asked; ++i) {
            m_surroundings.send(peers[m_nextPeer++ % peers.size()],
                                {{"kind", "want"},
                                 {"customer", want.customer},
                                 {"amount", want.amount / static_cast<double>(asked)}});
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
        m_ledger.receive(customer, amount, m_scheduler.now());
        return true;
    }
    const double given = m_ledger.spare(customer, amount, m_scheduler.now());
    if (given >= 1)
        m_surroundings.send(sender, {{"kind", "grant"}, {"customer", customer}, {"amount", given}});
    return true;
}

} // namespace Gateway
