#include "loadhistory.h"

namespace Explain {

using Utils::Event;

namespace {

/// Whether an engine accepted the order that it answered with this status.
auto isAccepted(std::int64_t status) -> bool
{
    return status >= 200 && status < 300;
}

auto isForModel(const ContextEvent &order, const RequestEnd &end) -> bool
{
    return order.model == end.baseModel()
        && (order.adapter.empty() || order.adapter == end.adapter());
}

} // namespace

auto concernsModel(const ContextEvent &order, const RequestEnd &end) -> bool
{
    if (end.model.empty())
        return false;
    const bool freesMemory = order.event == Event::UnloadOrdered
        && contains(order.text, ":" + std::string(end.baseModel()));
    return freesMemory || isForModel(order, end);
}

auto LoadHistory::create(const RequestEnd &end, const Timeline &timeline) -> LoadHistory
{
    LoadHistory history;
    std::map<std::string_view, ContextEvent> pendingLoads;
    const auto range =
        Timeline::between(timeline.orders(), end.arrivedAt - OrderLookBack, end.endedAt);
    for (auto order = range.first; order != range.second; ++order) {
        const bool isWhileWaiting = order->time >= end.arrivedAt;
        if (concernsModel(*order, end))
            history.modelEvents.push_back(*order);
        if (!isForModel(*order, end)) {
            history.otherLoads += isWhileWaiting && order->event == Event::LoadOrdered ? 1 : 0;
            history.otherUnloads += isWhileWaiting && order->event == Event::UnloadOrdered ? 1 : 0;
            continue;
        }
        if (order->event == Event::LoadOrdered) {
            pendingLoads[order->server] = *order;
        } else if (order->event == Event::LoadConfirmed) {
            pendingLoads.erase(order->server);
            if (isWhileWaiting)
                history.confirmedLoad = *order;
        } else if (order->event == Event::LoadFailed) {
            pendingLoads.erase(order->server);
            if (isWhileWaiting)
                history.failedLoad = *order;
        } else if (order->event == Event::OrderAnswered && order->isLeavingOrLoad
                   && isWhileWaiting) {
            if (order->value == 0)
                history.unansweredLoad = *order;
            else if (!isAccepted(order->value))
                history.rejectedLoad = *order;
        }
        // For an adapter's order only the answer is logged.
        if (order->event == Event::OrderAnswered && !order->adapter.empty()
            && isAccepted(order->value)) {
            if (order->isLeavingOrLoad)
                pendingLoads[order->server] = *order;
        }
        const bool isAdapterUnload = order->event == Event::OrderAnswered && !order->isLeavingOrLoad
            && !order->adapter.empty() && isAccepted(order->value);
        if (isAdapterUnload || order->event == Event::UnloadOrdered) {
            pendingLoads.erase(order->server);
            if (history.confirmedLoad && history.confirmedLoad->server == order->server)
                history.confirmedLoad.reset();
            if (isWhileWaiting)
                history.lastUnload = *order;
        }
    }
    for (const auto &[server, order] : pendingLoads) {
        if (!history.pendingLoad || history.pendingLoad->time < order.time)
            history.pendingLoad = order;
    }
    if (!history.pendingLoad)
        return history;
    const auto later =
        Timeline::between(timeline.orders(), end.endedAt, end.endedAt + OrderLookBack);
    for (auto order = later.first; order != later.second && !history.lateConfirmation; ++order) {
        if (order->event == Event::LoadConfirmed && isForModel(*order, end)
            && order->server == history.pendingLoad->server)
            history.lateConfirmation = *order;
    }
    return history;
}

} // namespace Explain
