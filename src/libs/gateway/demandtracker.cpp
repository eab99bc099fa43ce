#include "demandtracker.h"

#include <algorithm>
#include <cmath>

namespace Gateway {

using Utils::TimePoint;

namespace {

/// Seconds over which arrivals are averaged: long enough to include a model that is requested every
/// few seconds, short enough to follow a shift of demand.
constexpr double AveragingSeconds = 8;
constexpr double NegligibleRate = 0.005;
constexpr double MillisecondsPerSecond = 1000;

} // namespace

auto DemandTracker::decay(Entry &entry, TimePoint now) -> void
{
    const double passed = Utils::toSeconds(now - entry.updatedAt);
    entry.perSecond *= std::exp(-passed / AveragingSeconds);
    entry.updatedAt = now;
}

auto DemandTracker::noteArrived(const ModelKey &key, TimePoint now) -> void
{
    Entry &entry = m_entries[key];
    decay(entry, now);
    entry.perSecond += 1 / AveragingSeconds;
}

auto DemandTracker::noteWaiting(const ModelKey &key, TimePoint now) -> void
{
    Entry &entry = m_entries[key];
    if (entry.waiting++ == 0)
        entry.waitingSince = now;
}

auto DemandTracker::noteWaitingEnded(const ModelKey &key) -> void
{
    Entry &entry = m_entries[key];
    entry.waiting = std::max(0, entry.waiting - 1);
}

auto DemandTracker::noteRunning(const ModelKey &key, int change) -> void
{
    Entry &entry = m_entries[key];
    entry.running = std::max(0, entry.running + change);
}

auto DemandTracker::demand(TimePoint now) -> std::vector<ModelDemand>
{
    std::vector<ModelDemand> all;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        Entry &entry = it->second;
        decay(entry, now);
        if (entry.waiting == 0 && entry.running == 0 && entry.perSecond < NegligibleRate) {
            it = m_entries.erase(it);
            continue;
        }
        const double waited = entry.waiting > 0
            ? Utils::toSeconds(now - entry.waitingSince) * MillisecondsPerSecond
            : 0;
        all.push_back({it->first, entry.waiting, entry.running, entry.perSecond, waited});
        ++it;
    }
    return all;
}

} // namespace Gateway
