#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Gateway {

class BackendAttempt;
struct GatewayContext;

/// After a connection to a server was lost or refused, the server may have started again under its
/// id with other software. Learns from the server's own report, or from the list's silence, whether
/// it is still the incarnation that is listed.
class IncarnationVerifier
{
public:
    struct Events
    {
        /// Incarnations that started up to this time are listed.
        std::function<Utils::TimePoint()> listedUntil;
        std::function<void()> onConfirmed;
    };

    IncarnationVerifier(GatewayContext &context, Events events);
    ~IncarnationVerifier();

    auto noteConnectionLost(const std::string &backendId, std::int64_t startedAtMs) -> void;

private:
    struct Check
    {
        std::unique_ptr<BackendAttempt> call;
        int status = 0;
        std::string body;
        long timer = 0;
        Utils::Duration delay{0}; ///< Until the next call.
        Utils::TimePoint calledAt;
    };

    auto isVersionNeeded(const std::string &service) const -> bool;
    auto schedule(const std::string &backendId) -> void;
    auto start(const std::string &backendId) -> void;
    auto handleAnswer(const std::string &backendId, bool isComplete) -> void;
    /// True if nothing is left to verify.
    auto isSettled(const std::string &backendId) -> bool;

    GatewayContext &m_context;
    Events m_events;
    std::map<std::string, Check> m_checks; ///< By server.
};

} // namespace Gateway
