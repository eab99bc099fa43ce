#include "backendfollower.h"

#include "backendregistry.h"
#include "gatewayconstants.h"
#include "gatewaycontext.h"
#include "wireformat.h"

#include <net/reactor.h>
#include <utils/eventlog.h>

namespace Gateway {

BackendFollower::BackendFollower(GatewayContext &context, RowStore &store, std::string table,
                                 std::chrono::milliseconds pause, Events events)
    : m_context(context)
    , m_events(std::move(events))
{
    TableFollower::Events following;
    following.onRow = [this](const Row &row) { handleRow(row); };
    following.onCaughtUp = [] {};
    following.onConfirmed = [](Utils::TimePoint) {};
    following.onLost = [this](StoreError error) {
        m_wasLost = true;
        Utils::logEvent(Utils::Event::StoreUnavailable,
                        {{"what", "servers"}, {"error", static_cast<int>(error)}});
    };
    following.onRegained = [this] {
        if (m_wasLost)
            m_regainedAt = m_context.reactor.now();
        Utils::logEvent(Utils::Event::StoreRegained, {{"what", "servers"}});
    };
    m_follower = std::make_unique<TableFollower>(context.reactor, store, std::move(table), pause,
                                                 std::move(following));
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
        const bool mayHaveLapsed =
            m_wasLost && now - m_regainedAt < Constants::ExpiredEntryGracePeriod;
        if (!mayHaveLapsed) {
            m_context.board.remove(row.key);
            Utils::logEvent(Utils::Event::BackendGone,
                            {{"server", row.key}, {"version", row.version}});
            m_events.onGone(row.key);
            return;
        }
        m_lapsed.insert(row.key);
        m_context.reactor.callAfter(Constants::ExpiredEntryGracePeriod,
                                    [this, alive = m_alive, id = row.key] {
                                        if (*alive)
                                            removeIfStillLapsed(id);
                                    });
        return;
    }
    const auto server = m_context.wire.parseBackend(row.key, row.value);
    if (!server) {
        Utils::logEvent(Utils::Event::EntryRejected,
                        {{"what", "server"}, {"server", row.key}, {"reason", server.error()}});
        return;
    }
    m_lapsed.erase(row.key);
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

auto BackendFollower::removeIfStillLapsed(const std::string &id) -> void
{
    if (m_lapsed.erase(id) == 0)
        return;
    m_context.board.remove(id);
    Utils::logEvent(Utils::Event::BackendGone, {{"server", id}, {"lapsed", true}});
    m_events.onGone(id);
}

} // namespace Gateway
