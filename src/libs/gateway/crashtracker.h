#pragma once

#include <utils/timepoint.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Routing {
class CrashSuspects;
}

namespace Gateway {

/// Notes which requests were cut off at backend servers that then turned out to have died, and
/// tells the other gateways, as such a request comes again at any of them.
class CrashTracker
{
public:
    /// Sends a message to all other gateways.
    using BroadcastCallback = std::function<void(const nlohmann::json &message)>;

    CrashTracker(Routing::CrashSuspects &suspects, BroadcastCallback broadcast);

    /// A request lost its connection to a server, which was started at that Unix time.
    auto noteConnectionLost(const std::string &backendId, std::int64_t startedAtMs,
                            const std::string &fingerprint, Utils::TimePoint now) -> void;
    /// The server is gone, or runs anew.
    auto noteServerGone(const std::string &backendId, Utils::TimePoint now) -> void;
    /// True if the message was one of these.
    auto handleMessage(const nlohmann::json &message, Utils::TimePoint now) -> bool;

private:
    struct LostRequest
    {
        std::string fingerprint;
        std::int64_t startedAtMs = 0;
        Utils::TimePoint at;
    };

    Routing::CrashSuspects &m_suspects;
    BroadcastCallback m_broadcast;
    std::map<std::string, std::vector<LostRequest>> m_lost; ///< By server.
};

} // namespace Gateway
