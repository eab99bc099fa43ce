#include "admissionqueue.h"

#include "admissionconstants.h"

#include <algorithm>

namespace Admission {

using Utils::TimePoint;

namespace {

auto retryAfter(Utils::Duration wait) -> std::chrono::milliseconds
{
    return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(wait), Constants::MinRetryAfter,
                      Constants::MaxRetryAfter);
}

} // namespace

AdmissionQueue::AdmissionQueue(std::unique_ptr<QueueOrder> order, int slots,
                               Utils::Duration typicalService)
    : m_order(std::move(order))
    , m_slots(slots)
    , m_serviceTime(typicalService)
{ }

auto AdmissionQueue::enqueue(const QueuedRequest &request, Utils::Duration startDelay,
                             TimePoint now) -> std::optional<Refusal>
{
    const auto wait = std::max(expectedWait(), startDelay);
    if (request.deadline <= now)
        return Refusal{RefusalReason::DeadlinePassed, Ran::No, retryAfter(wait), {}, {}, {}, {}};
    if (m_waiting.size() >= Constants::MaxQueued)
        return Refusal{RefusalReason::QueueFull, Ran::No, retryAfter(wait), {}, {}, {}, {}};
    if (now + wait > request.deadline)
        return Refusal{RefusalReason::WouldMissDeadline, Ran::No, retryAfter(wait), {}, {}, {}, {}};
    m_order->noteArrival(request, m_waitingByCustomer);
    m_waiting.push_back(request);
    ++m_waitingByCustomer[request.customer];
    return std::nullopt;
}

auto AdmissionQueue::decrementWaiting(const QueuedRequest &request) -> void
{
    const auto found = m_waitingByCustomer.find(request.customer);
    if (--found->second == 0)
        m_waitingByCustomer.erase(found);
}

auto AdmissionQueue::next(const std::function<bool(const QueuedRequest &)> &isReady)
    -> std::optional<QueuedRequest>
{
    if (m_running >= m_slots)
        return std::nullopt;
    std::vector<const QueuedRequest *> ready;
    for (const auto &request : m_waiting) {
        if (isReady(request))
            ready.push_back(&request);
    }
    if (ready.empty())
        return std::nullopt;
    const QueuedRequest chosen = *ready[m_order->choose(ready)];
    remove(chosen.id);
    ++m_running;
    return chosen;
}

auto AdmissionQueue::finish(const QueuedRequest &request, double tokens, Utils::Duration taken)
    -> void
{
    --m_running;
    m_order->noteServed(request, tokens);
    m_serviceTime.note(taken);
}

auto AdmissionQueue::remove(std::uint64_t id) -> bool
{
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [id](const auto &r) { return r.id == id; });
    if (found == m_waiting.end())
        return false;
    decrementWaiting(*found);
    m_waiting.erase(found);
    return true;
}

auto AdmissionQueue::takeExpired(TimePoint now) -> std::vector<QueuedRequest>
{
    const auto firstExpired =
        std::stable_partition(m_waiting.begin(), m_waiting.end(),
                              [now](const auto &request) { return request.deadline > now; });
    std::vector<QueuedRequest> expired(firstExpired, m_waiting.end());
    m_waiting.erase(firstExpired, m_waiting.end());
    for (const auto &request : expired)
        decrementWaiting(request);
    return expired;
}

auto AdmissionQueue::takeAll() -> std::vector<QueuedRequest>
{
    m_waitingByCustomer.clear();
    return std::exchange(m_waiting, {});
}

auto AdmissionQueue::expectedWait() const -> Utils::Duration
{
    if (m_running < m_slots)
        return Utils::Duration::zero();
    const double rounds = static_cast<double>(m_waiting.size() + 1) / m_slots;
    return Utils::fromSeconds(rounds * Utils::toSeconds(m_serviceTime.mean()));
}

auto AdmissionQueue::waiting() const -> size_t
{
    return m_waiting.size();
}

auto AdmissionQueue::running() const -> int
{
    return m_running;
}

auto AdmissionQueue::nextDeadline() const -> std::optional<TimePoint>
{
    std::optional<TimePoint> earliest;
    for (const auto &request : m_waiting)
        earliest = earliest ? std::min(*earliest, request.deadline) : request.deadline;
    return earliest;
}

auto AdmissionQueue::hasWaitingFor(const std::string &model) const -> bool
{
    return std::any_of(m_waiting.begin(), m_waiting.end(),
                       [&model](const auto &request) { return request.model == model; });
}

} // namespace Admission
