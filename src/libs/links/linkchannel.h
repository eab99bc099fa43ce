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
    NotSent, ///< The peer has certainly not handled the request.
    Lost, ///< The connection was lost; the peer may have handled the request.
    Rejected, ///< The peer rejected the credentials.
};

/// Client side of the link to one peer. Keeps a connection, monitors it with heartbeats, and opens
/// a second one when it goes silent.
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

    /// Sends a request. Calls `onDone` exactly once, unless the call is cancelled or the channel is
    /// destroyed.
    auto call(const std::string &path, const std::string &body, MessageCallback onMessage,
              DoneCallback onDone) -> CallId;
    auto cancel(CallId call) -> void;
    auto isUp() const -> bool;
    auto address() const -> const std::string &;
    /// Number of connections that were replaced because they had gone silent.
    auto replacedConnections() const -> int;

private:
    std::unique_ptr<Private> d;
};

} // namespace Links
