#include "http2socket.h"

#include "linksconstants.h"

#include <ace/Basic_Types.h>

#include <cerrno>
#include <netinet/tcp.h>

namespace Links::Internal {

Http2Socket::Http2Socket(Net::Reactor &reactor, const ACE_SOCK_Stream &stream,
                         std::function<void()> onClosed)
    : m_reactor(reactor)
    , m_stream(stream)
    , m_onClosed(std::move(onClosed))
    , m_lastReceived(reactor.now())
{
    int enabled = 1;
    m_stream.set_option(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    m_stream.enable(ACE_NONBLOCK);
}

Http2Socket::~Http2Socket()
{
    m_reactor.cancel(m_closedTimer);
    m_reactor.unwatch(m_stream.get_handle());
    nghttp2_session_del(m_session);
    m_stream.close();
}

auto Http2Socket::start(nghttp2_session *session) -> void
{
    m_session = session;
    submitInitialSettings(session);
    updateInterest();
    flush();
}

auto Http2Socket::session() const -> nghttp2_session *
{
    return m_session;
}

auto Http2Socket::lastReceived() const -> Utils::TimePoint
{
    return m_lastReceived;
}

auto Http2Socket::sendHeartbeat() -> void
{
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

auto Http2Socket::flush() -> void
{
    if (m_failed || m_receiving)
        return;
    if (!writePending()) {
        fail();
        return;
    }
    updateInterest();
}

auto Http2Socket::writePending() -> bool
{
    constexpr size_t batchBytes = 65536;
    while (true) {
        while (m_outgoing.size() < batchBytes) {
            const uint8_t *data = nullptr;
            const ssize_t count = nghttp2_session_mem_send(m_session, &data);
            if (count < 0)
                return false;
            if (count == 0)
                break;
            m_outgoing.append(reinterpret_cast<const char *>(data), static_cast<size_t>(count));
        }
        if (m_outgoing.empty())
            return true;
        const ssize_t sent = m_stream.send(m_outgoing.data(), m_outgoing.size());
        if (sent < 0)
            return errno == EWOULDBLOCK || errno == EAGAIN;
        m_outgoing.erase(0, static_cast<size_t>(sent));
    }
}

auto Http2Socket::readAvailable() -> void
{
    constexpr size_t blockBytes = 65536;
    static thread_local std::vector<uint8_t> block(blockBytes);
    const ssize_t count = m_stream.recv(block.data(), block.size());
    if (count < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
        return;
    if (count <= 0) {
        fail();
        return;
    }
    m_lastReceived = m_reactor.now();
    m_receiving = true;
    const ssize_t used =
        nghttp2_session_mem_recv(m_session, block.data(), static_cast<size_t>(count));
    m_receiving = false;
    if (used < 0) {
        fail();
        return;
    }
    flush();
}

auto Http2Socket::updateInterest() -> void
{
    const bool writing = !m_outgoing.empty();
    m_reactor.watch(m_stream.get_handle(), {true, writing}, [this](Net::Interest ready) {
        if (ready.write)
            flush();
        else
            readAvailable();
    });
}

auto Http2Socket::fail() -> void
{
    if (m_failed)
        return;
    m_failed = true;
    m_reactor.unwatch(m_stream.get_handle());
    // Called from the event loop, because the owner destroys this object in the callback.
    m_closedTimer = m_reactor.callAfter(Utils::Duration::zero(), m_onClosed);
}

auto makeHeaders(const std::vector<std::pair<std::string, std::string>> &fields)
    -> std::vector<nghttp2_nv>
{
    std::vector<nghttp2_nv> headers;
    headers.reserve(fields.size());
    for (const auto &[name, value] : fields) {
        headers.push_back({reinterpret_cast<uint8_t *>(const_cast<char *>(name.data())),
                           reinterpret_cast<uint8_t *>(const_cast<char *>(value.data())),
                           name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return headers;
}

auto submitInitialSettings(nghttp2_session *session) -> void
{
    const nghttp2_settings_entry entries[] = {
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, Constants::MaxStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<uint32_t>(Constants::StreamWindowBytes)},
    };
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, entries, std::size(entries));
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                          Constants::ConnectionWindowBytes);
}

} // namespace Links::Internal
