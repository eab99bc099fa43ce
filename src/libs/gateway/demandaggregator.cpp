#include "demandaggregator.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Gateway {

using nlohmann::json;
using Utils::TimePoint;

namespace {

/// A gateway's report is counted for this long; it is repeated several times a second.
constexpr std::chrono::milliseconds ReportLifetime(1500);
/// A gateway without reports for this long gets no more updates.
constexpr std::chrono::milliseconds GatewayLifetime(5000);

} // namespace

auto DemandAggregator::toJson(const std::vector<ModelDemand> &demand) -> json
{
    json list = json::array();
    for (const ModelDemand &entry : demand)
        list.push_back({entry.key.service, entry.key.model, entry.key.adapter, entry.waiting,
                        entry.running, entry.perSecond, entry.longestWaitMs});
    return list;
}

auto DemandAggregator::update(const Http1::SocketAddress &gateway, const json &demand,
                              TimePoint now) -> bool
{
    constexpr size_t fieldCount = 7;
    const bool isNew = m_reports.count(gateway) == 0;
    Report &report = m_reports[gateway];
    report.at = now;
    report.demand.clear();
    for (const json &entry : demand) {
        if (!entry.is_array() || entry.size() != fieldCount)
            continue;
        ModelDemand decoded;
        decoded.key = {entry[0], entry[1], entry[2]};
        decoded.waiting = entry[3];
        decoded.running = entry[4];
        decoded.perSecond = entry[5];
        decoded.longestWaitMs = entry[6];
        report.demand.push_back(std::move(decoded));
    }
    return isNew;
}

auto DemandAggregator::removeExpired(TimePoint now) -> void
{
    std::erase_if(m_reports,
                  [now](const auto &item) { return now - item.second.at > GatewayLifetime; });
}

auto DemandAggregator::hasRecentReport(const Http1::SocketAddress &gateway, TimePoint now) const
    -> bool
{
    const auto found = m_reports.find(gateway);
    return found != m_reports.end() && now - found->second.at < ReportLifetime;
}

auto DemandAggregator::total(const std::vector<ModelDemand> &own, TimePoint now) const
    -> std::map<ModelKey, TotalDemand>
{
    std::map<ModelKey, TotalDemand> sums;
    const auto add = [&sums](const std::vector<ModelDemand> &list) {
        for (const ModelDemand &entry : list) {
            TotalDemand &sum = sums[entry.key];
            sum.waiting += entry.waiting;
            sum.running += entry.running;
            sum.perSecond += entry.perSecond;
            sum.longestWaitMs = std::max(sum.longestWaitMs, entry.longestWaitMs);
        }
    };
    add(own);
    for (const auto &[gateway, report] : m_reports) {
        if (now - report.at < ReportLifetime)
            add(report.demand);
    }
    return sums;
}

auto DemandAggregator::gateways() const -> std::vector<Http1::SocketAddress>
{
    std::vector<Http1::SocketAddress> all;
    all.reserve(m_reports.size());
    for (const auto &[gateway, report] : m_reports)
        all.push_back(gateway);
    return all;
}

} // namespace Gateway
