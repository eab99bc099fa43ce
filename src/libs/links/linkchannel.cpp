#include "linkchannel.h"

#include "framebuffer.h"
#include "http2socket.h"
#include "linkauthentication.h"
#include "linksconstants.h"

#include <utils/eventlog.h>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>

#include <algorithm>
#include <map>
#include <vector>

namespace Links {

namespace Internal {

/// A request and what its caller wants to hear of it.
struct ChannelCall
{
    LinkChannel::CallId id = 0;
    std::string path;
    std::string body;
    LinkChannel::MessageCallback onMessage;
    LinkChannel::DoneCallback onDone;
    FrameBuffer frames;
    size_t bodySent = 0;
    bool finished = false;
};

using CallPointer = std::shared_ptr<ChannelCall>;

/// Client side of one established HTTP/2 connection.
class ClientConnection
{
public:
    ClientConnection(Net::Reactor &reactor, const ACE_SOCK_Stream &stream,
                     std::function<void()> closed, std::function<void()> confirmed)
        : m_confirmed(std::move(confirmed))
        , m_socket(reactor, stream, std::move(closed))
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

    /// False when the session takes no more requests.
    auto submit(const CallPointer &call, const std::string &ownName, const std::string &secret)
        -> bool
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

    auto cancel(LinkChannel::CallId callId) -> bool
    {
        const auto found =
            std::find_if(m_calls.begin(), m_calls.end(),
                         [callId](const auto &entry) { return entry.second->id == callId; });
        if (found == m_calls.end())
            return false;
        const int32_t id = found->first;
        // The call stays alive in m_cancelled until the stream closes: its body may still be read.
        m_cancelled[id] = std::move(found->second);
        m_calls.erase(found);
        nghttp2_submit_rst_stream(m_socket.session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        m_socket.flush();
        return true;
    }

    /// Ends every open call; calls of which nothing was sent are proved not handled.
    auto abandonCalls() -> void
    {
        const auto calls = std::move(m_calls);
        m_calls.clear();
        for (const auto &[id, call] : calls)
            call->onDone(call->bodySent == 0 ? LinkOutcome::NotSent : LinkOutcome::Lost);
    }

    auto socket() -> Http2Socket & { return m_socket; }
    auto isConfirmed() const -> bool { return m_isConfirmed; }
    auto hasCalls() const -> bool { return !m_calls.empty(); }

private:
    static auto self(void *context) -> ClientConnection &
    {
        return *static_cast<ClientConnection *>(context);
    }

    static auto readBody(nghttp2_session *, int32_t, uint8_t *buffer, size_t most, uint32_t *flags,
                         nghttp2_data_source *source, void *) -> ssize_t
    {
        auto *call = static_cast<ChannelCall *>(source->ptr);
        const size_t count = std::min(most, call->body.size() - call->bodySent);
        std::copy_n(call->body.data() + call->bodySent, count, buffer);
        call->bodySent += count;
        if (call->bodySent == call->body.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }

    static auto handleData(nghttp2_session *, uint8_t, int32_t id, const uint8_t *data, size_t size,
                           void *context) -> int
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

    static auto handleFrame(nghttp2_session *, const nghttp2_frame *frame, void *context) -> int
    {
        auto &connection = self(context);
        if (frame->hd.type == NGHTTP2_SETTINGS && !connection.m_isConfirmed) {
            connection.m_isConfirmed = true;
            connection.m_confirmed();
        }
        const bool carriesEnd = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        const auto found = connection.m_calls.find(frame->hd.stream_id);
        if (carriesEnd && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0
            && found != connection.m_calls.end())
            found->second->finished = true;
        return 0;
    }

    static auto handleClose(nghttp2_session *, int32_t id, uint32_t code, void *context) -> int
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
            call->onDone(code == NGHTTP2_HTTP_1_1_REQUIRED ? LinkOutcome::Rejected
                                                           : LinkOutcome::Lost);
        return 0;
    }

    std::function<void()> m_confirmed;
    std::map<int32_t, CallPointer> m_calls;
    std::map<int32_t, CallPointer> m_cancelled;
    Http2Socket m_socket;
    bool m_isConfirmed = false;
};

} // namespace Internal

struct LinkChannel::Private
{
    Net::Reactor *reactor = nullptr;
    std::string ownName;
    std::string address;
    std::string secret;
    std::unique_ptr<Internal::ClientConnection> current;
    std::unique_ptr<Internal::ClientConnection> candidate;
    ACE_SOCK_Stream connecting;
    bool isConnecting = false;
    Utils::TimePoint connectStarted;
    Net::Reactor::TimerId reconnectTimer = 0;
    Net::Reactor::TimerId heartbeatTimer = 0;
    Net::Reactor::TimerId promoteTimer = 0;
    std::chrono::milliseconds reconnectDelay = Constants::ReconnectDelay;
    std::vector<Internal::CallPointer> waiting;
    CallId nextCall = 1;
    int replaced = 0;
    bool silenceLogged = false;
    bool isDormant = false;
    Utils::TimePoint busySince;
    Utils::TimePoint lastUsed;
    Utils::TimePoint lastHeartbeat;

    auto connect() -> void;
    auto completeConnect() -> void;
    auto abortConnect() -> void;
    auto adopt(std::unique_ptr<Internal::ClientConnection> &slot) -> void;
    auto promote() -> void;
    auto closed(Internal::ClientConnection *connection) -> void;
    auto scheduleReconnect() -> void;
    auto beat() -> void;
    auto closeIfIdle(Utils::TimePoint now) -> void;
    auto watchSilence(Utils::Duration silence) -> void;
    auto sendWaiting() -> void;
    auto failWaiting() -> void;
};

auto LinkChannel::Private::connect() -> void
{
    if (isConnecting || candidate)
        return;
    const ACE_INET_Addr where(address.c_str());
    ACE_SOCK_Connector connector;
    const ACE_Time_Value immediately = ACE_Time_Value::zero;
    isConnecting = true;
    connectStarted = reactor->now();
    connecting = ACE_SOCK_Stream();
    const int result = connector.connect(connecting, where, &immediately);
    if (result != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
        abortConnect();
        return;
    }
    reactor->watch(connecting.get_handle(), {false, true},
                   [this](Net::Interest) { completeConnect(); });
}

auto LinkChannel::Private::completeConnect() -> void
{
    reactor->unwatch(connecting.get_handle());
    int error = 0;
    int length = sizeof error;
    connecting.get_option(SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        abortConnect();
        return;
    }
    isConnecting = false;
    adopt(candidate);
}

auto LinkChannel::Private::abortConnect() -> void
{
    reactor->unwatch(connecting.get_handle());
    connecting.close();
    isConnecting = false;
    if (!current)
        failWaiting();
    scheduleReconnect();
}

auto LinkChannel::Private::adopt(std::unique_ptr<Internal::ClientConnection> &slot) -> void
{
    auto holder = std::make_shared<Internal::ClientConnection *>(nullptr);
    slot = std::make_unique<Internal::ClientConnection>(
        *reactor, connecting, [this, holder] { closed(*holder); },
        [this] {
            promoteTimer = reactor->callAfter(Utils::Duration::zero(), [this] { promote(); });
        });
    *holder = slot.get();
}

auto LinkChannel::Private::promote() -> void
{
    if (!candidate || !candidate->isConfirmed())
        return;
    const auto old = std::move(current);
    current = std::move(candidate);
    reconnectDelay = Constants::ReconnectDelay;
    silenceLogged = false;
    sendWaiting();
    if (!old)
        return;
    ++replaced;
    old->abandonCalls();
}

auto LinkChannel::Private::closed(Internal::ClientConnection *connection) -> void
{
    if (connection == candidate.get()) {
        candidate.reset();
    } else if (connection == current.get()) {
        const auto old = std::move(current);
        old->abandonCalls();
    }
    if (!current && !candidate && !waiting.empty())
        scheduleReconnect();
    isDormant = !current && !candidate && waiting.empty();
}

auto LinkChannel::Private::scheduleReconnect() -> void
{
    if (reconnectTimer != 0)
        return;
    reconnectTimer = reactor->callAfter(reconnectDelay, [this] {
        reconnectTimer = 0;
        if (!current || silenceLogged)
            connect();
    });
    reconnectDelay = std::min(2 * reconnectDelay, Constants::LongestReconnectDelay);
}

auto LinkChannel::Private::beat() -> void
{
    heartbeatTimer = reactor->callAfter(Constants::HeartbeatPeriod, [this] { beat(); });
    const auto now = reactor->now();
    if (isConnecting && now - connectStarted > Constants::ConnectLimit)
        abortConnect();
    if (candidate && now - connectStarted > Constants::ConnectLimit) {
        candidate.reset();
        if (!current)
            failWaiting();
        scheduleReconnect();
    }
    if (!current)
        return;
    if (!current->hasCalls()) {
        closeIfIdle(now);
        return;
    }
    lastUsed = now;
    watchSilence(now - std::max(current->socket().lastReceived(), busySince));
    const bool isQuiet =
        current && now - current->socket().lastReceived() >= Constants::HeartbeatPeriod;
    if (!current || (!isQuiet && now - lastHeartbeat < Constants::KeepAlivePeriod))
        return;
    lastHeartbeat = now;
    current->socket().sendHeartbeat();
}

auto LinkChannel::Private::closeIfIdle(Utils::TimePoint now) -> void
{
    if (now - lastUsed < Constants::IdleLimit || !waiting.empty())
        return;
    current.reset();
    isDormant = true;
}

auto LinkChannel::Private::watchSilence(Utils::Duration silence) -> void
{
    if (silence < Constants::SilenceLimit) {
        silenceLogged = false;
        return;
    }
    if (!silenceLogged) {
        silenceLogged = true;
        Utils::logEvent(Utils::Event::LinkSilent, {{"peer", address}});
        connect();
    }
    if (silence < Constants::DeadLimit)
        return;
    const auto old = std::move(current);
    old->abandonCalls();
    scheduleReconnect();
}

auto LinkChannel::Private::sendWaiting() -> void
{
    const auto calls = std::move(waiting);
    waiting.clear();
    for (const auto &call : calls) {
        if (!current->submit(call, ownName, secret))
            call->onDone(LinkOutcome::NotSent);
    }
}

auto LinkChannel::Private::failWaiting() -> void
{
    const auto calls = std::move(waiting);
    waiting.clear();
    for (const auto &call : calls)
        call->onDone(LinkOutcome::NotSent);
}

LinkChannel::LinkChannel(Net::Reactor &reactor, const std::string &ownName,
                         const std::string &address, const std::string &secret)
    : d(std::make_unique<Private>())
{
    d->reactor = &reactor;
    d->ownName = ownName;
    d->address = address;
    d->secret = secret;
    d->lastUsed = reactor.now();
    d->connect();
    d->beat();
}

LinkChannel::~LinkChannel()
{
    d->reactor->cancel(d->reconnectTimer);
    d->reactor->cancel(d->heartbeatTimer);
    d->reactor->cancel(d->promoteTimer);
    if (d->isConnecting) {
        d->reactor->unwatch(d->connecting.get_handle());
        d->connecting.close();
    }
}

auto LinkChannel::call(const std::string &path, const std::string &body, MessageCallback onMessage,
                       DoneCallback onDone) -> CallId
{
    auto call = std::make_shared<Internal::ChannelCall>();
    call->id = d->nextCall++;
    call->path = path;
    call->body = body;
    call->onMessage = std::move(onMessage);
    call->onDone = std::move(onDone);
    const CallId id = call->id;
    d->lastUsed = d->reactor->now();
    if (d->isDormant) {
        d->isDormant = false;
        d->connect();
    }
    if (d->current && !d->current->hasCalls())
        d->busySince = d->lastUsed;
    if (!d->current && (d->isConnecting || d->candidate)) {
        d->waiting.push_back(std::move(call));
        return id;
    }
    if (!d->current || !d->current->submit(call, d->ownName, d->secret)) {
        d->reactor->callAfter(Utils::Duration::zero(),
                              [call] { call->onDone(LinkOutcome::NotSent); });
    }
    return id;
}

auto LinkChannel::cancel(CallId call) -> void
{
    const auto waits = [call](const auto &entry) { return entry->id == call; };
    d->waiting.erase(std::remove_if(d->waiting.begin(), d->waiting.end(), waits), d->waiting.end());
    if (d->current)
        d->current->cancel(call);
}

auto LinkChannel::isUp() const -> bool
{
    return d->current != nullptr;
}

auto LinkChannel::address() const -> const std::string &
{
    return d->address;
}

auto LinkChannel::replacedConnections() const -> int
{
    return d->replaced;
}

} // namespace Links
