#pragma once

#include "machineslowdown.h"
#include "milliseconds.h"
#include "serverspeed.h"
#include "tokenledger.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace Routing {

/// What is measured about one incarnation of a server; dropped with it.
struct ServerState
{
    std::uint32_t handle = 0; ///< Unique to the incarnation, for the index of prompt caches.
    MachineSlowdown slowdown;
    ServerSpeed beginning; ///< Time until the first event, or until the whole answer.
    ServerSpeed perEvent;
    TokenLedger tokens;
    std::optional<Milliseconds> connectTime; ///< Shortest time that a connection took to open.

    auto noteConnected(Milliseconds time) -> void
    {
        connectTime = std::min(connectTime.value_or(time), time);
    }
};

/// A server as it is when the service is looked at as a whole.
struct ServerView
{
    const ServerState *state = nullptr;
    double load = 0;
    int capacity = 1;
    bool isRemote = false;
};

} // namespace Routing
