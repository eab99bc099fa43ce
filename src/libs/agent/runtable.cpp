#include "runtable.h"

#include "agentconstants.h"

namespace Agent {

using Utils::TimePoint;

auto RunTable::add(const RunPointer &run) -> void
{
    const std::uint64_t number = run->queued().id;
    m_runs[number] = run;
    m_numbers[run->request().requestId] = number;
    m_open.insert(number);
}

auto RunTable::at(std::uint64_t number) const -> const RunPointer &
{
    return m_runs.at(number);
}

auto RunTable::find(const std::string &requestId) const -> RunPointer
{
    const auto number = m_numbers.find(requestId);
    return number == m_numbers.end() ? nullptr : m_runs.at(number->second);
}

auto RunTable::open() const -> std::vector<RunPointer>
{
    std::vector<RunPointer> all;
    all.reserve(m_open.size());
    for (const auto number : m_open)
        all.push_back(m_runs.at(number));
    return all;
}

auto RunTable::markEnded(const RunPointer &run, TimePoint now) -> void
{
    run->stage = Run::Stage::Ended;
    run->endedAt = now;
    if (m_open.erase(run->queued().id) > 0)
        m_ended.push_back(run->queued().id);
}

auto RunTable::closeId(const std::string &requestId, TimePoint now) -> bool
{
    const bool isNew = m_closedIds.insert(requestId).second;
    if (isNew)
        m_closedOrder.emplace_back(now, requestId);
    return isNew;
}

auto RunTable::isClosed(const std::string &requestId) const -> bool
{
    return m_closedIds.count(requestId) > 0;
}

auto RunTable::removeExpired(TimePoint now) -> void
{
    while (!m_ended.empty()
           && now - at(m_ended.front())->endedAt > Constants::FinishedRunRetention) {
        const std::uint64_t number = m_ended.front();
        m_ended.pop_front();
        const std::string requestId = at(number)->request().requestId;
        closeId(requestId, now);
        m_numbers.erase(requestId);
        m_runs.erase(number);
    }
    while (!m_closedOrder.empty()
           && now - m_closedOrder.front().first > Constants::ClosedIdRetention) {
        m_closedIds.erase(m_closedOrder.front().second);
        m_closedOrder.pop_front();
    }
}

} // namespace Agent
