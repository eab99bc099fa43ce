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

/// Moves unused quota to the gateways whose callers ask for more than their part.
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

    /// Asks at once for what is lacking.
    auto requestMissingQuota() -> void;
    /// True if the message was one of the exchange's.
    auto takeMessage(const nlohmann::json &message, const Http1::SocketAddress &sender) -> bool;

private:
    Net::Scheduler &m_scheduler;
    QuotaLedger &m_ledger;
    Transport m_transport;
    std::uint64_t m_drawCount = 0; ///< Of peers to ask, so far.
    std::unique_ptr<Net::PeriodicTimer> m_timer;
};

} // namespace Gateway
