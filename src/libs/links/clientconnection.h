#pragma once

#include <links/channelcall.h>
#include <links/http2socket.h>

#include <functional>
#include <map>
#include <string>

namespace Links::Internal {

/// Client side of one established HTTP/2 connection.
class ClientConnection
{
public:
    ClientConnection(Net::Reactor &reactor, const ACE_SOCK_Stream &stream,
                     std::function<void()> onClosed, std::function<void()> onConfirmed);

    /// Returns false if the session accepts no more requests.
    auto submit(const CallPointer &call, const std::string &ownName, const std::string &secret)
        -> bool;
    auto cancel(LinkChannel::CallId callId) -> bool;
    /// Ends every open call. Calls whose body was not sent at all end as `NotSent`, the others as
    /// `Lost`.
    auto abandonCalls() -> void;
    auto socket() -> Http2Socket &;
    /// True once the peer has sent its HTTP/2 settings.
    auto isConfirmed() const -> bool;
    auto hasCalls() const -> bool;

private:
    static auto self(void *context) -> ClientConnection &;
    static auto readBody(nghttp2_session *session, int32_t id, uint8_t *buffer, size_t maxBytes,
                         uint32_t *flags, nghttp2_data_source *source, void *context) -> ssize_t;
    static auto handleData(nghttp2_session *session, uint8_t flags, int32_t id, const uint8_t *data,
                           size_t size, void *context) -> int;
    static auto handleFrame(nghttp2_session *session, const nghttp2_frame *frame, void *context)
        -> int;
    static auto handleClose(nghttp2_session *session, int32_t id, uint32_t code, void *context)
        -> int;

    std::function<void()> m_onConfirmed;
    std::map<int32_t, CallPointer> m_calls;
    std::map<int32_t, CallPointer> m_cancelled;
    Http2Socket m_socket;
    bool m_isConfirmed = false;
};

} // namespace Links::Internal
