#include "backendfollower.h"

#include "backendregistry.h"
#include "gatewayconstants.h"
#include "gatewaycontext.h"
#include "wireformat.h"

#include <net/reactor.h>
#include <utils/eventlog.h>

namespace Gateway {

BackendFollower::BackendFollower(GatewayContext &context, RowStore &store, std::string table,
                                 std::chrono::milliseconds pollInterval, Events events)
    : m_context(context)
    , m_events(std::move(events))
{
    TableFollower::Events followerEvents;
    followerEvents.onRow = [this](const Row &row) { handleRow(row); };
    followerEvents.onCaughtUp = [] {};
    followerEvents.onConfirmed = [](Utils::TimePoint) {};
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
        const auto now = m_context.reactor.now();
        const bool mayHaveExpired =
            m_wasStoreLost && now - m_regainedAt < Constants::ExpiredEntryGracePeriod;
        if (!mayHaveExpired) {
            m_context.board.remove(row.key);
            Utils::logEvent(Utils::Event::BackendGone,
                            {{"server", row.key}, {"version", row.version}});
            m_events.onGone(row.key);
            return;
        }
        m_expired.insert(row.key);
        m_context.reactor.callAfter(Constants::ExpiredEntryGracePeriod,
                                    [this, alive = m_alive, id = row.key] {
                                        if (*alive)
                                            removeIfStillExpired(id);
                                    });
        return;
    }
    const auto server = m_context.wire.parseBackend(row.key, row.value);
    if (!server) {
        Utils::logEvent(Utils::Event::EntryRejected,
                        {{"what", "server"}, {"server", row.key}, {"reason", server.error()}});
        return;
    }
    m_expired.erase(row.key);
    const BackendServer *known = m_context.board.find(row.key);
    const bool isNewIncarnation = known && server->startedAtMs > known->startedAtMs;
    const bool changesState = !known || isNewIncarnation || known->isLeaving != server->isLeaving;
    m_context.board.update(*server, m_context.reactor.now());
    if (isNewIncarnation)
        m_events.onGone(row.key);
    if (changesState)
        Utils::logEvent(Utils::Event::BackendChanged,
                        {{"server", server->id},
                         {"service", server->service},
                         {"address", server->address.toString()},
                         {"leaving", server->isLeaving},
                         {"models", server->models.size()},
                         {"version", row.version}});
    m_events.onChanged();
}

auto BackendFollower::removeIfStillExpired(const std::string &id) -> void
{
    if (m_expired.erase(id) == 0)
        return;
    m_context.board.remove(id);
    Utils::logEvent(Utils::Event::BackendGone, {{"server", id}, {"lapsed", true}});
    m_events.onGone(id);
}

} // namespace Gateway
