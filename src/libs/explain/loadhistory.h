#pragma once

#include "requestend.h"
#include "timeline.h"

namespace Explain {

/// How long before a request the orders of its model still matter to it.
constexpr std::chrono::milliseconds OrderLookBack(10000);

/// What was ordered for a request's model while the request waited.
struct LoadHistory
{
    Timeline::Events ofModel; ///< From `OrderLookBack` before the arrival to the end.
    size_t loadsOfOthers = 0; ///< While the request waited.
    size_t unloadsOfOthers = 0;
    std::optional<ContextEvent> openLoad; ///< Ordered, and neither confirmed nor failed by the end.
    std::optional<ContextEvent> confirmed; ///< The last load confirmed while the request waited.
    std::optional<ContextEvent> failed;
    std::optional<ContextEvent> unloaded; ///< The last unload of it while the request waited.
    std::optional<ContextEvent> unanswered; ///< A load order whose answer was lost.
    std::optional<ContextEvent> rejected; ///< A load order that the engine did not accept.
    std::optional<ContextEvent> confirmedAfter; ///< The open load, confirmed after the end.

    static auto of(const RequestEnd &end, const Timeline &timeline) -> LoadHistory;
};

/// Whether the order is for the request's model, or makes room for it.
auto concernsModel(const ContextEvent &order, const RequestEnd &end) -> bool;

} // namespace Explain
