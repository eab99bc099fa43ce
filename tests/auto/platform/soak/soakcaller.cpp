#include "soakcaller.h"

#include "invariantchecker.h"

#include <http1/clientconnection.h>
#include <net/reactor.h>

namespace Soak {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds RequestTimeout(1400);
/// The caller gives up after this time; it is later than any gateway may answer.
constexpr milliseconds MaxWait(3000);
constexpr int MaxPauseMs = 150;
constexpr int BurstPauseMs = 20;
constexpr int ProbePercent = 25;
constexpr int ForbiddenPercent = 5;
constexpr int LeavingPercent = 3;
constexpr int NewConnectionPercent = 10;
constexpr int TokensEachWay = 10;

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
    const int maxPauseMs = m_environment.isBurstActive() ? BurstPauseMs : MaxPauseMs;
    m_environment.reactor.callAfter(milliseconds(1 + m_random() % maxPauseMs),
                                    [weak = weak_from_this()] {
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
        break;
    default:
        attempt.kind = RequestKind::Repeatable;
        attempt.target = "/extra/" + attempt.id;
        break;
    }
    attempt.route = attempt.target.substr(0, attempt.target.find('/', 1) + 1);
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

auto SoakCaller::sendNext() -> void
{
    if (!m_connection || !m_connection->isReusable() || chance(NewConnectionPercent)) {
        disconnect();
        const auto [gateway, address] = m_environment.pickGateway(m_random);
        auto connection = Http1::ClientConnection::connect(m_environment.reactor, address);
        if (!connection)
            return scheduleNext();
        m_connection = std::move(*connection);
        m_gateway = gateway;
    }
    const bool isProbe = m_environment.probesChanges && chance(ProbePercent);
    Attempt attempt = isProbe ? makeProbe() : makeAttempt();
    attempt.gateway = m_gateway;
    attempt.sentAt = m_environment.reactor.now();
    m_environment.checker.noteSent(attempt);
    send(attempt);
}

auto SoakCaller::send(const Attempt &attempt) -> void
{
    m_openId = attempt.id;
    m_end = {};
    m_closesConnection = false;
    std::string model;
    constexpr int models = 5;
    constexpr int adapters = 3;
    const bool usesModel =
        attempt.kind == RequestKind::Stream || attempt.kind == RequestKind::ResumableStream;
    if (usesModel) {
        model = "Model: m" + std::to_string(1 + m_random() % models);
        if (chance(20))
            model += "/a" + std::to_string(1 + m_random() % adapters);
        model += "\r\n";
    }
    const std::string tokens = std::to_string(TokensEachWay);
    const std::string text = "POST " + attempt.target
        + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + attempt.id + "\r\nAuthorization: Bearer "
        + attempt.key + "\r\nDeadline-Ms: " + std::to_string(attempt.timeout.count()) + "\r\n"
        + model + "Token-Count: " + tokens + ',' + tokens + "\r\nContent-Length: 4\r\n\r\nbody";
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
                        [this](std::string_view data) { m_end.body += data; },
                        [weak, id](Http1::CallEnd how) {
                            if (const auto self = weak.lock())
                                self->handleEnd(id, how == Http1::CallEnd::Complete);
                        }});
    const bool leavesEarly = chance(LeavingPercent);
    const milliseconds wait = leavesEarly ? milliseconds(1 + m_random() % MaxPauseMs) : MaxWait;
    m_environment.reactor.callAfter(wait, [weak, id, leavesEarly] {
        if (const auto self = weak.lock())
            self->abandon(id, leavesEarly);
    });
}

auto SoakCaller::handleEnd(const std::string &id, bool isWhole) -> void
{
    if (m_openId != id)
        return;
    m_openId.clear();
    m_end.isWhole = isWhole;
    m_environment.checker.noteEnd(id, m_end, m_environment.reactor.now());
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
