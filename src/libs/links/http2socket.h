#pragma once

#include <net/reactor.h>

#include <ace/SOCK_Stream.h>
#include <nghttp2/nghttp2.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Links::Internal {

/// A connected socket and its HTTP/2 session. Owns both and transfers bytes between them.
class Http2Socket
{
public:
    /// Takes ownership of `stream`. Calls `onClosed` once if the peer or an error ends the
    /// connection.
    Http2Socket(Net::Reactor &reactor, const ACE_SOCK_Stream &stream,
                std::function<void()> onClosed);
    ~Http2Socket();
    Http2Socket(const Http2Socket &) = delete;
    auto operator=(const Http2Socket &) -> Http2Socket & = delete;

    /// Takes ownership of the session and sends its preface and settings.
    auto start(nghttp2_session *session) -> void;
    auto session() const -> nghttp2_session *;
    /// Sends the session's queued data. Must be called after each change to the session.
    auto flush() -> void;
    auto lastReceived() const -> Utils::TimePoint;
    auto sendHeartbeat() -> void;

private:
    auto readAvailable() -> void;
    auto writePending() -> bool;
    auto updateInterest() -> void;
    auto fail() -> void;

    Net::Reactor &m_reactor;
    ACE_SOCK_Stream m_stream;
    std::function<void()> m_onClosed;
    nghttp2_session *m_session = nullptr;
    std::string m_outgoing;
    Utils::TimePoint m_lastReceived;
    Net::Reactor::TimerId m_closedTimer = 0;
    bool m_receiving = false;
    bool m_failed = false;
};

/// Converts header fields to nghttp2's format. The result refers to the strings in `fields`.
auto makeHeaders(const std::vector<std::pair<std::string, std::string>> &fields)
    -> std::vector<nghttp2_nv>;

/// Submits the settings that each side sends first.
auto submitInitialSettings(nghttp2_session *session) -> void;

} // namespace Links::Internal
