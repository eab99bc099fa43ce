#pragma once

#include <utils/timepoint.h>

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Gateway {

/// A model, or an adapter of one, of a service.
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

/// How much one gateway's callers ask of a model.
struct ModelDemand
{
    ModelKey key;
    int waiting = 0;
    int running = 0;
    double perSecond = 0; ///< Requests that came, averaged over some seconds.
    double longestWaitMs = 0;
};

/// Counts what requests ask of models, for those who decide what is loaded where.
class DemandTracker
{
public:
    auto noteArrived(const ModelKey &key, Utils::TimePoint now) -> void;
    auto noteWaiting(const ModelKey &key, Utils::TimePoint now) -> void;
    auto noteWaitingEnded(const ModelKey &key) -> void;
    auto noteRunning(const ModelKey &key, int change) -> void;

    /// Models that were asked for in the last seconds.
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
};

} // namespace Gateway
