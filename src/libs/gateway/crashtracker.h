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

/// Records which requests were in flight at backend servers that crashed, and informs the other
/// gateways, because such a request may be repeated at any of them.
class CrashTracker
{
public:
    /// Sends a message to all other gateways.
    using BroadcastCallback = std::function<void(const nlohmann::json &message)>;

    CrashTracker(Routing::CrashSuspects &suspects, BroadcastCallback broadcast);

    /// A request lost its connection to the server that was started at that Unix time.
    auto noteConnectionLost(const std::string &backendId, std::int64_t startedAtMs,
                            const std::string &fingerprint, Utils::TimePoint now) -> void;
    /// The server is gone or has restarted.
    auto noteServerGone(const std::string &backendId, Utils::TimePoint now) -> void;
    /// Returns true if the message is of this class's kind.
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
