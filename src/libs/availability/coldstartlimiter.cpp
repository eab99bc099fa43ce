#include "coldstartlimiter.h"

#include "availabilityconstants.h"

#include <utils/eventlog.h>

#include <algorithm>

namespace Availability {

using std::chrono::milliseconds;
using Utils::TimePoint;

auto ColdStartLimiter::setTolerance(const ColdStartTolerance &tolerance) -> void
{
    m_tolerance = tolerance;
    clearShares();
}

auto ColdStartLimiter::setService(const std::string &service,
                                  const ColdStartDescription &description) -> void
{
    m_services[service] = description;
    clearShares();
}

auto ColdStartLimiter::setGatewayNames(const std::string &own,
                                       const std::vector<std::string> &others, int count,
                                       TimePoint now) -> void
{
    if (m_gateways.update(own, others, count, now))
        clearShares();
}

auto ColdStartLimiter::clearShares() -> void
{
    for (auto &[id, server] : m_servers)
        server.share.reset();
}

auto ColdStartLimiter::update(const std::string &id, std::int64_t startedAtMs,
                              const std::string &service, const std::string &domain,
                              milliseconds remaining, TimePoint now) -> void
{
    Server &server = m_servers[id];
    if (server.startedAtMs != startedAtMs || server.service != service) {
        server = {};
        server.startedAtMs = startedAtMs;
        server.service = service;
    }
    server.domain = domain;
    noteRemaining(id, startedAtMs, remaining, now);
}

auto ColdStartLimiter::noteRemaining(const std::string &id, std::int64_t startedAtMs,
                                     milliseconds remaining, TimePoint now) -> void
{
    const auto found = m_servers.find(id);
    if (found != m_servers.end() && found->second.startedAtMs == startedAtMs)
        found->second.reportedUntil = now + remaining;
}

auto ColdStartLimiter::noteEvacuationEnded(const std::string &domain, TimePoint now) -> void
{
    std::erase_if(m_evacuationEnds, [now](const auto &item) {
        return now - item.second > Constants::EndedEvacuationRetention;
    });
    m_evacuationEnds[domain] = now;
}

auto ColdStartLimiter::remove(const std::string &id) -> void
{
    m_servers.erase(id);
}

auto ColdStartLimiter::isCold(const Server &server, TimePoint now) const -> bool
{
    const auto service = m_services.find(server.service);
    if (service == m_services.end() || !service->second.isEnabled())
        return false;
    const auto endedAt = m_evacuationEnds.find(server.domain);
    return (server.reportedUntil && now < *server.reportedUntil)
        || (endedAt != m_evacuationEnds.end() && now < endedAt->second + service->second.time);
}

auto ColdStartLimiter::isCold(const std::string &id, TimePoint now) const -> bool
{
    const auto found = m_servers.find(id);
    return found != m_servers.end() && isCold(found->second, now);
}

auto ColdStartLimiter::coldServers(TimePoint now) const -> int
{
    return static_cast<int>(
        std::count_if(m_servers.begin(), m_servers.end(),
                      [&](const auto &item) { return isCold(item.second, now); }));
}

auto ColdStartLimiter::shareOf(const std::string &id, const Server &server) const -> ColdStartShare
{
    if (server.share)
        return *server.share;
    const auto service = m_services.find(server.service);
    ColdStartShare share;
    if (service != m_services.end() && m_gateways.isKnown())
        share = ColdStartShare::create(service->second, m_tolerance, m_gateways.count());
    if (share.gateways > 0
        && m_gateways.rankOf(id + '@' + std::to_string(server.startedAtMs)) >= share.gateways)
        share = {};
    server.share = share;
    return share;
}

auto ColdStartLimiter::shareOf(const std::string &id) const -> ColdStartShare
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? ColdStartShare() : shareOf(id, found->second);
}

auto ColdStartLimiter::maySend(const std::string &id, TimePoint now) const -> bool
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || !isCold(found->second, now))
        return true;
    const ColdStartShare share = shareOf(id, found->second);
    if (share.gateways == 0)
        return false;
    // The burst is one request, so the rate only sets the distance between two.
    const auto &last = found->second.lastTakenAt;
    return !last || Utils::toSeconds(now - *last) * share.perSecond >= 1;
}

auto ColdStartLimiter::take(const std::string &id, TimePoint now) -> std::optional<TimePoint>
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || !isCold(found->second, now))
        return {};
    found->second.lastTakenAt = now;
    return now + Constants::ColdSendLifetime;
}

auto ColdStartLimiter::noteWritten(const std::string &request, const std::string &id,
                                   TimePoint now) const -> bool
{
    if (!isCold(id, now))
        return false;
    const ColdStartShare share = shareOf(id);
    const auto &server = m_servers.at(id);
    const auto left = server.reportedUntil.value_or(now) - now;
    Utils::logEvent(Utils::Event::RequestSentToColdServer,
                    {{"request", request},
                     {"server", id},
                     {"reportedMs", std::chrono::duration_cast<milliseconds>(left).count()},
                     {"knownGateways", m_gateways.count()},
                     {"senders", share.gateways},
                     {"perSecond", share.perSecond}});
    return true;
}

auto ColdStartLimiter::weightedLoad(const std::string &id, double requests, TimePoint now) const
    -> double
{
    if (!isCold(id, now))
        return requests;
    return (requests + Constants::ColdExtraRequests) * Constants::ColdSlowness;
}

auto ColdStartLimiter::mayWrite(const std::string &id, const std::optional<TimePoint> &usableUntil,
                                TimePoint now) const -> bool
{
    return !isCold(id, now) || (usableUntil && now <= *usableUntil);
}

} // namespace Availability
