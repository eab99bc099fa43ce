#include "linkchannel.h"

#include "clientconnection.h"
#include "linksconstants.h"

#include <utils/eventlog.h>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>

#include <algorithm>
#include <map>
#include <vector>

namespace Links {

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
    std::vector<Internal::CallPointer> pendingCalls;
    CallId nextCall = 1;
    int replacedCount = 0;
    bool silenceLogged = false;
    bool isDormant = false;
    Utils::TimePoint busySince;
    Utils::TimePoint lastUsed;
    Utils::TimePoint lastHeartbeat;

    auto connect() -> void;
    auto completeConnect() -> void;
    auto abortConnect() -> void;
    auto createConnection(std::unique_ptr<Internal::ClientConnection> &target) -> void;
    auto promoteCandidate() -> void;
    auto handleClosed(Internal::ClientConnection *connection) -> void;
    auto scheduleReconnect() -> void;
    auto checkHeartbeat() -> void;
    auto closeIfIdle(Utils::TimePoint now) -> void;
    auto checkSilence(Utils::Duration silence) -> void;
    auto sendPendingCalls() -> void;
    auto failPendingCalls() -> void;
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
    createConnection(candidate);
}

auto LinkChannel::Private::abortConnect() -> void
{
    reactor->unwatch(connecting.get_handle());
    connecting.close();
    isConnecting = false;
    if (!current)
        failPendingCalls();
    scheduleReconnect();
}

auto LinkChannel::Private::createConnection(std::unique_ptr<Internal::ClientConnection> &target)
    -> void
{
    auto created = std::make_shared<Internal::ClientConnection *>(nullptr);
    target = std::make_unique<Internal::ClientConnection>(
        *reactor, connecting, [this, created] { handleClosed(*created); },
        [this] {
            promoteTimer =
                reactor->callAfter(Utils::Duration::zero(), [this] { promoteCandidate(); });
        });
    *created = target.get();
}

auto LinkChannel::Private::promoteCandidate() -> void
{
    if (!candidate || !candidate->isConfirmed())
        return;
    const auto old = std::move(current);
    current = std::move(candidate);
    reconnectDelay = Constants::ReconnectDelay;
    silenceLogged = false;
    sendPendingCalls();
    if (!old)
        return;
    ++replacedCount;
    old->abandonCalls();
}

auto LinkChannel::Private::handleClosed(Internal::ClientConnection *connection) -> void
{
    if (connection == candidate.get()) {
        candidate.reset();
    } else if (connection == current.get()) {
        const auto old = std::move(current);
        old->abandonCalls();
    }
    if (!current && !candidate && !pendingCalls.empty())
        scheduleReconnect();
    isDormant = !current && !candidate && pendingCalls.empty();
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
    reconnectDelay = std::min(2 * reconnectDelay, Constants::MaxReconnectDelay);
}

auto LinkChannel::Private::checkHeartbeat() -> void
{
    heartbeatTimer = reactor->callAfter(Constants::HeartbeatInterval, [this] { checkHeartbeat(); });
    const auto now = reactor->now();
    if (isConnecting && now - connectStarted > Constants::ConnectTimeout)
        abortConnect();
    if (candidate && now - connectStarted > Constants::ConnectTimeout) {
        candidate.reset();
        if (!current)
            failPendingCalls();
        scheduleReconnect();
    }
    if (!current)
        return;
    if (!current->hasCalls()) {
        closeIfIdle(now);
        return;
    }
    lastUsed = now;
    checkSilence(now - std::max(current->socket().lastReceived(), busySince));
    const bool isQuiet =
        current && now - current->socket().lastReceived() >= Constants::HeartbeatInterval;
    if (!current || (!isQuiet && now - lastHeartbeat < Constants::KeepAliveInterval))
        return;
    lastHeartbeat = now;
    current->socket().sendHeartbeat();
}

auto LinkChannel::Private::closeIfIdle(Utils::TimePoint now) -> void
{
    if (now - lastUsed < Constants::IdleTimeout || !pendingCalls.empty())
        return;
    current.reset();
    isDormant = true;
}

auto LinkChannel::Private::checkSilence(Utils::Duration silence) -> void
{
    if (silence < Constants::SilenceTimeout) {
        silenceLogged = false;
        return;
    }
    if (!silenceLogged) {
        silenceLogged = true;
        Utils::logEvent(Utils::Event::LinkSilent, {{"peer", address}});
        connect();
    }
    if (silence < Constants::DeadTimeout)
        return;
    const auto old = std::move(current);
    old->abandonCalls();
    scheduleReconnect();
}

auto LinkChannel::Private::sendPendingCalls() -> void
{
    const auto calls = std::move(pendingCalls);
    pendingCalls.clear();
    for (const auto &call : calls) {
        if (!current->submit(call, ownName, secret))
            call->onDone(LinkOutcome::NotSent);
    }
}

auto LinkChannel::Private::failPendingCalls() -> void
{
    const auto calls = std::move(pendingCalls);
    pendingCalls.clear();
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
    d->checkHeartbeat();
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
        d->pendingCalls.push_back(std::move(call));
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
    const auto matches = [call](const auto &entry) { return entry->id == call; };
    d->pendingCalls.erase(std::remove_if(d->pendingCalls.begin(), d->pendingCalls.end(), matches),
                          d->pendingCalls.end());
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
    return d->replacedCount;
}

} // namespace Links
