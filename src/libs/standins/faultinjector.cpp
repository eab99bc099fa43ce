#include "faultorders.h"

#include <net/reactor.h>
#include <utils/jsonfield.h>

namespace StandIns {

using nlohmann::json;

auto FaultOrders::take(const std::string &body) -> bool
{
    const json order = json::parse(body, nullptr, false);
    if (!order.is_object() || !order.contains("part") || !order["part"].is_string())
        return false;
    FaultOrder &fault = m_orders[order["part"].get<std::string>()];
    fault.isDown = Utils::fieldOr(order, "down", false);
    fault.losesAnswers = Utils::fieldOr(order, "loseAnswers", false);
    fault.delay = std::chrono::milliseconds(Utils::fieldOr(order, "delayMs", 0));
    return true;
}

auto FaultOrders::of(const std::string &part) const -> FaultOrder
{
    const auto found = m_orders.find(part);
    return found == m_orders.end() ? FaultOrder() : found->second;
}

auto FaultOrders::apply(Net::Reactor &reactor, const std::string &part,
                        const std::function<void()> &effect,
                        const std::function<void()> &answer) const -> void
{
    const FaultOrder fault = of(part);
    if (fault.isDown)
        return;
    const auto act = [fault, effect, answer] {
        effect();
        if (!fault.losesAnswers)
            answer();
    };
    if (fault.delay.count() > 0)
        reactor.callAfter(fault.delay, act);
    else
        act();
}

} // namespace StandIns
