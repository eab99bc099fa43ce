#include "linkserver.h"

#include "framebuffer.h"
#include "http2socket.h"
#include "linkauthentication.h"
#include "linksconstants.h"

#include <net/periodictimer.h>
#include <net/reactor.h>
#include <utils/eventlog.h>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>

#include <algorithm>
#include <map>

namespace Links {

namespace Internal {

class ServerConnection;

/// Server side of one HTTP/2 stream.
class ServerStream : public LinkExchange, public std::enable_shared_from_this<ServerStream>
{
public:
    ServerStream(ServerConnection *connection, int32_t id)
        : m_connection(connection)
        , m_id(id)
    { }

    auto path() const -> const std::string & override { return m_path; }
    auto peer() const -> const std::string & override { return m_credentials.peer; }
    auto body() const -> const std::string & override { return m_body; }
    auto send(const std::string &message) -> void override;
    auto finish() -> void override;
    auto isOpen() const -> bool override { return m_connection != nullptr; }
    auto onClosed(std::function<void()> callback) -> void override
    {
        m_onClosed = std::move(callback);
    }

    auto close() -> void
    {
        m_connection = nullptr;
        const auto callback = std::move(m_onClosed);
        m_onClosed = nullptr;
        if (callback)
            callback();
    }

    auto addHeader(const std::string &name, const std::string &value) -> void
    {
        if (name == ":path")
            m_path = value;
        else if (name == "x-acacia-peer")
            m_credentials.peer = value;
        else if (name == "x-acacia-nonce")
            m_credentials.nonce = value;
        else if (name == "x-acacia-mac")
            m_credentials.mac = value;
    }

    auto appendBody(std::string_view bytes) -> bool
    {
        m_body.append(bytes);
        return m_body.size() <= Constants::MaxMessageBytes;
    }

    auto read(uint8_t *buffer, size_t maxBytes, uint32_t *flags) -> ssize_t
    {
        if (m_outgoing.empty() && !m_finished)
            return NGHTTP2_ERR_DEFERRED;
        const size_t count = std::min(maxBytes, m_outgoing.size());
        std::copy_n(m_outgoing.data(), count, buffer);
        m_outgoing.erase(0, count);
        if (m_outgoing.empty() && m_finished)
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }

    auto credentials() const -> const LinkCredentials & { return m_credentials; }

private:
    ServerConnection *m_connection;
    int32_t m_id;
    std::string m_path;
    LinkCredentials m_credentials;
    std::string m_body;
    std::string m_outgoing;
    bool m_finished = false;
    std::function<void()> m_onClosed;
};

/// One accepted connection and its streams.
class ServerConnection
{
public:
    ServerConnection(Net::Reactor &reactor, const ACE_SOCK_Stream &stream,
                     const std::string &secret, const LinkHandler &handler,
                     std::function<void()> onClosed)
        : m_secret(secret)
        , m_handler(handler)
        , m_socket(reactor, stream, std::move(onClosed))
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &handleBegin);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, &handleHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &handleData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &handleFrame);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &handleClose);
        nghttp2_session *session = nullptr;
        nghttp2_session_server_new(&session, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        m_socket.start(session);
    }

    ~ServerConnection()
    {
        const auto streams = std::move(m_streams);
        m_streams.clear();
        for (const auto &[id, stream] : streams)
            stream->close();
    }

    auto resume(int32_t id) -> void
    {
        nghttp2_session_resume_data(m_socket.session(), id);
        m_socket.flush();
    }

    auto lastReceived() const -> Utils::TimePoint { return m_socket.lastReceived(); }

private:
    static auto self(void *context) -> ServerConnection &
    {
        return *static_cast<ServerConnection *>(context);
    }

    auto find(int32_t id) -> std::shared_ptr<ServerStream>
    {
        const auto found = m_streams.find(id);
        return found == m_streams.end() ? nullptr : found->second;
    }

    auto dispatch(int32_t id) -> void
    {
        const auto stream = find(id);
        if (!stream)
            return;
        if (!verifyRequest(m_secret, stream->credentials(), stream->path(), stream->body())) {
            Utils::logEvent(Utils::Event::LinkRejected,
                            {{"peer", stream->peer()}, {"path", stream->path()}});
            nghttp2_submit_rst_stream(m_socket.session(), NGHTTP2_FLAG_NONE, id,
                                      NGHTTP2_HTTP_1_1_REQUIRED);
            return;
        }
        static const std::vector<std::pair<std::string, std::string>> fields = {{":status", "200"}};
        nghttp2_data_provider provider = {};
        provider.source.ptr = stream.get();
        provider.read_callback = &readData;
        const auto headers = makeHeaders(fields);
        nghttp2_submit_response(m_socket.session(), id, headers.data(), headers.size(), &provider);
        m_handler(stream);
        m_socket.flush();
    }

    static auto readData(nghttp2_session *, int32_t, uint8_t *buffer, size_t maxBytes,
                         uint32_t *flags, nghttp2_data_source *source, void *) -> ssize_t
    {
        return static_cast<ServerStream *>(source->ptr)->read(buffer, maxBytes, flags);
    }

    static auto handleBegin(nghttp2_session *, const nghttp2_frame *frame, void *context) -> int
    {
        if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            const int32_t id = frame->hd.stream_id;
            self(context).m_streams[id] = std::make_shared<ServerStream>(&self(context), id);
        }
        return 0;
    }

    static auto handleHeader(nghttp2_session *, const nghttp2_frame *frame, const uint8_t *name,
                             size_t nameLength, const uint8_t *value, size_t valueLength, uint8_t,
                             void *context) -> int
    {
        const auto stream = self(context).find(frame->hd.stream_id);
        if (stream)
            stream->addHeader(std::string(reinterpret_cast<const char *>(name), nameLength),
                              std::string(reinterpret_cast<const char *>(value), valueLength));
        return 0;
    }

    static auto handleData(nghttp2_session *session, uint8_t, int32_t id, const uint8_t *data,
                           size_t size, void *context) -> int
    {
        const auto stream = self(context).find(id);
        if (stream && !stream->appendBody({reinterpret_cast<const char *>(data), size}))
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
        return 0;
    }

    static auto handleFrame(nghttp2_session *, const nghttp2_frame *frame, void *context) -> int
    {
        const bool mayEndStream =
            frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (mayEndStream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
            self(context).dispatch(frame->hd.stream_id);
        return 0;
    }

    static auto handleClose(nghttp2_session *, int32_t id, uint32_t, void *context) -> int
    {
        const auto stream = self(context).find(id);
        if (!stream)
            return 0;
        self(context).m_streams.erase(id);
        stream->close();
        return 0;
    }

    const std::string &m_secret;
    const LinkHandler &m_handler;
    std::map<int32_t, std::shared_ptr<ServerStream>> m_streams;
    Http2Socket m_socket;
};

auto ServerStream::send(const std::string &message) -> void
{
    if (!m_connection || m_finished)
        return;
    m_outgoing += encodeFrame(message);
    m_connection->resume(m_id);
}

auto ServerStream::finish() -> void
{
    if (!m_connection || m_finished)
        return;
    m_finished = true;
    m_connection->resume(m_id);
}

} // namespace Internal

struct LinkServer::Private
{
    Net::Reactor *reactor = nullptr;
    std::string secret;
    LinkHandler handler;
    ACE_SOCK_Acceptor acceptor;
    std::unique_ptr<Net::PeriodicTimer> silenceTimer;
    int nextConnection = 1;
    std::map<int, std::unique_ptr<Internal::ServerConnection>> connections;

    auto acceptAll() -> void
    {
        ACE_SOCK_Stream stream;
        const ACE_Time_Value immediately = ACE_Time_Value::zero;
        while (acceptor.accept(stream, nullptr, const_cast<ACE_Time_Value *>(&immediately)) == 0) {
            const int id = nextConnection++;
            connections[id] = std::make_unique<Internal::ServerConnection>(
                *reactor, stream, secret, handler, [this, id] { connections.erase(id); });
        }
    }

    /// Closes connections without recent data. Peers send heartbeats, so a silent connection is
    /// dead even if TCP reports no error.
    auto closeSilentConnections() -> void
    {
        const auto limit = reactor->now() - Constants::AcceptedSilenceTimeout;
        for (auto next = connections.begin(); next != connections.end();) {
            const auto current = next++;
            if (current->second->lastReceived() < limit)
                connections.erase(current);
        }
    }
};

LinkServer::LinkServer(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

LinkServer::~LinkServer()
{
    d->reactor->unwatch(d->acceptor.get_handle());
    d->connections.clear();
    d->acceptor.close();
}

auto LinkServer::listen(Net::Reactor &reactor, const std::string &address,
                        const std::string &secret, LinkHandler handler)
    -> Utils::Result<std::unique_ptr<LinkServer>, std::string>
{
    auto data = std::make_unique<Private>();
    data->reactor = &reactor;
    data->secret = secret;
    data->handler = std::move(handler);
    const ACE_INET_Addr where(address.c_str());
    if (data->acceptor.open(where, 1) != 0)
        return tl::unexpected("cannot listen on " + address);
    data->acceptor.enable(ACE_NONBLOCK);
    Private *server = data.get();
    reactor.watch(data->acceptor.get_handle(), {true, false},
                  [server](Net::Interest) { server->acceptAll(); });
    data->silenceTimer = std::make_unique<Net::PeriodicTimer>(
        reactor, Constants::HeartbeatInterval, [server] { server->closeSilentConnections(); });
    return std::unique_ptr<LinkServer>(new LinkServer(std::move(data)));
}

auto LinkServer::port() const -> int
{
    ACE_INET_Addr where;
    d->acceptor.get_local_addr(where);
    return where.get_port_number();
}

auto LinkServer::connectionCount() const -> size_t
{
    return d->connections.size();
}

} // namespace Links
