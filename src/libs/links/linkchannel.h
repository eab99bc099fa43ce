#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace Links {

/// How a call over a link ended.
enum class LinkOutcome {
    Finished, ///< The peer sent its last message.
    NotSent, ///< Proved that the peer never handled the request.
    Lost, ///< The connection went away; the peer may have handled it.
    Rejected, ///< The peer does not accept our credentials.
};

/// Client side of the link to one peer: keeps a connection, watches its heartbeats, and opens
/// another beside it when it goes silent.
class LinkChannel
{
public:
    using CallId = std::uint64_t;
    using MessageCallback = std::function<void(const std::string &message)>;
    using DoneCallback = std::function<void(LinkOutcome outcome)>;

    struct Private;

    LinkChannel(Net::Reactor &reactor, const std::string &ownName, const std::string &address,
                const std::string &secret);
    ~LinkChannel();

    /// Sends a request; `onDone` is called exactly once unless the call is cancelled or the channel
    /// destroyed.
    auto call(const std::string &path, const std::string &body, MessageCallback onMessage,
              DoneCallback onDone) -> CallId;
    auto cancel(CallId call) -> void;
    auto isUp() const -> bool;
    auto address() const -> const std::string &;
    /// Connections that were replaced because they had gone silent.
    auto replacedConnections() const -> int;

private:
    std::unique_ptr<Private> d;
};

} // namespace Links
