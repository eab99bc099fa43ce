#include "faultinjector.h"

#include <net/reactor.h>
#include <utils/jsonfield.h>

namespace StandIns {

using nlohmann::json;

auto FaultInjector::update(const std::string &body) -> bool
{
    const json order = json::parse(body, nullptr, false);
    if (!order.is_object() || !order.contains("part") || !order["part"].is_string())
        return false;
    InjectedFault &fault = m_faults[order["part"].get<std::string>()];
    fault.isDown = Utils::fieldOr(order, "down", false);
    fault.losesAnswers = Utils::fieldOr(order, "loseAnswers", false);
    fault.delay = std::chrono::milliseconds(Utils::fieldOr(order, "delayMs", 0));
    return true;
}

auto FaultInjector::faultFor(const std::string &part) const -> InjectedFault
{
    const auto found = m_faults.find(part);
    return found == m_faults.end() ? InjectedFault() : found->second;
}

auto FaultInjector::apply(Net::Reactor &reactor, const std::string &part,
                          const std::function<void()> &effect,
                          const std::function<void()> &answer) const -> void
{
    const InjectedFault fault = faultFor(part);
    if (fault.isDown)
        return;
    const auto respond = [fault, effect, answer] {
        effect();
        if (!fault.losesAnswers)
            answer();
    };
    if (fault.delay.count() > 0)
        reactor.callAfter(fault.delay, respond);
    else
        respond();
}

} // namespace StandIns
