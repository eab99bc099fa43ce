#pragma once

#include <http1/socketaddress.h>
#include <utils/timepoint.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// The gateways that may issue permits, as this gateway knows them, and the two that are
/// responsible for a resource. A gateway that is no longer listed keeps its place for a while,
/// because a new holder of the placement lease lists the others only once they have reported.
class PermitRoster
{
public:
    /// The gateways responsible for a resource, the second while the first does not answer.
    struct Issuers
    {
        Http1::SocketAddress first;
        std::optional<Http1::SocketAddress> second; ///< Unset if there is only one gateway.
    };

    explicit PermitRoster(const Http1::SocketAddress &own);

    /// Applies the list of the other gateways. Returns true if that changed the roster.
    auto update(const std::vector<Http1::SocketAddress> &others, Utils::TimePoint now) -> bool;
    /// False until a list has been applied.
    auto isKnown() const -> bool { return m_isKnown; }
    /// When the roster changed last.
    auto changedAt() const -> Utils::TimePoint { return m_changedAt; }
    auto issuers(const std::string &resource) const -> const Issuers &;
    auto others() const -> std::vector<Http1::SocketAddress>;

private:
    Http1::SocketAddress m_own;
    std::map<Http1::SocketAddress, Utils::TimePoint> m_lastListedAt; ///< Of the others.
    bool m_isKnown = false;
    Utils::TimePoint m_changedAt;
    mutable std::map<std::string, Issuers> m_issuers; ///< Cache, by resource.
};

} // namespace Gateway
