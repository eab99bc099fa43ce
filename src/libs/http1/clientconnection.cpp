#include "clientconnection.h"

#include "http1constants.h"
#include "messagereader.h"

#include <net/reactor.h>

namespace Http1 {

struct ClientConnection::Private : std::enable_shared_from_this<ClientConnection::Private>
{
    std::unique_ptr<TcpStream> stream;
    std::unique_ptr<MessageReader> reader;
    CallEvents events;
    std::function<void()> idleEndCallback;
    bool inCall = false;
    bool reusable = true;
    bool skipping = false;
    int skippedAnswers = 0; ///< In the current call.
    size_t skippedBytes = 0;
    bool hasAnswerBytes = false;
    bool hasSentEarlierCall = false;

    auto start() -> void
    {
        MessageReader::Events readerEvents;
        readerEvents.onResponse = [this](const ResponseHead &head, Framing framing) {
            constexpr int firstFinalStatus = 200;
            skipping = head.status < firstFinalStatus || !inCall || !events.onHead(head, framing);
            // A skipped answer shows that this peer sends late or unsolicited answers, so the
            // connection must not be used for another call.
            if (!head.keepAlive || framing == Framing::UntilClose
                || (skipping && head.status >= firstFinalStatus))
                reusable = false;
        };
        readerEvents.onBody = [this](std::string_view data) {
            if (skipping)
                skippedBytes += data.size();
            else if (inCall)
                events.onBody(data);
        };
        readerEvents.onComplete = [] {};
        reader = std::make_unique<MessageReader>(MessageKind::Response, MessageLimits(),
                                                 std::move(readerEvents));
        stream->setEvents({[this](std::string_view data) { handleData(data); },
                           [this](StreamEnd how) { handleEnd(how); },
                           [this] { return !events.maySend || events.maySend(); }});
    }

    auto handleData(std::string_view data) -> void
    {
        const auto keep = shared_from_this();
        while (!data.empty() && stream) {
            if (!inCall)
                return endIdle();
            hasAnswerBytes = true;
            data.remove_prefix(reader->feed(data));
            if (!inCall)
                return; // The owner abandoned the call from a callback.
            if (reader->error() != ReadError::None || skippedBytes > Constants::MaxSkippedBytes)
                return endCall(CallEnd::Broken);
            if (!reader->isComplete())
                continue;
            reader->reset();
            if (skipping && ++skippedAnswers > Constants::MaxSkippedAnswers)
                return endCall(CallEnd::Broken);
            if (!skipping) {
                // If the request has not been sent completely, the server would take the next
                // call's bytes for the rest of it.
                if (!data.empty() || stream->unsentBytes() > 0)
                    reusable = false;
                return endCall(CallEnd::Complete);
            }
        }
    }

    auto handleEnd(StreamEnd how) -> void
    {
        const auto keep = shared_from_this();
        reusable = false;
        if (!inCall)
            return endIdle();
        if (how == StreamEnd::Finished && reader->headIsComplete() && !skipping) {
            reader->finish();
            if (reader->isComplete())
                return endCall(CallEnd::Complete);
        }
        if (hasAnswerBytes)
            return endCall(CallEnd::Broken);
        endCall(stream->hasSent() || hasSentEarlierCall ? CallEnd::Lost : CallEnd::NotSent);
    }

    auto endCall(CallEnd how) -> void
    {
        if (how != CallEnd::Complete)
            reusable = false;
        inCall = false;
        if (stream)
            stream->resumeReading();
        const auto onEnd = std::move(events.onEnd);
        events = {};
        onEnd(how);
    }

    auto endIdle() -> void
    {
        reusable = false;
        const auto callback = std::move(idleEndCallback);
        idleEndCallback = nullptr;
        if (callback)
            callback();
    }
};

ClientConnection::ClientConnection(std::shared_ptr<Private> data)
    : d(std::move(data))
{ }

ClientConnection::~ClientConnection()
{
    d->inCall = false;
    d->events = {};
    d->idleEndCallback = nullptr;
    d->stream.reset();
}

auto ClientConnection::connect(Net::Reactor &reactor, const SocketAddress &peer)
    -> Utils::Result<std::unique_ptr<ClientConnection>, std::string>
{
    auto stream = TcpStream::connect(reactor, peer);
    if (!stream)
        return tl::unexpected(stream.error());
    auto data = std::make_shared<Private>();
    data->stream = std::move(*stream);
    data->start();
    return std::unique_ptr<ClientConnection>(new ClientConnection(std::move(data)));
}

auto ClientConnection::call(std::string request, CallEvents events) -> void
{
    d->events = std::move(events);
    d->inCall = true;
    d->skipping = false;
    d->skippedAnswers = 0;
    d->skippedBytes = 0;
    d->hasAnswerBytes = false;
    d->hasSentEarlierCall = d->stream->hasSent();
    d->stream->writeWhole(std::move(request));
}

auto ClientConnection::pauseReading() -> void
{
    if (d->stream)
        d->stream->pauseReading();
}

auto ClientConnection::resumeReading() -> void
{
    if (d->stream)
        d->stream->resumeReading();
}

auto ClientConnection::abandon() -> void
{
    d->inCall = false;
    d->reusable = false;
    d->events = {};
    d->idleEndCallback = nullptr;
}

auto ClientConnection::closeNow() -> void
{
    d->reusable = false;
    if (d->stream)
        d->stream->closeNow();
}

auto ClientConnection::setResetsOnClose() -> void
{
    if (d->stream)
        d->stream->setResetsOnClose();
}

auto ClientConnection::setAcknowledgementTimeout(std::chrono::milliseconds timeout) -> void
{
    if (d->stream)
        d->stream->setAcknowledgementTimeout(timeout);
}

auto ClientConnection::isReusable() const -> bool
{
    return d->reusable && !d->inCall && d->stream;
}

auto ClientConnection::isConnected() const -> bool
{
    return d->stream && d->stream->isConnected();
}

auto ClientConnection::wasUsedBefore() const -> bool
{
    return d->hasSentEarlierCall;
}

auto ClientConnection::hasSent() const -> bool
{
    return d->stream && (d->stream->hasSent() || d->hasSentEarlierCall);
}

auto ClientConnection::onIdleEnd(std::function<void()> callback) -> void
{
    d->idleEndCallback = std::move(callback);
}

} // namespace Http1
