#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Placement {

/// Tracks load orders without an answer, which an engine may still carry out.
///
/// Orders never exceed an engine's memory: each order names the number of orders that the engine
/// has accepted and is planned from a report with that number, so that only one of two orders with
/// the same number is accepted. An engine that restarts under its id counts from zero, so that an
/// order to its previous incarnation may match the count again. Until such orders can no longer
/// arrive, memory for them is kept free, and all orders that may still arrive fit into an empty
/// engine.
///
/// Not covered: unanswered orders of two holders to one engine that then restarts under its id, all
/// within the time in which delayed orders may arrive. Needs no network.
class UnansweredOrders
{
public:
    /// Memory and adapter slots of one engine that must be kept free.
    struct Reserve
    {
        double weightsMb = 0; ///< Of the memory that is free at present.
        double lateMb = 0; ///< Of the total memory: loads that may still arrive.
        int adapters = 0;
        int lateAdapters = 0; ///< Of all slots, as `lateMb`.
        bool blocksAllLoads = false; ///< Orders that may still arrive are unknown: allows no loads.
    };

    /// An order to load a model or an adapter.
    struct Load
    {
        std::int64_t expectedOrders = 0; ///< Orders that the engine has to have accepted before.
        bool isAdapter = false;
        double memoryMb = 0;
    };

    /// `startedAt` is when this gateway got the lease; earlier orders of other holders are unknown.
    explicit UnansweredOrders(Utils::TimePoint startedAt);

    auto noteSent(const std::string &engine, std::int64_t engineStartedAtMs, const Load &load,
                  Utils::TimePoint now) -> void;
    /// Removes a load that the engine has accepted or refused.
    auto noteAnswered(const std::string &engine, const Load &load) -> void;
    /// `restartedAt` is when a restart of the engine under its id was detected.
    auto reserveFor(const std::string &engine, std::int64_t engineStartedAtMs,
                    std::optional<Utils::TimePoint> restartedAt, Utils::TimePoint now) const
        -> Reserve;

private:
    struct SentLoad
    {
        std::int64_t engineStartedAtMs = 0;
        Load load;
        Utils::TimePoint until;
    };

    Utils::TimePoint m_startedAt;
    std::map<std::string, std::vector<SentLoad>> m_sent; ///< By engine.
};

} // namespace Placement
