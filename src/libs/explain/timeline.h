#pragma once

#include "contextevent.h"
#include "logline.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Explain {

/// Since when a gateway had a configuration.
struct VersionStart
{
    std::chrono::milliseconds at{0};
    bool isLogged = false; ///< Otherwise it is known only from a request that was judged by it.
    std::int64_t routes = -1;
};

/// When a gateway's log begins and ends.
struct LogSpan
{
    std::chrono::milliseconds begin{0};
    std::chrono::milliseconds end{0};
};

/// Who held the placement duty.
struct DutyHolder
{
    std::string_view gateway;
    std::chrono::milliseconds since{0}; ///< Or the order by which it is known.
    bool isLogged = false; ///< Otherwise it is known only from an order that it gave.
};

/// What the logs of all gateways say beside their requests, in order of time. Its size depends on
/// the number of such lines and not on that of the requests.
class Timeline
{
public:
    using Events = std::vector<ContextEvent>;
    using Versions = std::map<std::int64_t, VersionStart>;
    using Milliseconds = std::chrono::milliseconds;

    /// Takes any line of a log, in any order of the logs.
    auto addLine(std::string_view line) -> void;
    /// Sorts by time, after the last line.
    auto finish() -> void;

    auto lines() const -> size_t;
    auto linesSkipped() const -> size_t; ///< No JSON, or not a gateway's.
    auto linesLeftOut() const -> size_t; ///< That gateways say they have left out themselves.

    /// All gateways with the configurations that they had.
    auto configurations() const -> const std::map<std::string, Versions, std::less<>> &;
    /// The newest configuration of the gateway at that time; null if none is known.
    auto newestAt(const Versions &versions, Milliseconds time) const
        -> const Versions::value_type *;
    /// Of all gateways' configurations at that time, the newest's version; 0 if none is known.
    auto newestVersionAt(Milliseconds time) const -> std::int64_t;
    auto versionStart(std::string_view gateway, std::int64_t version) const
        -> std::optional<VersionStart>;

    /// Orders to engines and what became of them.
    auto orders() const -> const Events &;
    auto duties() const -> const Events &;
    auto pauses() const -> const Events &;
    auto dutyHolderAt(Milliseconds time) const -> std::optional<DutyHolder>;
    /// What all gateways learned of a server.
    auto serverEvents(std::string_view server) const -> const Events &;
    /// A gateway's start and end, and its dealings with the store.
    auto gatewayEvents(std::string_view gateway) const -> const Events &;
    /// When the gateway's log begins and ends; nothing for a gateway without any line.
    auto logSpan(std::string_view gateway) const -> std::optional<LogSpan>;
    /// When the last of all logs ends.
    auto end() const -> Milliseconds;

    /// The events from one time to another, both included.
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
