#pragma once

#include "contextevent.h"
#include "logline.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Explain {

/// The time since which a gateway had a configuration.
struct VersionStart
{
    std::chrono::milliseconds at{0};
    bool isLogged = false; ///< Otherwise inferred from a request that was decided with it.
    std::int64_t routes = -1;
};

/// When a gateway's log begins and ends.
struct LogSpan
{
    std::chrono::milliseconds begin{0};
    std::chrono::milliseconds end{0};
};

/// The gateway that held the placement duty.
struct DutyHolder
{
    std::string_view gateway;
    std::chrono::milliseconds since{0}; ///< The time of that order if `isLogged` is false.
    bool isLogged = false; ///< Otherwise inferred from an order that the gateway gave.
};

/// The events in all gateways' logs that are not part of requests, ordered by time. Its size
/// depends on the number of such lines, not on the number of requests.
class Timeline
{
public:
    using Events = std::vector<ContextEvent>;
    using Versions = std::map<std::int64_t, VersionStart>;
    using Milliseconds = std::chrono::milliseconds;

    /// Adds any line of a log; the logs may come in any order.
    auto addLine(std::string_view line) -> void;
    /// Sorts the events by time; call it after the last line.
    auto finish() -> void;

    auto lines() const -> size_t;
    auto linesSkipped() const -> size_t; ///< Not JSON, or not from a gateway.
    auto linesLeftOut() const -> size_t; ///< Reported as dropped by the gateways themselves.

    /// All gateways with the configurations that they had.
    auto configurations() const -> const std::map<std::string, Versions, std::less<>> &;
    /// The newest of a gateway's configurations at that time; null if none is known.
    auto newestAt(const Versions &versions, Milliseconds time) const
        -> const Versions::value_type *;
    /// The newest version among all gateways' configurations at that time; 0 if none is known.
    auto newestVersionAt(Milliseconds time) const -> std::int64_t;
    auto versionStart(std::string_view gateway, std::int64_t version) const
        -> std::optional<VersionStart>;

    /// Orders to engines and their results.
    auto orders() const -> const Events &;
    auto duties() const -> const Events &;
    auto pauses() const -> const Events &;
    auto dutyHolderAt(Milliseconds time) const -> std::optional<DutyHolder>;
    /// All gateways' events about a server.
    auto serverEvents(std::string_view server) const -> const Events &;
    /// A gateway's start, stop and store events.
    auto gatewayEvents(std::string_view gateway) const -> const Events &;
    /// When the gateway's log begins and ends; nothing for a gateway without any line.
    auto logSpan(std::string_view gateway) const -> std::optional<LogSpan>;
    /// The end of the log that ends last.
    auto end() const -> Milliseconds;

    /// The events from `from` to `to`, both included.
    static auto between(const Events &events, Milliseconds from, Milliseconds to)
        -> std::pair<Events::const_iterator, Events::const_iterator>;

private:
    auto addServedLine(std::string_view object) -> void;
    auto addContextLine(const LogLine &line) -> void;
    auto extendLogSpan(const std::string &gateway, Milliseconds time) -> void;
    auto recordVersion(const std::string &gateway, std::int64_t version, const VersionStart &start)
        -> void;
    auto intern(const std::string &text) -> std::string_view;

    size_t m_lines = 0;
    size_t m_linesSkipped = 0;
    size_t m_linesLeftOut = 0;
    std::set<std::string, std::less<>> m_texts;
    std::map<std::string, Versions, std::less<>> m_configurations;
    std::map<std::string, LogSpan, std::less<>> m_spans;
    std::map<std::string_view, Events> m_servers;
    std::map<std::string_view, Events> m_gateways;
    Events m_orders;
    Events m_duties;
    Events m_pauses;
};

} // namespace Explain
