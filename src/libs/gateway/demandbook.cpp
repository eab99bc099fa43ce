#include "demandbook.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Gateway {

using nlohmann::json;
using Utils::TimePoint;

namespace {

/// What a gateway told counts for this long; it tells anew several times a second.
constexpr std::chrono::milliseconds ReportLifetime(1500);
/// A gateway that was not heard for this long is no longer told what changes.
constexpr std::chrono::milliseconds GatewayLifetime(5000);

} // namespace

auto DemandBook::toJson(const std::vector<ModelDemand> &demand) -> json
{
    json list = json::array();
    for (const ModelDemand &one : demand)
        list.push_back({one.key.service, one.key.model, one.key.adapter, one.waiting, one.running,
                        one.perSecond, one.longestWaitMs});
    return list;
}

auto DemandBook::take(const Http1::SocketAddress &gateway, const json &demand, TimePoint now)
    -> bool
{
    constexpr size_t fieldCount = 7;
    const bool isNew = m_told.count(gateway) == 0;
    Told &told = m_told[gateway];
    told.at = now;
    told.demand.clear();
    for (const json &one : demand) {
        if (!one.is_array() || one.size() != fieldCount)
            continue;
        ModelDemand decoded;
        decoded.key = {one[0], one[1], one[2]};
        decoded.waiting = one[3];
        decoded.running = one[4];
        decoded.perSecond = one[5];
        decoded.longestWaitMs = one[6];
        told.demand.push_back(std::move(decoded));
    }
    return isNew;
}

auto DemandBook::dropSilent(TimePoint now) -> void
{
    std::erase_if(m_told,
                  [now](const auto &item) { return now - item.second.at > GatewayLifetime; });
}

auto DemandBook::isReceiverAlive(const Http1::SocketAddress &gateway, TimePoint now) const -> bool
{
    const auto found = m_told.find(gateway);
    return found != m_told.end() && now - found->second.at < ReportLifetime;
}

auto DemandBook::total(const std::vector<ModelDemand> &own, TimePoint now) const
    -> std::map<ModelKey, TotalDemand>
{
    std::map<ModelKey, TotalDemand> sums;
    const auto add = [&sums](const std::vector<ModelDemand> &list) {
        for (const ModelDemand &one : list) {
            TotalDemand &sum = sums[one.key];
            sum.waiting += one.waiting;
            sum.running += one.running;
            sum.perSecond += one.perSecond;
            sum.longestWaitMs = std::max(sum.longestWaitMs, one.longestWaitMs);
        }
    };
    add(own);
    for (const auto &[gateway, told] : m_told) {
        if (now - told.at < ReportLifetime)
            add(told.demand);
    }
    return sums;
}

auto DemandBook::gateways() const -> std::vector<Http1::SocketAddress>
{
    std::vector<Http1::SocketAddress> all;
    all.reserve(m_told.size());
    for (const auto &[gateway, told] : m_told)
        all.push_back(gateway);
    return all;
}

} // namespace Gateway
