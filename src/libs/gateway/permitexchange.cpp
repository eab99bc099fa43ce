#include "permitexchange.h"

#include "backendserver.h"
#include "gatewayconstants.h"

#include <monitoring/metrics.h>
#include <net/periodictimer.h>
#include <utils/eventlog.h>
#include <utils/jsonfield.h>

#include <algorithm>
#include <cmath>

namespace Gateway {

using Http1::SocketAddress;
using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Utils::Duration;
using Utils::TimePoint;

namespace {

const char *const LimitKind = "limit";
const char *const AskKind = "permit-ask";
const char *const ReplyKind = "permit";
const char *const ReturnKind = "permit-return";

/// The platform allows this multiple of a limit in any window, plus the slack, over all gateways.
constexpr milliseconds LimitWindow(4000);
constexpr double LimitTolerance = 1.5;
constexpr int LimitSlack = 5;
/// Permits of both issuers in one window, as a multiple of the limit in that time: both may be
/// asked at once, and a permit may be used until its lifetime has passed.
constexpr double WorstUse = (LimitWindow + Constants::PermitLifetime) / milliseconds(1)
    * (1 + Constants::SecondIssuerRateShare) / (LimitWindow / milliseconds(1));
constexpr int WorstBurst = Constants::PermitBurst + Constants::SecondIssuerBurst;
static_assert(WorstUse <= LimitTolerance && WorstBurst <= LimitSlack);
/// A limit of 0 allows the slack alone.
static_assert(Constants::MinPermitRate * Utils::toSeconds(LimitWindow) * WorstUse + WorstBurst
              <= LimitSlack);

constexpr milliseconds RosterInterval(250);
/// Messages to an issuer that stay unanswered before the second issuer is asked.
constexpr int MaxUnansweredAsks = 2;
/// Longest time in a message; larger values are a fault of the sender.
constexpr std::int64_t MaxMilliseconds = 600000;

auto toMilliseconds(Duration duration) -> std::int64_t
{
    return duration_cast<milliseconds>(duration).count();
}

auto durationField(const json &message, const char *name) -> Duration
{
    return milliseconds(std::clamp(Utils::fieldOr(message, name, std::int64_t(0)), std::int64_t(0),
                                   MaxMilliseconds));
}

} // namespace

PermitExchange::PermitExchange(Net::Scheduler &scheduler, Monitoring::Metrics &metrics,
                               RateLimitTable &limits, const SocketAddress &own,
                               Transport transport, std::function<void()> onChanged)
    : m_scheduler(scheduler)
    , m_metrics(metrics)
    , m_limits(limits)
    , m_own(own)
    , m_transport(std::move(transport))
    , m_onChanged(std::move(onChanged))
    , m_roster(own)
    // An issuer may still have reservations of an earlier process at this address.
    , m_nextTicket(static_cast<TicketId>(m_transport.clock().time_since_epoch().count()))
    , m_timer(std::make_unique<Net::PeriodicTimer>(scheduler, RosterInterval, [this] {
        updateRoster();
        removeEndedLimits();
    }))
{ }

PermitExchange::~PermitExchange()
{
    *m_alive = false;
    for (const auto &[id, ticket] : m_tickets)
        m_scheduler.cancel(ticket.timer);
}

/// The roster is updated regularly, or at once as long as it is unknown.
auto PermitExchange::isRosterKnown() -> bool
{
    if (!m_roster.isKnown())
        updateRoster();
    return m_roster.isKnown();
}

auto PermitExchange::updateRoster() -> void
{
    const auto peers = m_transport.peers();
    if (!peers || !m_roster.update(*peers, now()))
        return;
    // The schedules of servers for which another gateway is now responsible are no longer used.
    std::erase_if(m_schedules, [this](const auto &item) {
        const auto &issuers = m_roster.issuers(item.first);
        return item.second.isFirst != (issuers.first == m_own);
    });
}

auto PermitExchange::removeEndedLimits() -> void
{
    m_limits.removeEnded(m_scheduler.now() - Constants::RateLimitRampTime);
    std::erase_if(m_schedules, [this](const auto &item) {
        return !m_limits.find(item.first, item.second.startedAtMs);
    });
    std::vector<std::string> unlimited;
    for (const auto &[id, ticket] : m_tickets) {
        if (!m_limits.find(ticket.need.server, ticket.need.startedAtMs))
            unlimited.push_back(ticket.need.server);
    }
    for (const std::string &server : unlimited)
        endTicketsOf(server);
}

// Limits

auto PermitExchange::limitToJson(const std::string &server, const RateLimit &limit) const -> json
{
    return {{"server", server},
            {"started", limit.startedAtMs},
            {"perSecond", limit.perSecond},
            {"ended", limit.hasEnded},
            {"ageMs", toMilliseconds(m_scheduler.now() - limit.observedAt)}};
}

auto PermitExchange::applyReport(const json &message) -> void
{
    const auto server = Utils::fieldOr(message, "server", std::string());
    RateLimit limit;
    limit.startedAtMs = Utils::fieldOr(message, "started", std::int64_t(0));
    limit.perSecond = Utils::fieldOr(message, "perSecond", -1.0);
    limit.hasEnded = Utils::fieldOr(message, "ended", false);
    const Duration age = durationField(message, "ageMs");
    limit.observedAt = m_scheduler.now() - age;
    if (server.empty() || !std::isfinite(limit.perSecond) || limit.perSecond < 0)
        return;
    if (m_limits.noteReport(server, limit))
        limitChanged(server, false, {}, age);
}

auto PermitExchange::noteAnswer(const RateLimitTable::Observation &observation,
                                const std::string &requestId) -> void
{
    if (m_limits.noteAnswer(observation))
        limitChanged(observation.server, true, requestId, Duration::zero());
}

auto PermitExchange::limitChanged(const std::string &server, bool isOwnObservation,
                                  const std::string &requestId, Duration age) -> void
{
    const RateLimit &limit = m_limits.all().at(server);
    Utils::logEvent(Utils::Event::RateLimitChanged,
                    {{"server", server},
                     {"startedAtMs", limit.startedAtMs},
                     {"perSecond", limit.perSecond},
                     {"hasEnded", limit.hasEnded},
                     {"source", isOwnObservation ? "answer" : "gateway"},
                     {"request", requestId},
                     {"ageMs", toMilliseconds(age)}});
    spreadLimit(server, isOwnObservation);
    // Reservations were made at the former rate.
    std::vector<TicketId> reserved;
    for (const auto &[id, ticket] : m_tickets) {
        if (ticket.need.server == server && ticket.state == TicketState::Reserved)
            reserved.push_back(id);
    }
    for (const TicketId id : reserved)
        ask(id);
    m_onChanged();
}

/// The gateways that observe a change tell the issuers, and those tell all gateways: one message to
/// each gateway per change and issuer.
auto PermitExchange::spreadLimit(const std::string &server, bool isOwnObservation) -> void
{
    if (!isRosterKnown())
        return;
    json message = limitToJson(server, m_limits.all().at(server));
    message["kind"] = LimitKind;
    const auto &issuers = m_roster.issuers(server);
    const bool isIssuer = issuers.first == m_own || issuers.second == m_own;
    std::vector<SocketAddress> recipients;
    if (isIssuer) {
        recipients = m_roster.others();
    } else if (isOwnObservation) {
        recipients.push_back(issuers.first);
        if (issuers.second)
            recipients.push_back(*issuers.second);
    }
    for (const SocketAddress &recipient : recipients)
        m_transport.send(recipient, message);
}

// Permits of this gateway

auto PermitExchange::needsPermit(const BackendServer &server) const -> bool
{
    return m_limits.find(server.id, server.startedAtMs) != nullptr;
}

auto PermitExchange::findUsable(const BackendServer &server) const
    -> std::map<TicketId, Ticket>::const_iterator
{
    const TimePoint at = now();
    return std::find_if(m_tickets.begin(), m_tickets.end(), [&](const auto &item) {
        const Ticket &ticket = item.second;
        return ticket.state == TicketState::Permitted && ticket.need.server == server.id
            && ticket.need.startedAtMs == server.startedAtMs && ticket.usableFrom <= at
            && at < ticket.usableUntil;
    });
}

auto PermitExchange::hasPermit(const BackendServer &server) const -> bool
{
    return findUsable(server) != m_tickets.end();
}

auto PermitExchange::take(const BackendServer &server) -> std::optional<TimePoint>
{
    const auto found = findUsable(server);
    if (found == m_tickets.end())
        return {};
    const TimePoint until = found->second.usableUntil;
    m_metrics.count("acacia_permits_total", {{"result", "used"}});
    endTicket(found->first);
    return until;
}

auto PermitExchange::isValid(TimePoint until) const -> bool
{
    return now() < until;
}

auto PermitExchange::request(Need need) -> TicketId
{
    const TicketId id = m_nextTicket++;
    Ticket &ticket = m_tickets[id];
    ticket.giveUpAt = now() + need.patience;
    ticket.need = std::move(need);
    ask(id);
    return id;
}

auto PermitExchange::isOpen(TicketId ticket) const -> bool
{
    return m_tickets.count(ticket) > 0;
}

auto PermitExchange::cancel(TicketId ticket) -> void
{
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end())
        return;
    const SocketAddress issuer = found->second.issuer;
    const json message = {
        {"kind", ReturnKind}, {"id", ticket}, {"server", found->second.need.server}};
    m_metrics.count("acacia_permits_total", {{"result", "returned"}});
    endTicket(ticket);
    deliver(issuer, message);
}

auto PermitExchange::endTicket(TicketId id) -> void
{
    const auto found = m_tickets.find(id);
    m_scheduler.cancel(found->second.timer);
    m_tickets.erase(found);
}

auto PermitExchange::endTicketsOf(const std::string &server) -> void
{
    std::vector<TicketId> ended;
    for (const auto &[id, ticket] : m_tickets) {
        if (ticket.need.server == server)
            ended.push_back(id);
    }
    for (const TicketId id : ended)
        endTicket(id);
    if (!ended.empty())
        m_onChanged();
}

auto PermitExchange::wakeTicket(TicketId id, Duration delay, std::function<void()> action) -> void
{
    Ticket &ticket = m_tickets.at(id);
    m_scheduler.cancel(ticket.timer);
    ticket.timer = m_scheduler.callAfter(delay, std::move(action));
}

/// The first issuer, unless it has been silent; the second one then.
auto PermitExchange::chooseIssuer(const Ticket &ticket) -> std::optional<SocketAddress>
{
    if (!isRosterKnown())
        return {};
    const auto &issuers = m_roster.issuers(ticket.need.server);
    const auto silent = m_silentUntil.find(issuers.first);
    const bool isSilent = silent != m_silentUntil.end() && now() < silent->second;
    return isSilent && issuers.second ? *issuers.second : issuers.first;
}

auto PermitExchange::ask(TicketId id) -> void
{
    Ticket &ticket = m_tickets.at(id);
    const RateLimit *limit = m_limits.find(ticket.need.server, ticket.need.startedAtMs);
    const auto issuer = chooseIssuer(ticket);
    ticket.state = TicketState::Asked;
    ticket.askedAt = now();
    wakeTicket(id, Constants::PermitAskTimeout, [this, id] { handleSilence(id); });
    if (!issuer || !limit)
        return;
    if (issuer != ticket.issuer)
        ticket.unansweredAsks = 0;
    ticket.issuer = *issuer;
    json message = limitToJson(ticket.need.server, *limit);
    message["kind"] = AskKind;
    message["id"] = id;
    message["try"] = ticket.askedAt.time_since_epoch().count();
    message["patienceMs"] =
        toMilliseconds(std::max(ticket.giveUpAt - ticket.askedAt, Duration::zero()));
    deliver(*issuer, message);
}

auto PermitExchange::handleSilence(TicketId id) -> void
{
    Ticket &ticket = m_tickets.at(id);
    const TimePoint at = now();
    if (at >= ticket.giveUpAt)
        return refuse(id, Constants::DefaultRetryAfter);
    if (m_roster.isKnown() && ++ticket.unansweredAsks >= MaxUnansweredAsks
        && ticket.issuer != m_own) {
        TimePoint &silentUntil = m_silentUntil[ticket.issuer];
        if (silentUntil <= at) {
            Utils::logEvent(Utils::Event::PermitUnanswered,
                            {{"server", ticket.need.server},
                             {"request", ticket.need.request},
                             {"issuer", ticket.issuer.toString()},
                             {"asks", ticket.unansweredAsks}});
            m_metrics.count("acacia_permits_total", {{"result", "unanswered"}});
        }
        silentUntil = at + Constants::IssuerSilenceTime;
        ticket.unansweredAsks = 0;
    }
    ask(id);
}

auto PermitExchange::handleReply(const json &message, const SocketAddress &sender) -> void
{
    const auto found = m_tickets.find(Utils::fieldOr(message, "id", TicketId(0)));
    applyReport(message);
    if (found == m_tickets.end() || found->second.issuer != sender)
        return;
    Ticket &ticket = found->second;
    // The time of an earlier message would make the permit's validity uncertain.
    if (ticket.state != TicketState::Asked
        || Utils::fieldOr(message, "try", std::int64_t(0))
            != ticket.askedAt.time_since_epoch().count())
        return;
    m_silentUntil.erase(sender);
    ticket.unansweredAsks = 0;
    const Duration delay = durationField(message, "delayMs");
    if (!Utils::fieldOr(message, "reserved", false))
        return refuse(found->first, delay);
    if (Utils::fieldOr(message, "firm", false))
        return handlePermit(found->first, delay);
    ticket.state = TicketState::Reserved;
    wakeTicket(found->first, delay - Routing::PermitSchedule::FirmHorizon / 2,
               [this, id = found->first] { ask(id); });
}

auto PermitExchange::handlePermit(TicketId id, Duration delay) -> void
{
    Ticket &ticket = m_tickets.at(id);
    const TimePoint at = now();
    ticket.state = TicketState::Permitted;
    ticket.usableFrom = at + delay;
    // Counted from the question, so that a delayed message doesn't extend it.
    ticket.usableUntil = ticket.askedAt + delay + Constants::PermitLifetime;
    m_metrics.count("acacia_permits_total", {{"result", "received"}});
    wakeTicket(id, delay, [this, id] {
        Ticket &due = m_tickets.at(id);
        wakeTicket(id, due.usableUntil - now(), [this, id] {
            m_metrics.count("acacia_permits_total", {{"result", "expired"}});
            endTicket(id);
            m_onChanged();
        });
        m_onChanged();
    });
}

auto PermitExchange::refuse(TicketId id, Duration delay) -> void
{
    const Need need = m_tickets.at(id).need;
    const RateLimit *limit = m_limits.find(need.server, need.startedAtMs);
    Utils::logEvent(
        Utils::Event::PermitRefused,
        {{"request", need.request},
         {"server", need.server},
         {"issuer", m_tickets.at(id).issuer.toString()},
         {"perSecond", limit ? limit->perSecond : 0},
         {"limitAgeMs", limit ? toMilliseconds(m_scheduler.now() - limit->observedAt) : -1},
         {"delayMs", toMilliseconds(delay)},
         {"patienceMs", toMilliseconds(need.patience)}});
    m_metrics.count("acacia_permits_total", {{"result", "refused"}});
    endTicket(id);
    if (need.onRefused)
        need.onRefused(delay);
}

// Permits that this gateway issues

auto PermitExchange::scheduleFor(const std::string &server, const RateLimit &limit)
    -> Routing::PermitSchedule *
{
    const auto &issuers = m_roster.issuers(server);
    const bool isFirst = issuers.first == m_own;
    if (!isFirst && issuers.second != m_own)
        return nullptr;
    const double share = isFirst ? 1 : Constants::SecondIssuerRateShare;
    const double perSecond = rateAt(limit, m_scheduler.now()) * share;
    const auto found = m_schedules.find(server);
    if (found != m_schedules.end() && found->second.startedAtMs == limit.startedAtMs) {
        found->second.permits.setRate(perSecond, now());
        return &found->second.permits;
    }
    // Another gateway may have been the issuer until the roster changed; its firm permits are used
    // by then.
    const TimePoint start =
        m_roster.changedAt() + Routing::PermitSchedule::FirmHorizon + Constants::PermitLifetime;
    const int burst = isFirst ? Constants::PermitBurst : Constants::SecondIssuerBurst;
    auto &schedule =
        m_schedules
            .insert_or_assign(server,
                              Schedule{limit.startedAtMs, isFirst,
                                       Routing::PermitSchedule(perSecond, burst, start)})
            .first->second;
    return &schedule.permits;
}

auto PermitExchange::handleAsk(const json &message, const SocketAddress &sender) -> void
{
    applyReport(message);
    const auto server = Utils::fieldOr(message, "server", std::string());
    const auto startedAtMs = Utils::fieldOr(message, "started", std::int64_t(0));
    const RateLimit *limit = m_limits.find(server, startedAtMs);
    Routing::PermitSchedule *permits =
        limit && isRosterKnown() ? scheduleFor(server, *limit) : nullptr;
    if (!permits)
        return;
    const auto id = Utils::fieldOr(message, "id", TicketId(0));
    const auto reply = permits->reserve(sender.toString() + '/' + std::to_string(id),
                                        durationField(message, "patienceMs"), now());
    json answer = limitToJson(server, *limit);
    answer["kind"] = ReplyKind;
    answer["id"] = id;
    answer["try"] = Utils::fieldOr(message, "try", std::int64_t(0));
    answer["reserved"] = reply.isReserved;
    answer["firm"] = reply.isFirm;
    answer["delayMs"] = std::chrono::ceil<milliseconds>(reply.delay).count();
    deliver(sender, answer);
}

auto PermitExchange::handleMessage(const json &message, const SocketAddress &sender) -> bool
{
    const std::string kind = Utils::fieldOr(message, "kind", std::string());
    if (kind == LimitKind) {
        applyReport(message);
    } else if (kind == AskKind) {
        handleAsk(message, sender);
    } else if (kind == ReplyKind) {
        handleReply(message, sender);
    } else if (kind == ReturnKind) {
        const auto schedule = m_schedules.find(Utils::fieldOr(message, "server", std::string()));
        if (schedule != m_schedules.end())
            schedule->second.permits.release(
                sender.toString() + '/'
                    + std::to_string(Utils::fieldOr(message, "id", TicketId(0))),
                now());
    } else {
        return false;
    }
    return true;
}

/// Messages of this gateway to itself arrive in the next turn of the event loop.
auto PermitExchange::deliver(const SocketAddress &to, const json &message) -> void
{
    if (to != m_own)
        return m_transport.send(to, message);
    m_scheduler.callAfter(Duration::zero(), [this, alive = m_alive, message] {
        if (*alive)
            handleMessage(message, m_own);
    });
}

} // namespace Gateway
