#include "loadhistory.h"

namespace Explain {

using Utils::Event;

namespace {

/// Statuses by which an engine accepts an order.
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
    const bool makesRoom = order.event == Event::UnloadOrdered
        && contains(order.text, ":" + std::string(end.baseModel()));
    return makesRoom || isForModel(order, end);
}

auto LoadHistory::of(const RequestEnd &end, const Timeline &timeline) -> LoadHistory
{
    LoadHistory history;
    std::map<std::string_view, ContextEvent> open;
    const auto range =
        Timeline::between(timeline.orders(), end.arrivedAt - OrderLookBack, end.endedAt);
    for (auto order = range.first; order != range.second; ++order) {
        const bool isInWait = order->time >= end.arrivedAt;
        if (concernsModel(*order, end))
            history.ofModel.push_back(*order);
        if (!isForModel(*order, end)) {
            history.loadsOfOthers += isInWait && order->event == Event::LoadOrdered ? 1 : 0;
            history.unloadsOfOthers += isInWait && order->event == Event::UnloadOrdered ? 1 : 0;
            continue;
        }
        if (order->event == Event::LoadOrdered) {
            open[order->server] = *order;
        } else if (order->event == Event::LoadConfirmed) {
            open.erase(order->server);
            if (isInWait)
                history.confirmed = *order;
        } else if (order->event == Event::LoadFailed) {
            open.erase(order->server);
            if (isInWait)
                history.failed = *order;
        } else if (order->event == Event::OrderAnswered && order->flag && isInWait) {
            if (order->number == 0)
                history.unanswered = *order;
            else if (!isAccepted(order->number))
                history.rejected = *order;
        }
        // An adapter's order has no line but its answer.
        if (order->event == Event::OrderAnswered && !order->adapter.empty()
            && isAccepted(order->number)) {
            if (order->flag)
                open[order->server] = *order;
        }
        const bool isAdaptersUnload = order->event == Event::OrderAnswered && !order->flag
            && !order->adapter.empty() && isAccepted(order->number);
        if (isAdaptersUnload || order->event == Event::UnloadOrdered) {
            open.erase(order->server);
            if (history.confirmed && history.confirmed->server == order->server)
                history.confirmed.reset();
            if (isInWait)
                history.unloaded = *order;
        }
    }
    for (const auto &[server, order] : open) {
        if (!history.openLoad || history.openLoad->time < order.time)
            history.openLoad = order;
    }
    if (!history.openLoad)
        return history;
    const auto later =
        Timeline::between(timeline.orders(), end.endedAt, end.endedAt + OrderLookBack);
    for (auto order = later.first; order != later.second && !history.confirmedAfter; ++order) {
        if (order->event == Event::LoadConfirmed && isForModel(*order, end)
            && order->server == history.openLoad->server)
            history.confirmedAfter = *order;
    }
    return history;
}

} // namespace Explain
