#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace Gateway {

class BackendRegistry;

/// Records which backend servers announced in an answer that they are leaving, and informs the
/// other gateways, because the server list may show it later or never.
class LeavingNotifier
{
public:
    struct Events
    {
        /// Sends a message to all other gateways.
        std::function<void(const nlohmann::json &message)> broadcast;
        std::function<void(const std::string &id)> onLeaving; ///< Once per incarnation.
    };

    LeavingNotifier(BackendRegistry &registry, Events events);

    /// The server that was started at that Unix time announced in an answer that it is leaving.
    auto noteAnswer(const std::string &id, std::int64_t startedAtMs) -> void;
    /// Returns true if the message is of this class's kind.
    auto handleMessage(const nlohmann::json &message) -> bool;

private:
    auto recordLeaving(const std::string &id, std::int64_t startedAtMs, const char *source) -> bool;

    BackendRegistry &m_registry;
    Events m_events;
};

} // namespace Gateway
