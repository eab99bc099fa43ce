#pragma once

#include "dutymessages.h"

#include <http1/socketaddress.h>
#include <utils/timepoint.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

struct GatewayContext;
class PeerLink;
class RowStore;

/// Timing of the placement lease and of loads, as required by the platform.
struct PlacementLimits
{
    std::chrono::milliseconds leaseTime{3000}; ///< Minimum time between two holders' orders.
    double processorShare = 1; ///< Fraction of a core that this machine has.
    std::chrono::milliseconds loadWindow{5000}; ///< Window for the rate limit of store loads.
    bool isFirstStart = false; ///< No gateway can have held the lease before.
};

/// Coordinates among the gateways which engine holds which model. One gateway decides, under a
/// lease in the store; the others report their callers' demand to it and receive from it what the
/// engines hold.
class PlacementCoordinator
{
public:
    struct CoordinationEvents
    {
        std::function<StoreView()> localKnowledge;
        std::function<void(const StoreView &)> onPeerKnowledge;
        std::function<void()> onStoreRecovered; ///< Earlier requests may never be answered.
        std::function<void(int)> onGatewayCount; ///< Number of gateways that share the quotas.
        /// The other gateways keep this gateway's share of the quotas reserved for a while.
        std::function<void()> onQuotaSharesConfirmed;
    };

    struct Identity
    {
        std::string name; ///< Of the machine.
        Http1::SocketAddress address; ///< For datagrams between gateways.
    };

    PlacementCoordinator(GatewayContext &context, RowStore &store, PeerLink &link,
                         const Identity &own, const PlacementLimits &limits);
    ~PlacementCoordinator();

    auto start() -> void;
    auto stop() -> void;
    auto handleMessage(const nlohmann::json &message, const Http1::SocketAddress &sender) -> void;
    /// Plans or reports soon, because demand has changed in a way that should not wait for the next
    /// round.
    auto requestUpdate() -> void;
    /// The store came back from a copy, and is in that era.
    auto handleStoreEra(Utils::StoreEra era) -> void;
    auto setCoordinationEvents(CoordinationEvents events) -> void;
    auto isHolder() const -> bool;
    /// Addresses of the other gateways, as known to the lease holder.
    auto peers() const -> std::vector<Http1::SocketAddress>;
    /// The same; unset until the lease holder is known.
    auto knownPeers() const -> std::optional<std::vector<Http1::SocketAddress>>;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Gateway
