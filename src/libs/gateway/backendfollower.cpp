#include "backendfollower.h"

#include "backendregistry.h"
#include "gatewayconstants.h"
#include "gatewaycontext.h"
#include "wireformat.h"

#include <monitoring/metrics.h>
#include <net/reactor.h>
#include <utils/eventlog.h>

#include <algorithm>

namespace Gateway {

namespace {

/// Number of servers that have ended which a copy of the store may still list as alive.
constexpr size_t MaxEndedServers = 256;

} // namespace

BackendFollower::BackendFollower(GatewayContext &context, RowStore &store, std::string table,
                                 std::chrono::milliseconds pollInterval, Events events)
    : m_context(context)
    , m_events(std::move(events))
{
    TableFollower::Events followerEvents;
    followerEvents.onEraChanged = [this](Utils::StoreEra) { handleEraChanged(); };
    followerEvents.onRow = [this](const Row &row) { handleRow(row); };
    followerEvents.onCaughtUp = [] {};
    followerEvents.onConfirmed = [this](Utils::TimePoint at) {
        m_isReadingCopy = false;
        m_confirmedAt = std::max(m_confirmedAt, at);
        if (m_events.onConfirmed)
            m_events.onConfirmed(at);
    };
    followerEvents.onLost = [this](StoreError error) {
        m_wasStoreLost = true;
        Utils::logEvent(Utils::Event::StoreUnavailable,
                        {{"what", "servers"}, {"error", static_cast<int>(error)}});
    };
    followerEvents.onRegained = [this] {
        if (m_wasStoreLost)
            m_regainedAt = m_context.reactor.now();
        Utils::logEvent(Utils::Event::StoreRegained, {{"what", "servers"}});
    };
    m_follower = std::make_unique<TableFollower>(context.reactor, store, std::move(table),
                                                 pollInterval, std::move(followerEvents));
}

BackendFollower::~BackendFollower()
{
    *m_alive = false;
}

auto BackendFollower::start() -> void
{
    m_follower->start();
}

auto BackendFollower::follower() -> TableFollower &
{
    return *m_follower;
}

auto BackendFollower::handleRow(const Row &row) -> void
{
    if (row.isRemoved) {
        m_unreadable.erase(row.key);
        const auto now = m_context.reactor.now();
        const auto graceLeft = m_regainedAt + Constants::ExpiredEntryGracePeriod - now;
        if (!m_wasStoreLost || graceLeft <= Utils::Duration::zero())
            return remove(row.key, false, row.version);
        m_expired.insert(row.key);
        m_context.reactor.callAfter(graceLeft, [this, alive = m_alive, id = row.key] {
            if (*alive)
                removeIfStillExpired(id);
        });
        return;
    }
    const auto server =
        row.fault ? tl::unexpected(*row.fault) : m_context.wire.parseBackend(row.key, row.value);
    if (!server)
        return handleUnreadableRow(row, server.error());
    m_unreadable.erase(row.key);
    if (m_isReadingCopy && isEndedInCopy(*server, row.version))
        return;
    m_expired.erase(row.key);
    const BackendServer *known = m_context.board.find(row.key);
    const bool isNewIncarnation = known && server->startedAtMs > known->startedAtMs;
    const bool changesState = !known || isNewIncarnation
        || known->isListedAsUsable() != server->isUsable()
        || (known->coldFor.count() == 0) != (server->coldFor.count() == 0);
    if (m_events.onStarted && (!known || isNewIncarnation))
        m_events.onStarted(*server);
    m_context.board.update(*server, m_context.reactor.now());
    if (isNewIncarnation)
        m_events.onGone(row.key);
    if (changesState)
        Utils::logEvent(Utils::Event::BackendChanged,
                        {{"server", server->id},
                         {"service", server->service},
                         {"address", server->address.toString()},
                         {"softwareVersion", server->softwareVersion},
                         {"startedAtMs", server->startedAtMs},
                         {"leaving", server->isLeaving},
                         {"models", server->models.size()},
                         {"coldMs", server->coldFor.count()},
                         {"era", row.version.era},
                         {"version", row.version.number}});
    m_events.onChanged();
}

auto BackendFollower::handleUnreadableRow(const Row &row, const std::string &reason) -> void
{
    m_context.metrics.count("acacia_entries_rejected_total", {{"what", "server"}});
    const bool wasUsable = m_context.board.noteUnreadable(row.key);
    if (wasUsable)
        m_events.onChanged();
    const auto [logged, isNew] = m_unreadable.try_emplace(row.key, reason);
    if (!isNew && logged->second == reason && !wasUsable)
        return;
    logged->second = reason;
    Utils::logEvent(Utils::Event::EntryRejected,
                    {{"what", "server"},
                     {"server", row.key},
                     {"reason", reason},
                     {"withdrawn", wasUsable},
                     {"era", row.version.era},
                     {"version", row.version.number}});
}

auto BackendFollower::handleEraChanged() -> void
{
    m_isReadingCopy = true;
    m_wasStoreLost = true;
    m_regainedAt = m_context.reactor.now();
    // The copy may be older than the announcement of these servers.
    for (const BackendServer *server : m_context.board.servers()) {
        if (server->isLeaving)
            m_context.board.noteLeaving(server->id, server->startedAtMs);
    }
}

/// A copy holds the rows of the eras before it, so its numbers can be compared with theirs.
auto BackendFollower::isEndedInCopy(const BackendServer &server,
                                    const Utils::StoreVersion &row) const -> bool
{
    return std::any_of(m_ended.begin(), m_ended.end(), [&](const EndedServer &ended) {
        return ended.id == server.id && ended.startedAtMs >= server.startedAtMs
            && row.number <= ended.removedAt;
    });
}

auto BackendFollower::remove(const std::string &id, bool hasLapsed,
                             const Utils::StoreVersion &version) -> void
{
    if (const BackendServer *server = m_context.board.find(id)) {
        m_ended.push_back({id, server->startedAtMs, version.number});
        if (m_ended.size() > MaxEndedServers)
            m_ended.pop_front();
    }
    m_context.board.remove(id);
    Utils::logEvent(
        Utils::Event::BackendGone,
        {{"server", id}, {"lapsed", hasLapsed}, {"era", version.era}, {"version", version.number}});
    m_events.onGone(id);
}

auto BackendFollower::removeIfStillExpired(const std::string &id) -> void
{
    if (m_expired.erase(id) > 0)
        remove(id, true, m_follower->completeVersion());
}

} // namespace Gateway
