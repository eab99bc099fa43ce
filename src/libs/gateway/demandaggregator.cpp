#include "demandaggregator.h"

#include <utils/jsonfield.h>
#include <utils/name.h>

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
/// Bounds of a report's numbers and of their sums.
constexpr int MaxRequests = 1000000000;
constexpr double MaxPerSecond = 1e6;
constexpr double MaxWaitMs = 1e9;

auto decodeAmount(const json &value, double maximum) -> std::optional<double>
{
    const auto number = value.is_number() ? value.get<double>() : -1;
    return number >= 0 && number <= maximum ? std::optional(number) : std::nullopt;
}

auto decodeDemand(const json &entry) -> std::optional<ModelDemand>
{
    constexpr size_t fieldCount = 7;
    if (!entry.is_array() || entry.size() != fieldCount || !entry[0].is_string()
        || !entry[1].is_string() || !entry[2].is_string())
        return {};
    for (size_t i = 0; i < 3; ++i) {
        if (!Utils::isValidName(entry[i].get_ref<const std::string &>()))
            return {};
    }
    const auto waiting = Utils::wholeNumber<int>(entry[3], 0, MaxRequests);
    const auto running = Utils::wholeNumber<int>(entry[4], 0, MaxRequests);
    const auto perSecond = decodeAmount(entry[5], MaxPerSecond);
    const auto longestWaitMs = decodeAmount(entry[6], MaxWaitMs);
    if (!waiting || !running || !perSecond || !longestWaitMs)
        return {};
    return ModelDemand{
        {entry[0], entry[1], entry[2]}, *waiting, *running, *perSecond, *longestWaitMs};
}

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
    const bool isNew = m_reports.count(gateway) == 0;
    Report &report = m_reports[gateway];
    report.at = now;
    report.demand.clear();
    for (const json &entry : demand) {
        if (auto decoded = decodeDemand(entry))
            report.demand.push_back(std::move(*decoded));
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
            sum.waiting = std::min(sum.waiting + entry.waiting, MaxRequests);
            sum.running = std::min(sum.running + entry.running, MaxRequests);
            sum.perSecond = std::min(sum.perSecond + entry.perSecond, MaxPerSecond);
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
