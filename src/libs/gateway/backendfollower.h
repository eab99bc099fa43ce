#pragma once

#include "tablefollower.h"

#include <utils/timepoint.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace Gateway {

struct GatewayContext;

/// Synchronizes the registry of backend servers with the list in the store. Entries that vanish
/// during an outage of the store may merely have expired; they are kept until their servers have
/// had time to write them again.
class BackendFollower
{
public:
    struct Events
    {
        std::function<void(const std::string &id)>
            onGone; ///< A server or its incarnation has ended.
        std::function<void()> onChanged;
    };

    /// Waits for `pause` between two polls, so that changes in quick succession arrive together.
    BackendFollower(GatewayContext &context, RowStore &store, std::string table,
                    std::chrono::milliseconds pollInterval, Events events);
    ~BackendFollower();

    auto start() -> void;
    auto follower() -> TableFollower &;

private:
    auto handleRow(const Row &row) -> void;
    auto removeIfStillExpired(const std::string &id) -> void;

    GatewayContext &m_context;
    Events m_events;
    Utils::TimePoint m_regainedAt;
    bool m_wasStoreLost = false;
    std::set<std::string> m_expired;
    std::unique_ptr<TableFollower> m_follower;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Gateway
