#include "clientconnection.h"

#include "linkauthentication.h"

#include <algorithm>
#include <vector>

namespace Links::Internal {

ClientConnection::ClientConnection(Net::Reactor &reactor, const ACE_SOCK_Stream &stream,
                                   std::function<void()> onClosed,
                                   std::function<void()> onConfirmed)
    : m_onConfirmed(std::move(onConfirmed))
    , m_socket(reactor, stream, std::move(onClosed))
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &handleData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &handleFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &handleClose);
    nghttp2_session *session = nullptr;
    nghttp2_session_client_new(&session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    m_socket.start(session);
}

auto ClientConnection::submit(const CallPointer &call, const std::string &ownName,
                              const std::string &secret) -> bool
{
    const auto credentials = signRequest(secret, ownName, call->path, call->body);
    const std::vector<std::pair<std::string, std::string>> fields = {
        {":method", "POST"},
        {":scheme", "http"},
        {":authority", "acacia"},
        {":path", call->path},
        {"x-acacia-peer", credentials.peer},
        {"x-acacia-nonce", credentials.nonce},
        {"x-acacia-mac", credentials.mac}};
    nghttp2_data_provider provider = {};
    provider.source.ptr = call.get();
    provider.read_callback = &readBody;
    const auto headers = makeHeaders(fields);
    const int32_t id = nghttp2_submit_request(m_socket.session(), nullptr, headers.data(),
                                              headers.size(), &provider, nullptr);
    if (id < 0)
        return false;
    m_calls[id] = call;
    m_socket.flush();
    return true;
}

auto ClientConnection::cancel(LinkChannel::CallId callId) -> bool
{
    const auto found = std::find_if(m_calls.begin(), m_calls.end(), [callId](const auto &entry) {
        return entry.second->id == callId;
    });
    if (found == m_calls.end())
        return false;
    const int32_t id = found->first;
    // Keeps the call alive until the stream closes, because nghttp2 may still read its body.
    m_cancelled[id] = std::move(found->second);
    m_calls.erase(found);
    nghttp2_submit_rst_stream(m_socket.session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    m_socket.flush();
    return true;
}

auto ClientConnection::abandonCalls() -> void
{
    const auto calls = std::move(m_calls);
    m_calls.clear();
    for (const auto &[id, call] : calls)
        call->onDone(call->bodySent == 0 ? LinkOutcome::NotSent : LinkOutcome::Lost);
}

auto ClientConnection::socket() -> Http2Socket &
{
    return m_socket;
}
auto ClientConnection::isConfirmed() const -> bool
{
    return m_isConfirmed;
}
auto ClientConnection::hasCalls() const -> bool
{
    return !m_calls.empty();
}

auto ClientConnection::self(void *context) -> ClientConnection &
{
    return *static_cast<ClientConnection *>(context);
}

auto ClientConnection::readBody(nghttp2_session *, int32_t, uint8_t *buffer, size_t maxBytes,
                                uint32_t *flags, nghttp2_data_source *source, void *) -> ssize_t
{
    auto *call = static_cast<ChannelCall *>(source->ptr);
    const size_t count = std::min(maxBytes, call->body.size() - call->bodySent);
    std::copy_n(call->body.data() + call->bodySent, count, buffer);
    call->bodySent += count;
    if (call->bodySent == call->body.size())
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

auto ClientConnection::handleData(nghttp2_session *, uint8_t, int32_t id, const uint8_t *data,
                                  size_t size, void *context) -> int
{
    const auto found = self(context).m_calls.find(id);
    if (found == self(context).m_calls.end())
        return 0;
    const CallPointer call = found->second;
    call->frames.append({reinterpret_cast<const char *>(data), size});
    while (auto message = call->frames.next())
        call->onMessage(*message);
    return 0;
}

auto ClientConnection::handleFrame(nghttp2_session *, const nghttp2_frame *frame, void *context)
    -> int
{
    auto &connection = self(context);
    if (frame->hd.type == NGHTTP2_SETTINGS && !connection.m_isConfirmed) {
        connection.m_isConfirmed = true;
        connection.m_onConfirmed();
    }
    const bool mayEndStream = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    const auto found = connection.m_calls.find(frame->hd.stream_id);
    if (mayEndStream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0
        && found != connection.m_calls.end())
        found->second->finished = true;
    return 0;
}

auto ClientConnection::handleClose(nghttp2_session *, int32_t id, uint32_t code, void *context)
    -> int
{
    auto &connection = self(context);
    connection.m_cancelled.erase(id);
    const auto node = connection.m_calls.extract(id);
    if (!node)
        return 0;
    const CallPointer call = node.mapped();
    if (call->finished)
        call->onDone(LinkOutcome::Finished);
    else if (code == NGHTTP2_REFUSED_STREAM || call->bodySent == 0)
        call->onDone(LinkOutcome::NotSent);
    else
        call->onDone(code == NGHTTP2_HTTP_1_1_REQUIRED ? LinkOutcome::Rejected : LinkOutcome::Lost);
    return 0;
}

} // namespace Links::Internal
