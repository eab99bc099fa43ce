#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Gateway {

/// A limit on the requests per second that a backend server accepts from all gateways together.
struct RateLimit
{
    std::int64_t startedAtMs = 0; ///< Incarnation of the server, as in BackendServer.
    double perSecond = 0; ///< As the server named it last.
    bool hasEnded = false; ///< The server no longer names a limit.
    Utils::TimePoint observedAt; ///< When the newest answer that this is based on arrived.
};

/// Requests per second that the limit allows at `now`. After its end, the rate rises in steps, so
/// that the gateways do not all return at once.
auto rateAt(const RateLimit &limit, Utils::TimePoint now) -> double;

/// The limits that backend servers named, as far as this gateway knows. Answers and messages of
/// other gateways may cross; the newest observation of the newest incarnation holds. Needs no
/// network and reads no clock.
class RateLimitTable
{
public:
    /// What an answer of a server says about its limit.
    struct Observation
    {
        std::string server;
        std::int64_t startedAtMs = 0;
        std::optional<double> perSecond; ///< Unset if the answer names no limit.
        Utils::TimePoint sentAt; ///< When the request that is answered was written.
        Utils::TimePoint observedAt;
    };

    /// Applies an answer. Returns true if that changed the limit. An answer without a limit ends
    /// an earlier one only if its request was sent after that one was named.
    auto noteAnswer(const Observation &observation) -> bool;
    /// Applies a limit that another gateway observed. Returns true if that changed the limit.
    auto noteReport(const std::string &server, const RateLimit &limit) -> bool;
    /// The limit of an incarnation of a server; null if it has none.
    auto find(const std::string &server, std::int64_t startedAtMs) const -> const RateLimit *;
    /// Drops limits that ended before `time`.
    auto removeEnded(Utils::TimePoint time) -> void;
    auto all() const -> const std::map<std::string, RateLimit> & { return m_limits; }

private:
    auto apply(const std::string &server, const RateLimit &limit) -> bool;

    std::map<std::string, RateLimit> m_limits; ///< By server.
};

} // namespace Gateway
