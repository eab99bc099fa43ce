#include "soakcaller.h"

#include "invariantchecker.h"
#include "streamevents.h"

#include <http1/clientconnection.h>
#include <net/reactor.h>

namespace Soak {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds RequestTimeout(1400);
/// The caller gives up this long after the request's timeout; it is later than any gateway may
/// answer.
constexpr milliseconds ExtraWait(1600);
/// Timeout of a resumable stream over all tries, if its caller takes it up.
constexpr milliseconds StreamTimeout(8000);
constexpr int MaxNextTries = 3;
constexpr int MinNextTryPauseMs = 50;
constexpr int NextTryPauseSpreadMs = 1200;
/// No further try is planned with less time left.
constexpr milliseconds MinTimeLeft(2000);
/// Bound from the platform's documentation: callers leave a stream that pauses for this time.
constexpr milliseconds MaxSilence(2000);
constexpr int OtherGatewayPercent = 80;
/// Share of the resumable streams during which the caller's own link fails, and when.
constexpr int LostLinkPercent = 30;
constexpr int MinLinkTimeMs = 150;
constexpr int LinkTimeSpreadMs = 600;
constexpr int MaxPauseMs = 150;
constexpr int BurstPauseMs = 20;
constexpr int ProbePercent = 25;
constexpr int ForbiddenPercent = 5;
constexpr int LeavingPercent = 3;
constexpr int NewConnectionPercent = 10;
constexpr int TokensEachWay = 10;
constexpr int CrashingPartPercent = 3;

/// The engine that signed the answer; empty if none did.
auto serverOf(const Http1::Fields &fields) -> std::string
{
    constexpr std::string_view prefix = "stamp-";
    const auto stamp = fields.value("Server-Stamp").value_or("");
    return std::string(stamp.substr(std::min(prefix.size(), stamp.size())));
}

} // namespace

SoakCaller::SoakCaller(Environment surroundings, int number, std::uint64_t seed)
    : m_environment(std::move(surroundings))
    , m_number(number)
    , m_random(seed)
{ }

SoakCaller::~SoakCaller() = default;

auto SoakCaller::start() -> void
{
    scheduleNext();
}

auto SoakCaller::stop() -> void
{
    m_isStopped = true;
}

auto SoakCaller::isIdle() const -> bool
{
    return m_openId.empty();
}

auto SoakCaller::chance(int percent) -> bool
{
    constexpr int all = 100;
    return static_cast<int>(m_random() % all) < percent;
}

auto SoakCaller::scheduleNext() -> void
{
    if (m_hasNextTry)
        return scheduleAfter(milliseconds(MinNextTryPauseMs + m_random() % NextTryPauseSpreadMs));
    const int maxPauseMs = m_environment.isBurstActive() ? BurstPauseMs : MaxPauseMs;
    scheduleAfter(milliseconds(1 + m_random() % maxPauseMs));
}

auto SoakCaller::scheduleAfter(milliseconds pause) -> void
{
    m_environment.reactor.callAfter(pause, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->m_isStopped)
            self->sendNext();
    });
}

auto SoakCaller::makeAttempt() -> Attempt
{
    Attempt attempt;
    attempt.id = std::to_string(m_number) + '-' + std::to_string(++m_count);
    attempt.timeout = RequestTimeout;
    attempt.tokens = 2 * TokensEachWay;
    constexpr int kinds = 5;
    switch (m_random() % kinds) {
    case 0:
        attempt.kind = RequestKind::Repeatable;
        attempt.target = "/look/" + attempt.id;
        break;
    case 1:
        attempt.kind = RequestKind::AtMostOnce;
        attempt.target = "/file/" + attempt.id;
        break;
    case 2:
        attempt.kind = RequestKind::Stream;
        attempt.target = "/draft/" + attempt.id;
        break;
    case 3:
        attempt.kind = RequestKind::ResumableStream;
        attempt.target = "/batch/" + attempt.id;
        if (m_environment.takesStreamsUp)
            attempt.timeout = StreamTimeout;
        break;
    default:
        attempt.kind = RequestKind::Repeatable;
        attempt.target = "/extra/" + attempt.id;
        break;
    }
    attempt.route = attempt.target.substr(0, attempt.target.find('/', 1) + 1);
    const bool hasPrompt =
        attempt.kind == RequestKind::Stream || attempt.kind == RequestKind::ResumableStream;
    attempt.hasCrashingPart =
        hasPrompt && m_environment.sendsCrashingParts && chance(CrashingPartPercent);
    // One customer exceeds its quota, and one key is withdrawn during the soak.
    constexpr int greedy = 4;
    constexpr int withdrawn = 9;
    if (m_number % greedy == 0) {
        attempt.key = "key-island";
        attempt.customer = "island";
    } else {
        attempt.key = m_number % withdrawn == 1 ? "key-withdrawn" : "key-county";
        attempt.customer = "county";
    }
    return attempt;
}

auto SoakCaller::makeProbe() -> Attempt
{
    Attempt attempt;
    attempt.id = std::to_string(m_number) + '-' + std::to_string(++m_count);
    attempt.timeout = RequestTimeout;
    attempt.tokens = 2 * TokensEachWay;
    attempt.route = "/look/";
    attempt.key = "key-county";
    attempt.customer = "county";
    const std::string name = m_environment.checker.history().pick(m_random);
    attempt.isForbidden = chance(ForbiddenPercent);
    if (attempt.isForbidden && m_random() % 2 == 0)
        attempt.key = "key-never";
    else if (attempt.isForbidden)
        attempt.route = "/never/";
    else
        (ConfigurationHistory::isRoute(name) ? attempt.route : attempt.key) = name;
    attempt.target = attempt.route + attempt.id;
    return attempt;
}

auto SoakCaller::makeNextTry() -> Attempt
{
    Attempt attempt = m_attempt;
    attempt.id = std::to_string(m_number) + '-' + std::to_string(++m_count);
    attempt.timeout =
        std::chrono::duration_cast<milliseconds>(m_deadline - m_environment.reactor.now());
    return attempt;
}

auto SoakCaller::connect(bool isNextTry) -> bool
{
    disconnect();
    auto [gateway, address] = m_environment.pickGateway(m_random);
    constexpr int maxPicks = 4;
    if (isNextTry && chance(OtherGatewayPercent)) {
        for (int i = 0; i < maxPicks && gateway == m_gateway; ++i)
            std::tie(gateway, address) = m_environment.pickGateway(m_random);
    }
    auto connection = Http1::ClientConnection::connect(m_environment.reactor, address);
    if (!connection)
        return false;
    m_connection = std::move(*connection);
    m_gateway = gateway;
    return true;
}

auto SoakCaller::sendNext() -> void
{
    const bool isNextTry = m_hasNextTry;
    m_hasNextTry = false;
    if (isNextTry || !m_connection || !m_connection->isReusable() || chance(NewConnectionPercent)) {
        if (!connect(isNextTry))
            return scheduleNext();
    }
    const bool isProbe = !isNextTry && m_environment.probesChanges && chance(ProbePercent);
    m_attempt = isNextTry ? makeNextTry() : isProbe ? makeProbe() : makeAttempt();
    m_attempt.gateway = m_gateway;
    m_attempt.sentAt = m_environment.reactor.now();
    if (!isNextTry) {
        m_tries = 0;
        m_deadline = m_attempt.sentAt + m_attempt.timeout;
    }
    m_environment.checker.noteSent(m_attempt);
    send(m_attempt);
}

auto SoakCaller::send(const Attempt &attempt) -> void
{
    m_openId = attempt.id;
    m_end = {};
    m_closesConnection = false;
    constexpr int models = 5;
    constexpr int adapters = 3;
    const bool usesModel =
        attempt.kind == RequestKind::Stream || attempt.kind == RequestKind::ResumableStream;
    if (usesModel && attempt.model.empty()) {
        m_attempt.model = 'm' + std::to_string(1 + m_random() % models);
        if (chance(20))
            m_attempt.model += "/a" + std::to_string(1 + m_random() % adapters);
    }
    std::string fields;
    if (usesModel)
        fields = "Model: " + m_attempt.model + "\r\n";
    if (usesModel && m_environment.sendsCrashingParts)
        fields += std::string("Prompt-Prefix: f1:4,")
            + (attempt.hasCrashingPart ? std::string(CrashingPart) + ":3," : "") + 'u'
            + std::to_string(m_number) + ":3\r\n";
    if (attempt.lastEvent > 0)
        fields += "Last-Event-Id: " + std::to_string(attempt.lastEvent)
            + "\r\nResumes: " + attempt.resumedAttempt + "\r\n";
    const std::string tokens = std::to_string(TokensEachWay);
    const std::string text = "POST " + attempt.target
        + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + attempt.id + "\r\nAuthorization: Bearer "
        + attempt.key + "\r\nDeadline-Ms: " + std::to_string(attempt.timeout.count()) + "\r\n"
        + fields + "Token-Count: " + tokens + ',' + tokens + "\r\nContent-Length: 4\r\n\r\nbody";
    const auto weak = weak_from_this();
    const std::string id = attempt.id;
    m_connection->call(text,
                       {[this](const Http1::ResponseHead &head, Http1::Framing) {
                            m_end.status = head.status;
                            m_end.isSigned = head.fields.has("Server-Stamp");
                            m_end.server = serverOf(head.fields);
                            m_closesConnection = !head.keepAlive;
                            return true;
                        },
                        [this](std::string_view data) {
                            m_end.body += data;
                            m_lastDataAt = m_environment.reactor.now();
                        },
                        [weak, id](Http1::CallEnd how) {
                            if (const auto self = weak.lock())
                                self->handleEnd(id, how == Http1::CallEnd::Complete);
                        }});
    const bool leavesEarly = chance(LeavingPercent);
    const milliseconds wait =
        leavesEarly ? milliseconds(1 + m_random() % MaxPauseMs) : attempt.timeout + ExtraWait;
    m_environment.reactor.callAfter(wait, [weak, id, leavesEarly] {
        if (const auto self = weak.lock())
            self->abandon(id, leavesEarly);
    });
    m_lastDataAt = attempt.sentAt;
    if (m_environment.takesStreamsUp && usesModel)
        watchForSilence(id);
    if (m_environment.takesStreamsUp && attempt.kind == RequestKind::ResumableStream
        && chance(LostLinkPercent))
        m_environment.reactor.callAfter(milliseconds(MinLinkTimeMs + m_random() % LinkTimeSpreadMs),
                                        [weak, id] {
                                            if (const auto self = weak.lock())
                                                self->loseLink(id);
                                        });
}

auto SoakCaller::loseLink(const std::string &id) -> void
{
    if (m_openId != id)
        return;
    m_end.lostLink = true;
    abandon(id, true);
}

auto SoakCaller::watchForSilence(const std::string &id) -> void
{
    if (m_openId != id)
        return;
    const auto now = m_environment.reactor.now();
    if (now - m_lastDataAt >= MaxSilence) {
        m_end.wasSilent = true;
        return abandon(id, true);
    }
    m_environment.reactor.callAfter(m_lastDataAt + MaxSilence - now, [weak = weak_from_this(), id] {
        if (const auto self = weak.lock())
            self->watchForSilence(id);
    });
}

auto SoakCaller::planNextTry() -> void
{
    if (!m_environment.takesStreamsUp || m_attempt.kind != RequestKind::ResumableStream)
        return;
    constexpr int success = 200;
    constexpr int serverError = 500;
    const bool isAnswered = m_end.status != 0 && m_end.status != success;
    const bool isComplete = m_end.status == success && m_end.isWhole;
    const bool hasLeft = m_end.callerLeft && !m_end.wasSilent && !m_end.lostLink;
    const auto events = m_end.status == success ? parseEvents(m_end.body) : std::nullopt;
    if (events && !events->empty()) {
        if (m_attempt.resumedAttempt.empty())
            m_attempt.resumedAttempt = m_attempt.id;
        m_attempt.lastEvent = events->back().id;
    }
    m_hasNextTry = !isComplete && !hasLeft && (!isAnswered || m_end.status >= serverError)
        && m_attempt.lastEvent < EventsOfStream && ++m_tries <= MaxNextTries
        && m_deadline - m_environment.reactor.now() > MinTimeLeft;
}

auto SoakCaller::handleEnd(const std::string &id, bool isWhole) -> void
{
    if (m_openId != id)
        return;
    m_openId.clear();
    m_end.isWhole = isWhole;
    m_environment.checker.noteEnd(id, m_end, m_environment.reactor.now());
    planNextTry();
    // This is called from a callback of the connection, which must not be deleted here.
    m_environment.reactor.callAfter(
        Utils::Duration::zero(),
        [weak = weak_from_this(), mustDisconnect = !isWhole || m_closesConnection] {
            const auto self = weak.lock();
            if (!self)
                return;
            if (mustDisconnect)
                self->disconnect();
            self->scheduleNext();
        });
}

auto SoakCaller::abandon(const std::string &id, bool isIntended) -> void
{
    if (m_openId != id)
        return;
    m_openId.clear();
    m_end.callerLeft = isIntended;
    m_environment.checker.noteEnd(id, m_end, m_environment.reactor.now());
    planNextTry();
    disconnect();
    scheduleNext();
}

auto SoakCaller::disconnect() -> void
{
    if (m_connection)
        m_connection->closeNow();
    m_connection.reset();
}

} // namespace Soak
