#pragma once

#include <net/reactor.h>

#include <ace/SOCK_Stream.h>
#include <nghttp2/nghttp2.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Links::Internal {

/// A connected socket with an HTTP/2 session on it; owns both and moves bytes between them.
class Http2Socket
{
public:
    /// Takes over `stream`. `closed` is called once when the peer or an error ends the connection.
    Http2Socket(Net::Reactor &reactor, const ACE_SOCK_Stream &stream,
                std::function<void()> onClosed);
    ~Http2Socket();
    Http2Socket(const Http2Socket &) = delete;
    auto operator=(const Http2Socket &) -> Http2Socket & = delete;

    /// Takes over the session and sends its preface and settings.
    auto start(nghttp2_session *session) -> void;
    auto session() const -> nghttp2_session *;
    /// Sends what the session has queued; call after each change to it.
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

/// Header names and values for the session, from plain strings that outlive the call.
auto makeHeaders(const std::vector<std::pair<std::string, std::string>> &fields)
    -> std::vector<nghttp2_nv>;

/// Settings that both sides send first.
auto submitInitialSettings(nghttp2_session *session) -> void;

} // namespace Links::Internal
