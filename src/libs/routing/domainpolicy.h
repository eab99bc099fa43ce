#pragma once

#include "milliseconds.h"

#include <utils/timepoint.h>

#include <cstdint>
#include <string>

namespace Routing {

/// What the servers of one service look like to a gateway.
struct DomainSituation
{
    Milliseconds ownDelay{0}; ///< Expected at the best server of the own failure domain.
    Milliseconds otherDelay{0}; ///< The same of the other domains.
    Milliseconds cost{0}; ///< Delay that leaving the domain must save to pay off.
    Milliseconds perRequest{0}; ///< Delay that one more request at a server causes.
    double ownUse = 0; ///< Occupied fraction of the slots in the own domain.
};

/// Decides for one service which share of the requests may leave the gateway's failure domain at
/// the plain cost of leaving it while the domain's own servers are heavily used. The others leave
/// it only for a larger gain. The share changes in steps; the interval between two steps grows each
/// time that the direction is reversed, so that gateways that decide on the same measurements don't
/// oscillate together.
class DomainPolicy
{
public:
    /// `seed` differs between gateways and spreads their steps over time.
    explicit DomainPolicy(std::uint64_t seed);

    auto isDue(Utils::TimePoint now) const -> bool;
    /// Returns true if the share, or whether there is one, has changed.
    auto observe(const DomainSituation &situation, Utils::TimePoint now) -> bool;
    /// A request was sent to a server of the own domain or another one.
    auto noteSent(bool isRemote) -> void;
    /// False while the domain has spare capacity; requests leave it at the plain cost then.
    auto isLimiting() const -> bool { return m_isLimiting; }
    auto share() const -> double;
    /// The answer for one identity changes only when the share passes it, so a request and its
    /// repetitions are treated alike.
    auto mayLeave(std::uint64_t identity) const -> bool;
    /// Smoothed time that leaving the domain saves, before its cost.
    auto advantage() const -> Milliseconds { return m_advantage; }
    auto ownUse() const -> double { return m_ownUse; }

private:
    auto smooth(const DomainSituation &situation, Utils::TimePoint now) -> void;
    auto step(int direction, Utils::TimePoint now) -> bool;
    auto interval() const -> Utils::Duration;

    std::uint64_t m_seed = 0;
    bool m_isLimiting = false;
    int m_steps = 0; ///< The share, in units of one step.
    int m_direction = 0; ///< Of the last step.
    int m_reversals = 0;
    double m_leaving = 0; ///< Smoothed fraction of requests that left the domain.
    double m_ownUse = 0;
    Milliseconds m_advantage{0};
    Utils::TimePoint m_observedAt; ///< The epoch before the first observation.
    Utils::TimePoint m_changedAt;
    Utils::TimePoint m_reversedAt;
};

/// Logs the share and what it was decided on.
auto logDomainShare(const std::string &service, const DomainPolicy &policy) -> void;

} // namespace Routing
