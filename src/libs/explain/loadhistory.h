#pragma once

#include "requestend.h"
#include "timeline.h"

namespace Explain {

/// Orders for a request's model are considered from this long before its arrival.
constexpr std::chrono::milliseconds OrderLookBack(10000);

/// The load and unload orders for a request's model while the request waited.
struct LoadHistory
{
    Timeline::Events modelEvents; ///< From `OrderLookBack` before the arrival to the end.
    size_t otherLoads = 0; ///< While the request waited.
    size_t otherUnloads = 0;
    std::optional<ContextEvent>
        pendingLoad; ///< Ordered, and neither confirmed nor failed by the end.
    std::optional<ContextEvent>
        confirmedLoad; ///< The last load confirmed while the request waited.
    std::optional<ContextEvent> failedLoad;
    std::optional<ContextEvent> lastUnload; ///< The last unload of it while the request waited.
    std::optional<ContextEvent> unansweredLoad; ///< A load order whose answer was lost.
    std::optional<ContextEvent> rejectedLoad; ///< A load order that the engine did not accept.
    std::optional<ContextEvent> lateConfirmation; ///< Confirms `pendingLoad` after the end.

    static auto create(const RequestEnd &end, const Timeline &timeline) -> LoadHistory;
};

/// Whether the order is for the request's model, or frees memory for it.
auto concernsModel(const ContextEvent &order, const RequestEnd &end) -> bool;

} // namespace Explain
