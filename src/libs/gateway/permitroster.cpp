#include "permitroster.h"

#include "gatewayconstants.h"

#include <utils/rendezvous.h>

namespace Gateway {

using Http1::SocketAddress;
using Utils::TimePoint;

namespace {

constexpr size_t MaxCachedResources = 4096;

} // namespace

PermitRoster::PermitRoster(const SocketAddress &own)
    : m_own(own)
{ }

auto PermitRoster::update(const std::vector<SocketAddress> &others, TimePoint now) -> bool
{
    bool isChanged = !m_isKnown;
    m_isKnown = true;
    for (const SocketAddress &address : others) {
        if (address != m_own)
            isChanged = m_lastListedAt.insert_or_assign(address, now).second || isChanged;
    }
    isChanged = std::erase_if(m_lastListedAt,
                              [now](const auto &item) {
                                  return now - item.second > Constants::PermitIssuerRetention;
                              })
            > 0
        || isChanged;
    if (isChanged) {
        m_changedAt = now;
        m_issuers.clear();
    }
    return isChanged;
}

auto PermitRoster::issuers(const std::string &resource) const -> const Issuers &
{
    const auto cached = m_issuers.find(resource);
    if (cached != m_issuers.end())
        return cached->second;
    if (m_issuers.size() >= MaxCachedResources)
        m_issuers.clear();
    std::vector<std::string> names = {m_own.toString()};
    for (const auto &[address, listedAt] : m_lastListedAt)
        names.push_back(address.toString());
    const auto ranked = Utils::rankByRendezvous(resource, std::move(names));
    Issuers issuers;
    issuers.first = *SocketAddress::parse(ranked.front());
    if (ranked.size() > 1)
        issuers.second = *SocketAddress::parse(ranked[1]);
    return m_issuers[resource] = issuers;
}

auto PermitRoster::others() const -> std::vector<SocketAddress>
{
    std::vector<SocketAddress> all;
    all.reserve(m_lastListedAt.size());
    for (const auto &[address, listedAt] : m_lastListedAt)
        all.push_back(address);
    return all;
}

} // namespace Gateway
