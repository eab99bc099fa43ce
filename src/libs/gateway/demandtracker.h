#pragma once

#include <placement/versiondemand.h>
#include <utils/timepoint.h>

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Gateway {

/// Identifies a model of a service, or an adapter of that model.
struct ModelKey
{
    std::string service;
    std::string model;
    std::string adapter;

    auto operator<(const ModelKey &other) const -> bool
    {
        return std::tie(service, model, adapter)
            < std::tie(other.service, other.model, other.adapter);
    }
};

/// Demand of one gateway's callers for a model.
struct ModelDemand
{
    ModelKey key;
    int waiting = 0;
    int running = 0;
    double perSecond = 0; ///< Arriving requests, averaged over some seconds.
    double longestWaitMs = 0;
};

/// Counts the requests for each model, as input for the placement of models on engines.
class DemandTracker
{
public:
    auto noteArrived(const ModelKey &key, Utils::TimePoint now) -> void;
    auto noteWaiting(const ModelKey &key, Utils::TimePoint now) -> void;
    auto noteWaitingEnded(const ModelKey &key) -> void;
    auto noteRunning(const ModelKey &key, int change) -> void;

    /// Requests that wait for a model at one version; `demand` counts them, too.
    auto versions() -> Placement::VersionDemand & { return m_versions; }
    /// Models that were requested in the last seconds.
    auto demand(Utils::TimePoint now) -> std::vector<ModelDemand>;

private:
    struct Entry
    {
        int waiting = 0;
        int running = 0;
        double perSecond = 0;
        Utils::TimePoint updatedAt;
        Utils::TimePoint waitingSince;
    };

    static auto decay(Entry &entry, Utils::TimePoint now) -> void;

    std::map<ModelKey, Entry> m_entries;
    Placement::VersionDemand m_versions;
};

} // namespace Gateway
