#pragma once

#include "dutymessages.h"

#include <http1/socketaddress.h>
#include <utils/timepoint.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Gateway {

struct GatewayContext;
class PeerLink;
class RowStore;

/// Timing of the duty's lease and of loads, as the platform bounds them.
struct PlacementLimits
{
    std::chrono::milliseconds leaseTime{3000}; ///< Two holders' orders are at least so far apart.
    double processorShare = 1; ///< Of a core, that this machine has.
    std::chrono::milliseconds loadWindow{5000}; ///< Over which loads from the store are counted.
};

/// The duty of deciding which engine holds which model. One gateway holds it under a lease in the
/// store; the others tell it what their callers ask for and hear from it what engines hold.
class PlacementDuty
{
public:
    struct KnowledgeEvents
    {
        std::function<StoreView()> own;
        std::function<void(const StoreView &)> onPeer;
        std::function<void()> onStoreBack; ///< Questions from before may never be answered.
        std::function<void(int)> onGateways; ///< How many share the quotas.
        /// Nobody gives this gateway up for a while.
        std::function<void()> onPartsConfirmed;
    };

    struct Identity
    {
        std::string name; ///< Of the machine.
        Http1::SocketAddress address; ///< For datagrams between gateways.
    };

    PlacementDuty(GatewayContext &context, RowStore &store, PeerLink &link, const Identity &own,
                  const PlacementLimits &limits);
    ~PlacementDuty();

    auto start() -> void;
    auto stop() -> void;
    auto takeMessage(const nlohmann::json &message, const Http1::SocketAddress &sender) -> void;
    /// Demand has changed in a way that should not wait for the next round.
    auto hurry() -> void;
    auto setKnowledgeEvents(KnowledgeEvents events) -> void;
    auto isHolder() const -> bool;
    /// Addresses of the other gateways, as the holder knows them.
    auto peers() const -> std::vector<Http1::SocketAddress>;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Gateway
