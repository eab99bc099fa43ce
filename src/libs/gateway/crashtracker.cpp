#include "crashtracker.h"

#include <utils/eventlog.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace Gateway {

namespace {

/// Maximum time from the loss of a server's connections to the detection of its end: its entry
/// expires after three missed heartbeats of 1.2 s, and the list is polled every 0.6 s.
constexpr std::chrono::milliseconds EndDetectionTimeout(5000);
/// Requests that are considered at one server's crash.
constexpr size_t MaxLostRequests = 256;
constexpr size_t MaxLoggedFeatures = 16;

} // namespace

CrashTracker::CrashTracker(CrashCallback onCrash)
    : m_onCrash(std::move(onCrash))
{ }

auto CrashTracker::noteConnectionLost(const std::string &backendId, std::int64_t startedAtMs,
                                      const Features &features, Utils::TimePoint now) -> void
{
    removeExpired(now);
    auto &lost = m_lost[backendId];
    if (lost.size() < MaxLostRequests)
        lost.push_back({features, startedAtMs, now});
    // Connections that a crash ends are not all seen to end at once.
    const auto crash = m_crashes.find(backendId);
    if (crash != m_crashes.end() && crash->second.startedAtMs == startedAtMs)
        report(backendId, startedAtMs, "known_before", now);
}

auto CrashTracker::removeExpired(Utils::TimePoint now) -> void
{
    for (auto &[server, requests] : m_lost)
        std::erase_if(requests, [now](const LostRequest &lost) {
            return now - lost.at > EndDetectionTimeout;
        });
    std::erase_if(m_lost, [](const auto &item) { return item.second.empty(); });
    std::erase_if(m_crashes, [now](const auto &item) {
        return now - item.second.knownAt > EndDetectionTimeout;
    });
}

auto CrashTracker::noteRefusal(const std::string &backendId, std::int64_t startedAtMs,
                               Utils::TimePoint now) -> void
{
    removeExpired(now);
    m_crashes[backendId] = {startedAtMs, now};
    report(backendId, startedAtMs, "connection_refused", now);
}

auto CrashTracker::noteAccepted(const std::string &backendId) -> void
{
    m_lost.erase(backendId);
}

auto CrashTracker::noteServerGone(const std::string &backendId, Utils::TimePoint now) -> void
{
    removeExpired(now);
    const auto found = m_lost.find(backendId);
    if (found == m_lost.end())
        return;
    std::set<std::int64_t> starts;
    for (const LostRequest &lost : found->second)
        starts.insert(lost.startedAtMs);
    for (const std::int64_t startedAtMs : starts)
        report(backendId, startedAtMs, "entry_gone", now);
}

auto CrashTracker::report(const std::string &backendId, std::int64_t startedAtMs, const char *proof,
                          Utils::TimePoint now) -> void
{
    const auto found = m_lost.find(backendId);
    if (found == m_lost.end())
        return;
    std::set<Routing::CrashFeature> features;
    Utils::TimePoint lostAt = now;
    size_t requests = 0;
    for (const LostRequest &lost : found->second) {
        if (lost.startedAtMs != startedAtMs)
            continue;
        ++requests;
        lostAt = std::min(lostAt, lost.at);
        features.insert(lost.features.begin(), lost.features.end());
    }
    std::erase_if(found->second, [startedAtMs](const LostRequest &lost) {
        return lost.startedAtMs == startedAtMs;
    });
    if (found->second.empty())
        m_lost.erase(found);
    if (requests == 0)
        return;
    std::vector<std::string> names;
    for (const Routing::CrashFeature &feature : features) {
        if (names.size() < MaxLoggedFeatures)
            names.push_back(feature.toString());
    }
    Utils::logEvent(
        Utils::Event::CrashSuspected,
        {{"server", backendId},
         {"startedAtMs", startedAtMs},
         {"proof", proof},
         {"requests", requests},
         {"features", names},
         {"lostAgoMs",
          std::chrono::duration_cast<std::chrono::milliseconds>(now - lostAt).count()}});
    m_onCrash(backendId + '@' + std::to_string(startedAtMs), lostAt,
              Features(features.begin(), features.end()));
}

} // namespace Gateway
