#pragma once

#include "tablefollower.h"

#include <utils/timepoint.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Gateway {

struct BackendServer;
struct GatewayContext;

/// Synchronizes the registry of backend servers with the list in the store. Entries that vanish
/// during an outage of the store may merely have expired, or been lost by its copy; they are kept
/// until their servers have had time to write them again. A copy doesn't bring back servers that
/// are known to have ended or to be leaving, until they write again. A server whose entry another
/// writer has overwritten with something else gets no new requests until it writes again; it is
/// not taken for ended.
class BackendFollower
{
public:
    struct Events
    {
        std::function<void(const std::string &id)>
            onGone; ///< A server or its incarnation has ended.
        std::function<void()> onChanged;
        /// An incarnation of a server is listed that was not before; called before the registry is
        /// changed.
        std::function<void(const BackendServer &)> onStarted = nullptr;
        /// The registry contains what the store's list held at that time.
        std::function<void(Utils::TimePoint at)> onConfirmed = nullptr;
    };

    /// Waits for `pause` between two polls, so that changes in quick succession arrive together.
    BackendFollower(GatewayContext &context, RowStore &store, std::string table,
                    std::chrono::milliseconds pollInterval, Events events);
    ~BackendFollower();

    auto start() -> void;
    auto follower() -> TableFollower &;
    /// The list contains all entries that were written up to this time.
    auto confirmedAt() const -> Utils::TimePoint { return m_confirmedAt; }

private:
    struct EndedServer
    {
        std::string id;
        std::int64_t startedAtMs = 0;
        std::uint64_t removedAt = 0; ///< Number of the store's version then.
    };

    auto handleEraChanged() -> void;
    auto handleRow(const Row &row) -> void;
    auto handleUnreadableRow(const Row &row, const std::string &reason) -> void;
    /// True if the copy's row is from before the server's end.
    auto isEndedInCopy(const BackendServer &server, const Utils::StoreVersion &row) const -> bool;
    auto remove(const std::string &id, bool hasLapsed, const Utils::StoreVersion &version) -> void;
    auto removeIfStillExpired(const std::string &id) -> void;

    GatewayContext &m_context;
    Events m_events;
    Utils::TimePoint m_regainedAt;
    Utils::TimePoint m_confirmedAt;
    bool m_wasStoreLost = false;
    std::set<std::string> m_expired;
    std::map<std::string, std::string> m_unreadable; ///< Reasons by key, as logged.
    bool m_isReadingCopy = false; ///< Rows arrive as they were when the store's copy was made.
    std::deque<EndedServer> m_ended; ///< The last ones.
    std::unique_ptr<TableFollower> m_follower;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Gateway
