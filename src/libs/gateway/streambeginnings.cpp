#include "streambeginnings.h"

#include "gatewayconstants.h"

namespace Gateway {

StreamBeginnings::StreamBeginnings(UnprovedCallback onUnproved)
    : m_onUnproved(std::move(onUnproved))
{ }

auto StreamBeginnings::add(Beginning beginning, Utils::TimePoint listedUntil) -> void
{
    const auto isProved = [listedUntil](const Beginning &one) {
        return one.connectedAt <= listedUntil;
    };
    m_beginnings.remove_if(isProved);
    if (isProved(beginning))
        return;
    m_beginnings.push_back(std::move(beginning));
    if (m_beginnings.size() <= Constants::MaxStreamBeginnings)
        return;
    const Beginning oldest = std::move(m_beginnings.front());
    m_beginnings.pop_front();
    m_onUnproved(oldest);
}

auto StreamBeginnings::noteRestart(const std::string &server, std::int64_t startedAtMs,
                                   Utils::TimePoint startedAfter) -> void
{
    std::list<Beginning> unproved;
    for (auto it = m_beginnings.begin(); it != m_beginnings.end();) {
        const auto next = std::next(it);
        if (it->server == server && it->startedAtMs < startedAtMs) {
            if (it->connectedAt > startedAfter)
                unproved.splice(unproved.end(), m_beginnings, it);
            else
                m_beginnings.erase(it);
        }
        it = next;
    }
    for (const Beginning &beginning : unproved)
        m_onUnproved(beginning);
}

} // namespace Gateway
