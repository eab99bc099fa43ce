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

/// What the gateways' callers ask for, as the gateways told the holder last.
class DemandBook
{
public:
    /// A gateway's own demand in the form in which it is told.
    static auto toJson(const std::vector<ModelDemand> &demand) -> nlohmann::json;

    /// Takes what a gateway told; true if that gateway was not known. Throws on fields of another
    /// type.
    auto take(const Http1::SocketAddress &gateway, const nlohmann::json &demand,
              Utils::TimePoint now) -> bool;
    auto dropSilent(Utils::TimePoint now) -> void;

    /// All demand together, the holder's own included.
    auto total(const std::vector<ModelDemand> &own, Utils::TimePoint now) const
        -> std::map<ModelKey, TotalDemand>;
    /// True if what the gateway told still counts.
    auto isReceiverAlive(const Http1::SocketAddress &gateway, Utils::TimePoint now) const -> bool;
    auto gateways() const -> std::vector<Http1::SocketAddress>;

private:
    struct Told
    {
        std::vector<ModelDemand> demand;
        Utils::TimePoint at;
    };

    std::map<Http1::SocketAddress, Told> m_told;
};

} // namespace Gateway
