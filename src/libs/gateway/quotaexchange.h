#pragma once

#include <http1/socketaddress.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace Net {
class PeriodicTimer;
class Scheduler;
} // namespace Net

namespace Gateway {

class QuotaLedger;

/// Transfers unused quota to gateways whose callers need more than the gateway's own part.
class QuotaExchange
{
public:
    struct Transport
    {
        std::function<std::vector<Http1::SocketAddress>()> peers; ///< The other gateways.
        /// Messages may be lost.
        std::function<void(const Http1::SocketAddress &, const nlohmann::json &)> send;
    };

    QuotaExchange(Net::Scheduler &scheduler, QuotaLedger &ledger, Transport transport);
    ~QuotaExchange();

    /// Requests the missing quota from other gateways at once.
    auto requestMissingQuota() -> void;
    /// Returns true if the message belongs to the quota exchange.
    auto takeMessage(const nlohmann::json &message, const Http1::SocketAddress &sender) -> bool;

private:
    Net::Scheduler &m_scheduler;
    QuotaLedger &m_ledger;
    Transport m_transport;
    std::uint64_t m_drawCount = 0; ///< Number of random selections of peers so far.
    std::unique_ptr<Net::PeriodicTimer> m_timer;
};

} // namespace Gateway
