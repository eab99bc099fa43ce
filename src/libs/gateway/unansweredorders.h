#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

struct EngineOrder;

/// Loads that were ordered and not answered, and that an engine may still carry out.
///
/// What is promised to an engine never exceeds what it holds: each order names the count of orders
/// that the engine has accepted and is planned from a report of that count, so that of two orders
/// with the same count only one is taken. An engine that starts again under its id counts anew; an
/// order to the incarnation before may fit its count then. Until such orders can't arrive any more,
/// their room is kept free there, and all that may still come late fits into an empty engine.
/// Not covered: unanswered orders of two holders to one engine that then starts again under its id,
/// all within the time in which orders may come late. Needs no network.
class UnansweredOrders
{
public:
    /// Room at one engine that is not to be used.
    struct Reserve
    {
        double weightsMb = 0; ///< Of what the engine has besides what it holds.
        double lateMb = 0; ///< Of what the engine has, whatever it holds: loads that may come late.
        int adapters = 0;
        bool blocksAllLoads = false; ///< Nothing is known of what may come late: no loads at all.
    };

    /// The duty begins now; what the holder before ordered is not known.
    explicit UnansweredOrders(Utils::TimePoint startedAt);

    auto noteSent(const std::string &engine, std::int64_t engineStartedAtMs,
                  const EngineOrder &order, double weightsMb, Utils::TimePoint now) -> void;
    /// The engine has answered, or said that it won't carry the order out.
    auto noteAnswered(const std::string &engine, const EngineOrder &order) -> void;
    /// `restartedAt` is when the engine was seen to have started again under its id.
    auto reserveFor(const std::string &engine, std::int64_t engineStartedAtMs,
                    std::optional<Utils::TimePoint> restartedAt, Utils::TimePoint now) const
        -> Reserve;

private:
    struct SentLoad
    {
        std::int64_t engineStartedAtMs = 0;
        std::int64_t expectedOrders = 0;
        bool isAdapter = false;
        double weightsMb = 0;
        Utils::TimePoint until;
    };

    Utils::TimePoint m_startedAt;
    std::map<std::string, std::vector<SentLoad>> m_sent; ///< By engine.
};

} // namespace Gateway
