#pragma once

#include <utils/eventlog.h>

#include <chrono>
#include <cstdint>
#include <string_view>

namespace Explain {

/// An event in a gateway's log that is not part of a request. The timeline owns the texts.
struct ContextEvent
{
    std::chrono::milliseconds time{0};
    Utils::Event event = Utils::Event::AssertionFailed;
    /// For a server: it is leaving. For an order: it is a load, not an unload.
    bool isLeavingOrLoad = false;
    /// A configuration's version, an order's status, a lease's fence or a pause in milliseconds.
    std::int64_t value = -1;
    std::string_view gateway;
    std::string_view server;
    std::string_view model; ///< Without adapter.
    std::string_view adapter;
    std::string_view text; ///< The event's other fields, for display.
};

} // namespace Explain
