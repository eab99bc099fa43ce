#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace Gateway {

class BackendRegistry;

/// Notes which backend servers said in an answer that they leave, and tells the other gateways: the
/// list may say so later, or never.
class LeavingNotifier
{
public:
    struct Events
    {
        /// Sends a message to all other gateways.
        std::function<void(const nlohmann::json &message)> broadcast;
        std::function<void(const std::string &id)> onLeaving; ///< Known anew.
    };

    LeavingNotifier(BackendRegistry &board, Events events);

    /// A server, which was started at that Unix time, said so itself.
    auto noteAnswer(const std::string &id, std::int64_t startedAtMs) -> void;
    /// True if the message was one of these.
    auto handleMessage(const nlohmann::json &message) -> bool;

private:
    auto note(const std::string &id, std::int64_t startedAtMs, const char *source) -> bool;

    BackendRegistry &m_board;
    Events m_events;
};

} // namespace Gateway
