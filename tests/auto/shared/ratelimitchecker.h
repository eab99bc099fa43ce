#pragma once

#include <utils/timepoint.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>

/// Checks the platform's rule on limits that backend servers name: from `StableWindow` after a
/// server first named a limit, it gets in no `Window` more than `Factor` times what the limit
/// allows, plus `Slack` requests. Only gateways that passed on an answer with the limit at least
/// `ToldDelay` before count.
class RateLimitChecker
{
public:
    /// The server names this limit from now on.
    auto noteNamed(const std::string &server, double perSecond, Utils::TimePoint now) -> void
    {
        Server &entry = m_servers[server];
        if (!entry.named)
            entry.firstNamed = now;
        entry.named = perSecond;
        entry.limits.emplace_back(now, perSecond);
    }

    /// The server no longer names a limit.
    auto noteEnded(const std::string &server) -> void { m_servers.erase(server); }

    /// The gateway passed on an answer that names the server's limit.
    auto noteTold(const std::string &server, size_t gateway, Utils::TimePoint now) -> void
    {
        const auto found = m_servers.find(server);
        if (found != m_servers.end() && found->second.named)
            found->second.toldAt.emplace(gateway, now);
    }

    /// The gateway was restarted, paused or cut off; it counts again once it has been told anew.
    auto noteExcused(size_t gateway) -> void
    {
        for (auto &[id, server] : m_servers)
            server.toldAt.erase(gateway);
    }

    /// Returns a description of the violation if this arrival is one.
    auto noteArrival(const std::string &server, size_t gateway, Utils::TimePoint now)
        -> std::optional<std::string>
    {
        const auto found = m_servers.find(server);
        if (found == m_servers.end() || !found->second.named)
            return {};
        Server &entry = found->second;
        const auto told = entry.toldAt.find(gateway);
        if (told == entry.toldAt.end() || now - told->second < ToldDelay)
            return {};
        entry.arrivals.push_back(now);
        while (now - entry.arrivals.front() > Window)
            entry.arrivals.pop_front();
        while (entry.limits.size() > 1 && now - entry.limits[1].first > Window)
            entry.limits.pop_front();
        double highest = 0;
        for (const auto &[at, limit] : entry.limits)
            highest = std::max(highest, limit);
        const double allowed = Factor * Utils::toSeconds(Window) * highest + Slack;
        const auto count = static_cast<double>(entry.arrivals.size());
        m_highestUse = std::max(m_highestUse, count / allowed);
        if (now - entry.firstNamed < StableWindow || count <= allowed)
            return {};
        return server + " named a limit of " + std::to_string(highest) + " a second and got "
            + std::to_string(entry.arrivals.size()) + " requests in 4 s, allowed "
            + std::to_string(allowed);
    }

    /// Highest number of requests in any window, as a share of the allowed number.
    auto highestUse() const -> double { return m_highestUse; }

private:
    static constexpr std::chrono::seconds StableWindow{3};
    static constexpr std::chrono::seconds Window{4};
    static constexpr std::chrono::milliseconds ToldDelay{500};
    static constexpr double Factor = 1.5;
    static constexpr double Slack = 5;

    struct Server
    {
        std::optional<double> named;
        Utils::TimePoint firstNamed;
        std::deque<std::pair<Utils::TimePoint, double>> limits; ///< Newest last.
        std::map<size_t, Utils::TimePoint> toldAt; ///< By gateway.
        std::deque<Utils::TimePoint> arrivals; ///< Of gateways that count.
    };

    std::map<std::string, Server> m_servers;
    double m_highestUse = 0;
};
