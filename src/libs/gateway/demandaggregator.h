#pragma once

#include "demandtracker.h"
#include "swapplanner.h"

#include <http1/socketaddress.h>
#include <utils/timepoint.h>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Gateway {

/// Sums up the demand that the gateways last reported to the placement lease's holder.
class DemandAggregator
{
public:
    /// Serializes a gateway's own demand for its report.
    static auto toJson(const std::vector<ModelDemand> &demand) -> nlohmann::json;

    /// Stores a gateway's report without the entries that can't be read; returns true if the
    /// gateway was unknown.
    auto update(const Http1::SocketAddress &gateway, const nlohmann::json &demand,
                Utils::TimePoint now) -> bool;
    auto removeExpired(Utils::TimePoint now) -> void;

    /// Total demand, including the holder's own.
    auto total(const std::vector<ModelDemand> &own, Utils::TimePoint now) const
        -> std::map<ModelKey, TotalDemand>;
    /// True if the gateway's last report is still counted.
    auto hasRecentReport(const Http1::SocketAddress &gateway, Utils::TimePoint now) const -> bool;
    auto gateways() const -> std::vector<Http1::SocketAddress>;

private:
    struct Report
    {
        std::vector<ModelDemand> demand;
        Utils::TimePoint at;
    };

    std::map<Http1::SocketAddress, Report> m_reports;
};

} // namespace Gateway
