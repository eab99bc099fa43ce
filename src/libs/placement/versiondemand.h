#pragma once

#include <utils/timepoint.h>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <tuple>

namespace Placement {

/// Counts the requests that wait for a model at one software version, as they go on with a stream
/// that a server of this version began: own ones, and those of other gateways as they last told.
class VersionDemand
{
public:
    struct Key
    {
        std::string service;
        std::string model;
        std::string adapter;
        std::string softwareVersion;

        auto operator==(const Key &) const -> bool = default;
        auto operator<(const Key &other) const -> bool
        {
            return std::tie(service, model, adapter, softwareVersion)
                < std::tie(other.service, other.model, other.adapter, other.softwareVersion);
        }
    };

    /// Own requests start or end waiting.
    auto noteWaiting(const Key &key, int change) -> void;
    /// Own requests, for a message to the gateway that plans.
    auto toJson() const -> nlohmann::json;
    /// Another gateway's message replaces its former one. Entries that can't be read are left out;
    /// gateways of earlier versions tell none.
    auto update(const std::string &gateway, const nlohmann::json &demand, Utils::TimePoint now)
        -> void;
    auto total(Utils::TimePoint now) -> std::map<Key, int>;

private:
    struct Report
    {
        std::map<Key, int> waiting;
        Utils::TimePoint at;
    };

    std::map<Key, int> m_own;
    std::map<std::string, Report> m_reports; ///< By gateway.
};

} // namespace Placement
