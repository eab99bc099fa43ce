#include "crashtracker.h"

#include <routing/crashsuspects.h>
#include <utils/eventlog.h>
#include <utils/jsonfield.h>

#include <nlohmann/json.hpp>

namespace Gateway {

namespace {

/// Maximum time from the loss of a server's connections to the detection of its end: its entry
/// expires after three missed heartbeats of 1.2 s, and the list is polled every 0.6 s.
constexpr std::chrono::milliseconds EndDetectionTimeout(5000);
const char *const StrikeKind = "strike";

} // namespace

CrashTracker::CrashTracker(Routing::CrashSuspects &suspects, BroadcastCallback broadcast)
    : m_suspects(suspects)
    , m_broadcast(std::move(broadcast))
{ }

auto CrashTracker::noteConnectionLost(const std::string &backendId, std::int64_t startedAtMs,
                                      const std::string &fingerprint, Utils::TimePoint now) -> void
{
    std::erase_if(m_lost, [now](const auto &item) {
        return now - item.second.back().at > EndDetectionTimeout;
    });
    m_lost[backendId].push_back({fingerprint, startedAtMs, now});
}

auto CrashTracker::noteServerGone(const std::string &backendId, Utils::TimePoint now) -> void
{
    const auto found = m_lost.find(backendId);
    if (found == m_lost.end())
        return;
    for (const LostRequest &lost : found->second) {
        if (now - lost.at > EndDetectionTimeout)
            continue;
        // All gateways derive the same name for a crash, so that it counts once.
        const std::string crash = backendId + '@' + std::to_string(lost.startedAtMs);
        m_suspects.recordCrash(lost.fingerprint, crash, now);
        m_broadcast({{"kind", StrikeKind}, {"fingerprint", lost.fingerprint}, {"crash", crash}});
        Utils::logEvent(
            Utils::Event::CrashSuspected,
            {{"server", backendId},
             {"startedAtMs", lost.startedAtMs},
             {"fingerprint", lost.fingerprint},
             {"lostAgoMs",
              std::chrono::duration_cast<std::chrono::milliseconds>(now - lost.at).count()}});
    }
    m_lost.erase(found);
}

auto CrashTracker::handleMessage(const nlohmann::json &message, Utils::TimePoint now) -> bool
{
    if (Utils::fieldOr(message, "kind", std::string()) != StrikeKind)
        return false;
    const auto fingerprint = Utils::fieldOr(message, "fingerprint", std::string());
    const auto crash = Utils::fieldOr(message, "crash", std::string());
    if (!fingerprint.empty() && !crash.empty())
        m_suspects.recordCrash(fingerprint, crash, now);
    return true;
}

} // namespace Gateway
