#include "serverconnection.h"

#include "http1constants.h"
#include "rejection.h"
#include "tcpstream.h"

#include <net/reactor.h>
#include <resources/loadshedder.h>

#include <algorithm>

namespace Http1 {

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
    bool isDelayed = false; ///< The next request was sent ahead.
    bool isSending = false; ///< The rest of the last answer, after the end of the connection's use.
    Net::Reactor::TimerId timer = 0;

    std::optional<Resources::LoadShedder::Id> account;
    Resources::ConnectionUse use;
    size_t bodyInUse = 0; ///< Size of the body that the owner of the open request holds.
    size_t headMemory = 0; ///< Of the open request's fields.
    size_t heldAnswer = 0; ///< See `noteHeldAnswer`.
    bool keepsBody = true;

    auto start() -> void
    {
        stream->setEvents({[this](std::string_view data) { handleData(data); },
                           [this](StreamEnd) { handleEnd(); }, nullptr,
                           [this] { handleProgress(); }});
        use.since = use.readAt = reactor->now();
        openAccount();
        awaitRequest();
    }

    auto openAccount() -> void
    {
        if (!events.shedder)
            return;
        events.shedder->makeRoom(use.since);
        account = events.shedder->add(use.since, [weak = weak_from_this()](auto reason) {
            if (const auto self = weak.lock())
                self->shed(reason);
        });
        // Deferred, as the owner is about to store this connection.
        reactor->callAfter(Utils::Duration::zero(),
                           [shedder = events.shedder, r = reactor] { shedder->relieve(r->now()); });
    }

    auto awaitRequest() -> void
    {
        makeReader();
        std::string().swap(body);
        head = {};
        headMemory = 0;
        bodyInUse = 0;
        heldAnswer = 0;
        use.isRouted = true;
        keepsBody = true;
        enter(Resources::Stage::Idle);
        setTimer(events.limits().idleTimeout, [this] { closeIdle(); });
    }

    auto makeReader() -> void
    {
        const ServerLimits limits = events.limits();
        MessageReader::Events readerEvents;
        readerEvents.onRequest = [this](const RequestHead &received) { handleHead(received); };
        readerEvents.onBody = [this](std::string_view data) {
            if (keepsBody)
                appendBody(data);
        };
        readerEvents.onComplete = [] {};
        reader = std::make_unique<MessageReader>(MessageKind::Request, limits.message,
                                                 std::move(readerEvents));
    }

    auto handleHead(const RequestHead &received) -> void
    {
        head = received;
        headMemory = head.fields.memoryBytes();
    }

    /// Called for requests whose body is not complete with the first bytes.
    auto planBody() -> void
    {
        const BodyPlan plan =
            events.planBody ? events.planBody(head) : BodyPlan{events.limits().headTimeout};
        keepsBody = plan.isKept;
        if (!keepsBody)
            std::string().swap(body);
        use.isRouted = plan.isRouted;
        enter(Resources::Stage::Body);
        setTimer(std::min<Utils::Duration>(plan.timeout, Constants::MaxBodyTime),
                 [this] { rejectRequest(StatusRequestTimeout); });
    }

    auto appendBody(std::string_view data) -> void
    {
        // Pages that aren't written yet take no memory.
        const size_t expected = reader->expectedBodyBytes();
        if (body.size() + data.size() > Constants::BodyReserveBytes && expected > body.capacity())
            body.reserve(expected);
        body += data;
    }

    auto enter(Resources::Stage stage) -> void
    {
        use.stage = stage;
        use.since = reactor->now();
        noteUse();
    }

    /// Tells the shedder what the connection uses.
    auto noteUse() -> void
    {
        if (!account || !stream)
            return;
        // The request is formatted for the server while the original is kept.
        const size_t copies = answering ? 2 : 1;
        use.requestBytes = (body.size() + headMemory + bodyInUse) * copies + reader->headBytes();
        use.pipelinedBytes = pending.size();
        if (pending.size() > Constants::MaxPipelinedBytes)
            use.pipelinedBytes += Constants::ReceiveBufferBytes;
        // The client can't take what it hasn't been sent.
        if (stream->unsentBytes() == 0)
            use.readAt = reactor->now();
        use.answerBytes = stream->unsentBytes() + heldAnswer;
        events.shedder->update(*account, use);
    }

    auto handleProgress() -> void
    {
        const auto keep = shared_from_this();
        use.readAt = reactor->now();
        noteUse();
        if (!answering)
            process();
    }

    /// Gives the connection up. A complete request runs already, so it gets no refusal.
    auto shed(Resources::ShedReason reason) -> void
    {
        const auto keep = shared_from_this();
        if (!stream)
            return;
        if (reason == Resources::ShedReason::Memory && use.stage == Resources::Stage::Body)
            return rejectRequest(StatusUnavailable);
        stream->setResetsOnClose();
        stream->closeNow();
        handleEnd();
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
        process();
        noteUse();
        if (stream && pending.size() > Constants::MaxPipelinedBytes)
            stream->pauseReading();
        if (events.shedder)
            events.shedder->relieve(reactor->now());
    }

    /// Answers to requests that the client sent ahead wait until it has read the earlier ones.
    auto mayReadRequest() const -> bool
    {
        return stream && !answering && !isDelayed
            && stream->unsentBytes() < Constants::MaxUnreadAnswerBytes;
    }

    /// Parses the received bytes until a request is complete.
    auto process() -> void
    {
        if (processing)
            return;
        processing = true;
        while (mayReadRequest() && !pending.empty()) {
            if (!reader->hasBegun()) {
                // The limits may have changed while the connection was idle.
                makeReader();
                enter(Resources::Stage::Head);
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
            if (!reader->isComplete()) {
                if (reader->headIsComplete() && use.stage == Resources::Stage::Head)
                    planBody();
                continue;
            }
            startRequest();
            break;
        }
        processing = false;
        if (pending.empty())
            std::string().swap(pending);
        if (mayReadRequest())
            stream->resumeReading();
    }

    auto startRequest() -> void
    {
        reactor->cancel(timer);
        answering = true;
        bodyInUse = body.size();
        std::string received = std::move(body);
        std::string().swap(body);
        use.hasServed = true;
        enter(Resources::Stage::Running);
        if (account && !events.shedder->mayRun(*account))
            return rejectRequest(StatusUnavailable);
        // The fields are the owner's from here on.
        const RequestHead request = std::move(head);
        head = {};
        head.keepAlive = request.keepAlive;
        head.supportsChunked = request.supportsChunked;
        events.onRequest(request, std::move(received));
    }

    /// Answers a request that is invalid, too large or too slow, and ends the connection.
    auto rejectRequest(int status) -> void
    {
        Fields fields;
        if (status == StatusUnavailable)
            fields.add("Retry-After", Constants::ShedRetryAfter);
        stream->write(formatResponseHead(status, fields, Framing::Length, 0, false));
        answering = false;
        std::string().swap(body);
        std::string().swap(pending);
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
        if (pending.empty())
            return;
        // Otherwise this client's next request would always take the server that has just become
        // free, before those of other clients that wait for it.
        isDelayed = true;
        reactor->callAfter(Constants::PipelineDelay, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self)
                return;
            self->isDelayed = false;
            self->process();
        });
    }

    /// Closes the connection unless a request has arrived. A request that crosses this is not read:
    /// the client is to see that, as it may then repeat it.
    auto closeIdle() -> void
    {
        const bool isBlocked = stream->unsentBytes() >= Constants::MaxUnreadAnswerBytes;
        if (stream->hasUnreadBytes() && !isBlocked)
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
        if (account)
            events.shedder->remove(*account);
        account.reset();
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
    if (d->account)
        d->events.shedder->remove(*d->account);
    d->account.reset();
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
    d->use.readAt = d->reactor->now();
    d->stream->writeWhole(std::move(text));
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
    d->noteUse();
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

auto ServerConnection::noteHeldAnswer(size_t bytes) -> void
{
    d->heldAnswer = bytes;
    d->noteUse();
}

auto ServerConnection::hasRoomForAnswer() const -> bool
{
    if (!d->stream || !d->account)
        return true;
    d->events.shedder->relieve(d->reactor->now());
    return !d->stream
        || (d->stream->unsentBytes() < Constants::MaxUnreadAnswerBytes
            && d->events.shedder->mayGrow(*d->account));
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
