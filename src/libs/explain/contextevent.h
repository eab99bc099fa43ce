#pragma once

#include <utils/eventlog.h>

#include <chrono>
#include <cstdint>
#include <string_view>

namespace Explain {

/// Something that a gateway did or learned beside its requests. The texts belong to the timeline.
struct ContextEvent
{
    std::chrono::milliseconds time{0};
    Utils::Event event = Utils::Event::AssertionFailed;
    /// A server's: that it leaves. An order's: that it is a load.
    bool isLeavingOrLoad = false;
    /// A configuration's version, an order's status, a lease's fence, a pause in milliseconds.
    std::int64_t value = -1;
    std::string_view gateway;
    std::string_view server;
    std::string_view model; ///< Without adapter.
    std::string_view adapter;
    std::string_view text; ///< The event's other fields, for people.
};

} // namespace Explain
