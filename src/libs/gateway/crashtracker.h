#pragma once

#include <routing/crashfeature.h>
#include <utils/timepoint.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Gateway {

/// Detects which requests were in flight at backend servers that crashed. The loss of a connection
/// alone proves nothing; a crash is proved when the server refuses connections, or when its entry
/// is gone or replaced.
class CrashTracker
{
public:
    using Features = std::vector<Routing::CrashFeature>;
    /// A crash: the name is the same in all gateways. `at` is when the connections were lost.
    using CrashCallback = std::function<void(const std::string &crash, Utils::TimePoint at,
                                             const Features &features)>;

    explicit CrashTracker(CrashCallback onCrash);

    /// A request lost its connection to the server that was started at that Unix time.
    auto noteConnectionLost(const std::string &backendId, std::int64_t startedAtMs,
                            const Features &features, Utils::TimePoint now) -> void;
    /// Nothing listens at the address of that incarnation.
    auto noteRefusal(const std::string &backendId, std::int64_t startedAtMs, Utils::TimePoint now)
        -> void;
    /// The server accepts connections, so those lost before were not lost in a crash.
    auto noteAccepted(const std::string &backendId) -> void;
    /// The server's entry is gone or was replaced by that of a new incarnation.
    auto noteServerGone(const std::string &backendId, Utils::TimePoint now) -> void;

private:
    struct LostRequest
    {
        Features features;
        std::int64_t startedAtMs = 0;
        Utils::TimePoint at;
    };
    struct Crash
    {
        std::int64_t startedAtMs = 0;
        Utils::TimePoint knownAt;
    };

    auto removeExpired(Utils::TimePoint now) -> void;
    auto report(const std::string &backendId, std::int64_t startedAtMs, const char *proof,
                Utils::TimePoint now) -> void;

    CrashCallback m_onCrash;
    std::map<std::string, std::vector<LostRequest>> m_lost; ///< By server.
    std::map<std::string, Crash> m_crashes; ///< Newest known crash of each server.
};

} // namespace Gateway
