#include "backendregistry.h"

#include "gatewayconstants.h"
#include "sendallowance.h"
#include "wireformat.h"

#include <utils/rendezvous.h>

#include <algorithm>
#include <cmath>

namespace Gateway {

using Utils::TimePoint;

namespace {

/// Maximum number of servers whose leaving is remembered; some thousands end in a day.
constexpr size_t MaxAnnouncedLeaving = 4096;

/// The count of orders grows within one incarnation and is not comparable between incarnations.
auto isOlder(const BackendServer &left, const BackendServer &right) -> bool
{
    if (left.startedAtMs != right.startedAtMs)
        return left.startedAtMs < right.startedAtMs;
    return left.ordersAccepted < right.ordersAccepted;
}

} // namespace

BackendRegistry::BackendRegistry(std::string failureDomain, std::uint64_t seed)
    : m_failureDomain(std::move(failureDomain))
    , m_selector(seed)
{ }

auto BackendRegistry::setGatewayCount(int count) -> void
{
    m_gatewayCount = std::max(count, 1);
}

auto BackendRegistry::setSendAllowance(const SendAllowance *allowance) -> void
{
    m_allowance = allowance;
}

auto BackendRegistry::setCapacity(const std::string &service, int slots, double tokens) -> void
{
    m_capacity[service] = {slots, tokens};
}

auto BackendRegistry::update(const BackendServer &server, TimePoint now) -> bool
{
    const auto found = m_entries.find(server.id);
    if (found != m_entries.end() && server.startedAtMs < found->second.server.startedAtMs)
        return false;
    m_coldStarts.update(server.id, server.startedAtMs, server.service, server.failureDomain,
                        server.coldFor, now);
    if (found == m_entries.end()) {
        Entry &added = m_entries[server.id];
        added.server = withAnnouncedState(server);
        added.state = m_selector.makeState();
        return true;
    }
    Entry &entry = found->second;
    if (server.startedAtMs > entry.server.startedAtMs) {
        const int inFlight = entry.inFlight;
        entry = Entry();
        entry.inFlight = inFlight;
        entry.avoidedUntil = now;
        entry.restartedAt = now;
        entry.server = withAnnouncedState(server);
        entry.state = m_selector.makeState();
        return true;
    }
    const bool keepsModels = isOlder(server, entry.server);
    const auto models = entry.server.models;
    const auto orders = entry.server.ordersAccepted;
    entry.server = withAnnouncedState(server);
    if (keepsModels) {
        entry.server.models = models;
        entry.server.ordersAccepted = orders;
    }
    return true;
}

auto BackendRegistry::remove(const std::string &id) -> void
{
    m_entries.erase(id);
    m_coldStarts.remove(id);
}

auto BackendRegistry::setEvacuated(const std::string &domain, bool isEvacuated, TimePoint now)
    -> bool
{
    if (!(isEvacuated ? m_evacuations.begin(domain) : m_evacuations.end(domain)))
        return false;
    if (!isEvacuated)
        m_coldStarts.noteEvacuationEnded(domain, now);
    for (auto &[id, entry] : m_entries)
        entry.server.isEvacuated = m_evacuations.isEvacuated(entry.server.failureDomain);
    return true;
}

auto BackendRegistry::applyReport(const std::string &id, const EngineReport &report) -> void
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || report.ordersAccepted < found->second.server.ordersAccepted)
        return;
    found->second.server.models = report.models;
    found->second.server.ordersAccepted = report.ordersAccepted;
}

auto BackendRegistry::updateLoad(const std::string &id, const BackendLoad &load, TimePoint now)
    -> void
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    found->second.reportedOtherRequests =
        std::max(0, load.running + load.waiting - found->second.inFlight);
    found->second.reportedAt = now;
    if (load.slowdown)
        found->second.state.slowdown.note(*load.slowdown, now);
    found->second.state.tokens.noteOthers(found->second.reportedOtherRequests, now);
}

auto BackendRegistry::noteMissing(const std::string &id, const std::string &model,
                                  const std::string &adapter) -> void
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    auto &models = found->second.server.models;
    const auto held = models.find(model);
    if (held == models.end())
        return;
    if (adapter.empty())
        models.erase(held);
    else
        held->second.erase(adapter);
}

auto BackendRegistry::withAnnouncedState(const BackendServer &server) const -> BackendServer
{
    BackendServer result = server;
    const auto announced = m_announcedLeaving.find(server.id);
    if (announced != m_announcedLeaving.end() && announced->second == server.startedAtMs)
        result.isLeaving = true;
    result.isEvacuated = m_evacuations.isEvacuated(server.failureDomain);
    return result;
}

auto BackendRegistry::noteLeaving(const std::string &id, std::int64_t startedAtMs) -> bool
{
    const auto [announced, isNew] = m_announcedLeaving.emplace(id, startedAtMs);
    if (!isNew && announced->second >= startedAtMs)
        return false;
    announced->second = startedAtMs;
    if (m_announcedLeaving.size() > MaxAnnouncedLeaving) {
        m_announcedLeaving.erase(std::min_element(
            m_announcedLeaving.begin(), m_announcedLeaving.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; }));
    }
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && found->second.server.startedAtMs == startedAtMs)
        found->second.server.isLeaving = true;
    return true;
}

auto BackendRegistry::noteUnreadable(const std::string &id) -> bool
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.server.hasUnreadableEntry)
        return false;
    found->second.server.hasUnreadableEntry = true;
    return true;
}

auto BackendRegistry::notePause(const std::string &id, TimePoint until) -> void
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.pausedUntil = std::max(found->second.pausedUntil, until);
}

auto BackendRegistry::noteConnectionLost(const std::string &id, std::int64_t startedAtMs,
                                         TimePoint now) -> void
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && found->second.server.startedAtMs == startedAtMs)
        found->second.lostAt = now;
}

auto BackendRegistry::noteRefusal(const std::string &id, std::int64_t startedAtMs, TimePoint now)
    -> void
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && found->second.server.startedAtMs == startedAtMs)
        found->second.refusedAt = now;
}

auto BackendRegistry::confirmIncarnation(const std::string &id, std::int64_t startedAtMs,
                                         TimePoint at) -> void
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.server.startedAtMs != startedAtMs)
        return;
    if (found->second.lostAt && *found->second.lostAt < at)
        found->second.lostAt.reset();
}

auto BackendRegistry::noteAnswered(const std::string &id, std::int64_t startedAtMs,
                                   TimePoint connectedAt, TimePoint sentAt) -> void
{
    // No process survives the restart of its server, and no connection that of its process.
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && connectedAt < found->second.lostAt.value_or(TimePoint()))
        confirmIncarnation(id, startedAtMs, sentAt);
}

auto BackendRegistry::isIncarnationKnown(const std::string &id, std::int64_t startedAtMs) const
    -> bool
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && found->second.server.startedAtMs == startedAtMs
        && !found->second.lostAt;
}

auto BackendRegistry::refusedAt(const std::string &id) const -> std::optional<TimePoint>
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? std::nullopt : found->second.refusedAt;
}

auto BackendRegistry::pauseEnd(const BackendRequirements &requirements, TimePoint now) const
    -> std::optional<TimePoint>
{
    std::optional<TimePoint> first;
    for (const auto &[id, entry] : m_entries) {
        if (!isSuitable(entry, requirements) || !holds(entry, requirements))
            continue;
        if (entry.pausedUntil <= now)
            return {};
        first = std::min(first.value_or(entry.pausedUntil), entry.pausedUntil);
    }
    return first;
}

auto BackendRegistry::holds(const Entry &entry, const BackendRequirements &requirements) const
    -> bool
{
    if (requirements.model.empty())
        return true;
    const auto held = entry.server.models.find(requirements.model);
    return held != entry.server.models.end()
        && (requirements.adapter.empty() || held->second.count(requirements.adapter) > 0);
}

auto BackendRegistry::isSuitable(const Entry &entry, const BackendRequirements &requirements) const
    -> bool
{
    const BackendServer &server = entry.server;
    const std::optional<std::string> &version = requirements.softwareVersion;
    return server.service == requirements.service && server.isUsable()
        && requirements.excluded.count(server.id) == 0
        && (!version || (!version->empty() && server.softwareVersion == *version))
        && (!requirements.mayUseVersion || requirements.mayUseVersion(server.softwareVersion));
}

auto BackendRegistry::loadOf(const Entry &entry, TimePoint now) const -> double
{
    const bool isRecent = now - entry.reportedAt < Constants::ReportedLoadLifetime;
    return entry.inFlight + (isRecent ? entry.reportedOtherRequests : 0);
}

auto BackendRegistry::capacityOf(const Entry &entry) const -> Capacity
{
    const auto found = m_capacity.find(entry.server.service);
    return found == m_capacity.end() ? Capacity{std::max(entry.server.slots, 1)} : found->second;
}

auto BackendRegistry::needsPermit(const Entry &entry) const -> bool
{
    return m_allowance && m_allowance->needsPermit(entry.server);
}

auto BackendRegistry::isCandidate(const Entry &entry, const BackendRequirements &requirements,
                                  const Routing::SelectionWeights &weights) const -> bool
{
    const TimePoint now = weights.now;
    if (!isSuitable(entry, requirements) || entry.ejectedUntil > now || entry.avoidedUntil > now
        || entry.pausedUntil > now || !holds(entry, requirements)
        || (requirements.needsKnownIncarnation && entry.lostAt))
        return false;
    const Capacity capacity = capacityOf(entry);
    return loadOf(entry, now) < capacity.slots && weights.fits(entry.state, capacity.tokens)
        && m_coldStarts.maySend(entry.server.id, now);
}

auto BackendRegistry::isRemote(const Entry &entry) const -> bool
{
    return entry.server.failureDomain != m_failureDomain;
}

auto BackendRegistry::scoreOf(const Entry &entry, const Routing::SelectionWeights &weights) const
    -> double
{
    // A failing server is weighted like one with several requests more in flight.
    constexpr double failurePenalty = 4;
    const double load =
        m_coldStarts.weightedLoad(entry.server.id, loadOf(entry, weights.now), weights.now);
    return weights.score(entry.state, load, isRemote(entry)) + entry.failureRate * failurePenalty;
}

auto BackendRegistry::choose(const BackendRequirements &requirements, TimePoint now) const
    -> std::optional<std::string>
{
    const Entry *best = nullptr;
    std::pair<bool, double> bestScore; // Servers without a limit come first.
    std::uint64_t bestRank = 0;
    const auto weights = m_selector.weigh(requirements.profile, now);
    std::string rankKey = requirements.affinity; // One buffer for all servers.
    for (const auto &[id, entry] : m_entries) {
        if (!isCandidate(entry, requirements, weights))
            continue;
        const bool isLimited = needsPermit(entry);
        if (isLimited && !m_allowance->hasPermit(entry.server))
            continue;
        const std::pair score(isLimited, scoreOf(entry, weights));
        rankKey.resize(requirements.affinity.size());
        const std::uint64_t rank = Utils::stableHash(rankKey += id);
        if (!best || score < bestScore || (score == bestScore && rank > bestRank)) {
            best = &entry;
            bestScore = score;
            bestRank = rank;
        }
    }
    if (!best)
        return {};
    return best->server.id;
}

auto BackendRegistry::choosePermitServer(const BackendRequirements &requirements,
                                         const std::string &current, TimePoint now) const
    -> std::optional<std::string>
{
    const Entry *best = nullptr;
    double bestScore = 0;
    const auto weights = m_selector.weigh(requirements.profile, now);
    for (const auto &[id, entry] : m_entries) {
        if (!needsPermit(entry) || !isCandidate(entry, requirements, weights))
            continue;
        if (id == current)
            return id;
        const double score = scoreOf(entry, weights);
        if (!best || score < bestScore) {
            best = &entry;
            bestScore = score;
        }
    }
    if (!best)
        return {};
    return best->server.id;
}

auto BackendRegistry::hasServerWithoutLimit(const BackendRequirements &requirements) const -> bool
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        // Engines may load the model while the request waits.
        return isSuitable(item.second, requirements) && !needsPermit(item.second);
    });
}

auto BackendRegistry::hasPossibleServer(const BackendRequirements &requirements) const -> bool
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [&](const auto &item) { return isSuitable(item.second, requirements); });
}

auto BackendRegistry::isHeld(const BackendRequirements &requirements) const -> bool
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        return item.second.server.service == requirements.service && item.second.server.isUsable()
            && holds(item.second, requirements);
    });
}

auto BackendRegistry::hasService(const std::string &service) const -> bool
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        return item.second.server.service == service && item.second.server.isUsable();
    });
}

auto BackendRegistry::stateOf(const std::string &id, std::int64_t startedAtMs)
    -> Routing::ServerState *
{
    const auto found = m_entries.find(id);
    const bool isCurrent =
        found != m_entries.end() && found->second.server.startedAtMs == startedAtMs;
    return isCurrent ? &found->second.state : nullptr;
}

auto BackendRegistry::noteRequest(const std::string &id, const Routing::RequestProfile &request,
                                  TimePoint now) -> Routing::RunningRequest
{
    Routing::RunningRequest run;
    run.sentAt = now;
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return run;
    run.startedAtMs = found->second.server.startedAtMs;
    run.load = loadOf(found->second, now);
    run.isRemote = isRemote(found->second);
    m_selector.noteSent(request, run, found->second.state);
    if (m_selector.isObservationDue(request.service, now))
        observe(request.service, now);
    return run;
}

/// Looks at all usable servers of the service.
auto BackendRegistry::observe(const std::string &service, TimePoint now) -> void
{
    std::vector<Routing::ServerView> servers;
    for (const auto &[id, entry] : m_entries) {
        if (entry.server.service == service && entry.server.isUsable() && entry.ejectedUntil <= now
            && entry.pausedUntil <= now)
            servers.push_back(
                {&entry.state, loadOf(entry, now), capacityOf(entry).slots, isRemote(entry)});
    }
    if (m_selector.observe(service, servers, now) && onShareChanged)
        onShareChanged(service, *m_selector.domainOf(service));
}

auto BackendRegistry::noteSent(const std::string &id) -> void
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        ++found->second.inFlight;
}

auto BackendRegistry::noteEnded(const std::string &id, SendOutcome outcome, TimePoint now) -> void
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    Entry &entry = found->second;
    entry.inFlight = std::max(0, entry.inFlight - 1);
    if (outcome == SendOutcome::Abandoned)
        return;
    if (outcome == SendOutcome::Busy || outcome == SendOutcome::Unreachable)
        entry.avoidedUntil = now + Constants::ConnectFailureCooldown;
    if (outcome == SendOutcome::Busy)
        return;
    const double failure = outcome == SendOutcome::Good ? 0 : 1;
    entry.failureRate += Constants::FailureWeight * (failure - entry.failureRate);
    if (entry.failureRate < Constants::EjectionFailureRate || failure == 0
        || !mayEject(entry.server.service, now))
        return;
    const auto ejectionTime =
        std::min(Constants::InitialEjectionTime * (1 << std::min(entry.ejections, 4)),
                 std::chrono::milliseconds(Constants::MaxEjectionTime));
    entry.ejectedUntil = now + ejectionTime;
    ++entry.ejections;
    // Right below the limit: the first requests after the ejection decide whether to repeat it.
    entry.failureRate = Constants::EjectionFailureRate - Constants::FailureWeight / 2;
}

auto BackendRegistry::mayEject(const std::string &service, TimePoint now) const -> bool
{
    int all = 0;
    int ejected = 0;
    for (const auto &[id, entry] : m_entries) {
        if (entry.server.service != service || !entry.server.isUsable())
            continue;
        ++all;
        if (entry.ejectedUntil > now)
            ++ejected;
    }
    return ejected + 1 <= all * Constants::MaxEjectedShare;
}

auto BackendRegistry::find(const std::string &id) const -> const BackendServer *
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.server;
}

auto BackendRegistry::servers() const -> std::vector<const BackendServer *>
{
    std::vector<const BackendServer *> all;
    all.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries)
        all.push_back(&entry.server);
    return all;
}

auto BackendRegistry::inFlight(const std::string &id) const -> int
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? 0 : found->second.inFlight;
}

auto BackendRegistry::restartedAt(const std::string &id) const -> std::optional<TimePoint>
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? std::nullopt : found->second.restartedAt;
}

auto BackendRegistry::ejectedUntil(const std::string &id) const -> TimePoint
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? TimePoint() : found->second.ejectedUntil;
}

} // namespace Gateway
