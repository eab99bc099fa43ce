#include "serverconnection.h"

#include "http1constants.h"
#include "tcpstream.h"

#include <net/reactor.h>

namespace Http1 {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusRequestTimeout = 408;
constexpr int StatusContentTooLarge = 413;
constexpr int StatusFieldsTooLarge = 431;
constexpr int StatusUnavailable = 503;

auto statusOf(ReadError error) -> int
{
    switch (error) {
    case ReadError::HeadTooLarge:
        return StatusFieldsTooLarge;
    case ReadError::BodyTooLarge:
        return StatusContentTooLarge;
    case ReadError::None:
    case ReadError::Malformed:
    case ReadError::Truncated:
        break;
    }
    return StatusBadRequest;
}

auto isSizeError(ReadError error) -> bool
{
    return error == ReadError::HeadTooLarge || error == ReadError::BodyTooLarge;
}

} // namespace

struct ServerConnection::Private : std::enable_shared_from_this<ServerConnection::Private>
{
    Net::Reactor *reactor = nullptr;
    std::unique_ptr<TcpStream> stream;
    std::unique_ptr<MessageReader> reader;
    Events events;
    RequestHead head;
    std::string body;
    std::string pending; ///< Bytes received after the open request.
    bool answering = false;
    bool closesAfterAnswer = false;
    bool chunked = false;
    bool processing = false;
    bool isSending = false; ///< The rest of the last answer, after the end of the connection's use.
    Net::Reactor::TimerId timer = 0;

    auto start() -> void
    {
        stream->setEvents({[this](std::string_view data) { handleData(data); },
                           [this](StreamEnd) { handleEnd(); }});
        awaitRequest();
    }

    auto awaitRequest() -> void
    {
        makeReader();
        body.clear();
        setTimer(events.limits().idleTimeout, [this] { closeIdle(); });
    }

    auto makeReader() -> void
    {
        const ServerLimits limits = events.limits();
        MessageReader::Events readerEvents;
        readerEvents.onRequest = [this](const RequestHead &received) { head = received; };
        readerEvents.onBody = [this](std::string_view data) { body += data; };
        readerEvents.onComplete = [] {};
        reader = std::make_unique<MessageReader>(MessageKind::Request, limits.message,
                                                 std::move(readerEvents));
    }

    auto setTimer(Utils::Duration delay, std::function<void()> action) -> void
    {
        reactor->cancel(timer);
        timer = reactor->callAfter(delay, [self = shared_from_this(), action = std::move(action)] {
            if (self->stream)
                action();
        });
    }

    auto handleData(std::string_view data) -> void
    {
        const auto keep = shared_from_this();
        pending += data;
        if (pending.size() > Constants::MaxUnsentBytes)
            return handleEnd();
        process();
    }

    /// Parses the received bytes until a request is complete.
    auto process() -> void
    {
        if (processing)
            return;
        processing = true;
        while (stream && !answering && !pending.empty()) {
            if (!reader->hasBegun()) {
                // The limits may have changed while the connection was idle.
                makeReader();
                setTimer(events.limits().headTimeout,
                         [this] { rejectRequest(StatusRequestTimeout); });
            }
            pending.erase(0, reader->feed(pending));
            if (reader->error() != ReadError::None) {
                rejectRequest(isSizeError(reader->error()) && !events.limits().sizesAreConfirmed
                                  ? StatusUnavailable
                                  : statusOf(reader->error()));
                break;
            }
            if (!reader->isComplete())
                continue;
            reactor->cancel(timer);
            answering = true;
            events.onRequest(head, std::move(body));
        }
        processing = false;
    }

    /// Answers a request that is invalid, too large or too slow, and ends the connection.
    auto rejectRequest(int status) -> void
    {
        stream->write(formatResponseHead(status, {}, Framing::Length, 0, false));
        close();
    }

    auto handleEnd() -> void
    {
        const auto keep = shared_from_this();
        const bool wasAnswering = answering;
        answering = false;
        const auto onClientDisconnected = wasAnswering ? events.onClientDisconnected : nullptr;
        if (onClientDisconnected)
            onClientDisconnected();
        close();
    }

    auto finishAnswer() -> void
    {
        answering = false;
        if (closesAfterAnswer || !head.keepAlive)
            return close();
        awaitRequest();
        if (!pending.empty() && !processing)
            process();
    }

    /// Closes the connection unless a request has arrived. A request that crosses this is not read:
    /// the client is to see that, as it may then repeat it.
    auto closeIdle() -> void
    {
        if (stream->hasUnreadBytes())
            return;
        if (stream->unsentBytes() == 0)
            stream->closeNow();
        close();
    }

    auto close() -> void
    {
        const auto keep = shared_from_this();
        reactor->cancel(timer);
        if (!stream)
            return;
        isSending = true;
        const auto closing = std::move(stream);
        closing->closeGracefully([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->handleSent();
        });
    }

    auto handleSent() -> void
    {
        isSending = false;
        const auto onClosed = std::move(events.onClosed);
        if (onClosed)
            onClosed();
    }
};

ServerConnection::ServerConnection(Net::Reactor &reactor, std::unique_ptr<TcpStream> stream,
                                   Events events)
    : d(std::make_shared<Private>())
{
    d->reactor = &reactor;
    d->stream = std::move(stream);
    d->events = std::move(events);
    d->start();
}

ServerConnection::~ServerConnection()
{
    d->reactor->cancel(d->timer);
    d->events = {};
    d->stream.reset();
}

auto ServerConnection::respond(int status, const Fields &fields, std::string_view body) -> void
{
    if (!d->stream || !d->answering)
        return;
    const auto keep = d;
    std::string text = formatResponseHead(status, fields, Framing::Length, body.size(),
                                          !d->closesAfterAnswer && d->head.keepAlive);
    text += body;
    d->stream->write(text);
    d->finishAnswer();
}

auto ServerConnection::begin(int status, const Fields &fields) -> void
{
    if (!d->stream || !d->answering)
        return;
    d->chunked = d->head.supportsChunked;
    if (!d->chunked)
        d->closesAfterAnswer = true;
    d->stream->write(formatResponseHead(status, fields,
                                        d->chunked ? Framing::Chunked : Framing::UntilClose, 0,
                                        !d->closesAfterAnswer && d->head.keepAlive));
}

auto ServerConnection::write(std::string_view data) -> void
{
    if (!d->stream || !d->answering || data.empty())
        return;
    if (d->chunked)
        d->stream->write(formatChunk(data));
    else
        d->stream->write(data);
}

auto ServerConnection::finish() -> void
{
    if (!d->stream || !d->answering)
        return;
    const auto keep = d;
    if (d->chunked)
        d->stream->write(lastChunk);
    d->finishAnswer();
}

auto ServerConnection::abort() -> void
{
    const auto keep = d;
    d->answering = false;
    // Without chunks, an orderly close would mark the end of the body, so that it looked complete.
    if (d->stream && !d->chunked)
        d->stream->reset();
    d->close();
}

auto ServerConnection::clientHasDisconnected() const -> bool
{
    return !d->stream || d->stream->peerHasClosed();
}

auto ServerConnection::isReceivingRequest() const -> bool
{
    return d->stream && !d->answering && (d->reader->hasBegun() || !d->pending.empty());
}

auto ServerConnection::isSendingLastAnswer() const -> bool
{
    return d->isSending;
}

auto ServerConnection::closeAfterAnswer() -> void
{
    d->closesAfterAnswer = true;
    if (d->stream && !d->answering && !isReceivingRequest())
        d->closeIdle();
}

auto ServerConnection::closeAfterNextAnswer() -> void
{
    d->closesAfterAnswer = true;
}

} // namespace Http1
