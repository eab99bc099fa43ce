#pragma once

#include "permitroster.h"
#include "ratelimittable.h"
#include "sendallowance.h"
#include <routing/permitschedule.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Monitoring {
class Metrics;
}

namespace Net {
class PeriodicTimer;
class Scheduler;
} // namespace Net

namespace Gateway {

/// Keeps the limits that backend servers name over all gateways together. For each server with a
/// limit, one gateway issues the permits and the others ask it before they send a request; while it
/// doesn't answer, a second one issues permits at a lower rate. The rates are such that both
/// together stay within what the platform allows. Also tells the other gateways of limits.
class PermitExchange : public SendAllowance
{
public:
    using TicketId = std::uint64_t;

    struct Transport
    {
        /// The other gateways; unset until this gateway has learned of them.
        std::function<std::optional<std::vector<Http1::SocketAddress>>()> peers;
        /// Messages may be lost.
        std::function<void(const Http1::SocketAddress &, const nlohmann::json &)> send;
        /// A clock that goes on while the machine is suspended.
        std::function<Utils::TimePoint()> clock;
    };

    /// A permit is needed for this request.
    struct Need
    {
        std::string server;
        std::int64_t startedAtMs = 0; ///< Incarnation of the server.
        std::string request; ///< For the log.
        Utils::Duration patience{0}; ///< Longest time that the request can wait.
        /// Called if the permit would come too late, with the time until it would have come; never
        /// called from within `request`.
        std::function<void(Utils::Duration delay)> onRefused;
    };

    /// `onChanged` is called when waiting requests may be sent, or may need permits of another
    /// server.
    PermitExchange(Net::Scheduler &scheduler, Monitoring::Metrics &metrics, RateLimitTable &limits,
                   const Http1::SocketAddress &own, Transport transport,
                   std::function<void()> onChanged);
    ~PermitExchange() override;

    /// Applies what an answer to the request `requestId` says of its server's limit.
    auto noteAnswer(const RateLimitTable::Observation &observation, const std::string &requestId)
        -> void;
    /// Returns true if the message belongs to this class.
    auto handleMessage(const nlohmann::json &message, const Http1::SocketAddress &sender) -> bool;

    auto needsPermit(const BackendServer &server) const -> bool override;
    auto hasPermit(const BackendServer &server) const -> bool override;

    /// Asks for a permit.
    auto request(Need need) -> TicketId;
    /// False once the permit has been used, has expired, or is no longer needed.
    auto isOpen(TicketId ticket) const -> bool;
    auto cancel(TicketId ticket) -> void;
    /// Uses a permit for the server; returns the time by which the request must be written. Permits
    /// of one server are interchangeable, so that the most urgent request gets the first one.
    auto take(const BackendServer &server) -> std::optional<Utils::TimePoint>;
    /// Returns true if a permit that is valid until then may still be used.
    auto isValid(Utils::TimePoint until) const -> bool;

private:
    enum class TicketState { Asked, Reserved, Permitted };

    struct Ticket
    {
        Need need;
        TicketState state = TicketState::Asked;
        Utils::TimePoint giveUpAt;
        Utils::TimePoint askedAt; ///< When the last message was sent.
        int unansweredAsks = 0;
        Http1::SocketAddress issuer; ///< That was asked last.
        Utils::TimePoint usableFrom; ///< Of a permit.
        Utils::TimePoint usableUntil;
        long timer = 0;
    };

    struct Schedule
    {
        std::int64_t startedAtMs = 0;
        bool isFirst = false; ///< This gateway is the first issuer, not the second.
        Routing::PermitSchedule permits;
    };

    auto now() const -> Utils::TimePoint { return m_transport.clock(); }
    auto isRosterKnown() -> bool;
    auto updateRoster() -> void;
    auto removeEndedLimits() -> void;
    auto limitToJson(const std::string &server, const RateLimit &limit) const -> nlohmann::json;
    auto applyReport(const nlohmann::json &message) -> void;
    auto limitChanged(const std::string &server, bool isOwnObservation,
                      const std::string &requestId, Utils::Duration age) -> void;
    auto spreadLimit(const std::string &server, bool isOwnObservation) -> void;

    auto ask(TicketId id) -> void;
    auto chooseIssuer(const Ticket &ticket) -> std::optional<Http1::SocketAddress>;
    auto handleSilence(TicketId id) -> void;
    auto handleReply(const nlohmann::json &message, const Http1::SocketAddress &sender) -> void;
    auto handlePermit(TicketId id, Utils::Duration delay) -> void;
    auto refuse(TicketId id, Utils::Duration delay) -> void;
    auto wakeTicket(TicketId id, Utils::Duration delay, std::function<void()> action) -> void;
    auto endTicket(TicketId id) -> void;
    auto endTicketsOf(const std::string &server) -> void;
    auto findUsable(const BackendServer &server) const
        -> std::map<TicketId, Ticket>::const_iterator;

    auto handleAsk(const nlohmann::json &message, const Http1::SocketAddress &sender) -> void;
    auto scheduleFor(const std::string &server, const RateLimit &limit)
        -> Routing::PermitSchedule *;
    auto deliver(const Http1::SocketAddress &to, const nlohmann::json &message) -> void;

    Net::Scheduler &m_scheduler;
    Monitoring::Metrics &m_metrics;
    RateLimitTable &m_limits;
    Http1::SocketAddress m_own;
    Transport m_transport;
    std::function<void()> m_onChanged;
    PermitRoster m_roster;
    std::map<TicketId, Ticket> m_tickets;
    TicketId m_nextTicket;
    std::map<Http1::SocketAddress, Utils::TimePoint> m_silentUntil; ///< Issuers without answers.
    std::map<std::string, Schedule> m_schedules; ///< Of the servers for which this one issues.
    std::unique_ptr<Net::PeriodicTimer> m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Gateway
