#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <functional>
#include <list>
#include <string>

namespace Gateway {

/// Streams that began lately. A server that starts again under its id may have accepted the
/// connection of such a stream before the list shows the new incarnation.
class StreamBeginnings
{
public:
    struct Beginning
    {
        std::string attempt;
        std::string service;
        std::string server;
        std::int64_t startedAtMs = 0; ///< Of the server, as listed when the request was sent.
        Utils::TimePoint connectedAt;
        std::function<void()> onUnproved; ///< The version that began the stream is unknown.
    };
    using UnprovedCallback = std::function<void(const Beginning &)>;

    explicit StreamBeginnings(UnprovedCallback onUnproved);

    /// All incarnations that started up to `listedUntil` were listed when the stream began.
    auto add(Beginning beginning, Utils::TimePoint listedUntil) -> void;
    /// The server's new incarnation is listed; it started after `startedAfter`.
    auto noteRestart(const std::string &server, std::int64_t startedAtMs,
                     Utils::TimePoint startedAfter) -> void;

private:
    UnprovedCallback m_onUnproved;
    std::list<Beginning> m_beginnings; ///< In the order in which they were added.
};

} // namespace Gateway
