#include "slotwaitestimator.h"

#include "admissionconstants.h"

namespace Admission {

using Utils::TimePoint;

auto makeSlotWaitEstimator() -> std::unique_ptr<WaitEstimator>
{
    return std::make_unique<SlotWaitEstimator>();
}

auto SlotWaitEstimator::noteWaiting(const WaitingRequest &request, TimePoint now) -> void
{
    if (m_histories.size() > Constants::MaxHistories)
        std::erase_if(m_histories, [now](const auto &item) { return item.second.isObsolete(now); });
    m_histories[request.pool()].noteWaiting(now);
    m_histories[request.urgencyClass()].noteWaiting(now);
}

auto SlotWaitEstimator::noteGranted(const WaitingRequest &request, TimePoint now) -> void
{
    m_histories[request.pool()].noteGranted(now);
    m_histories[request.urgencyClass()].noteGranted(now);
}

auto SlotWaitEstimator::noteEnded(const WaitingRequest &request, TimePoint) -> void
{
    m_histories[request.pool()].noteEnded();
    m_histories[request.urgencyClass()].noteEnded();
}

auto SlotWaitEstimator::estimate(const WaitingRequest &request, const Ahead &ahead, TimePoint now)
    -> std::optional<WaitEstimate>
{
    const auto byPool = m_histories[request.pool()].estimate(ahead.inPool + 1, now);
    const auto byClass = m_histories[request.urgencyClass()].estimate(ahead.inClass + 1, now);
    if (!byPool || !byClass)
        return byPool ? byPool : byClass;
    return byClass->lowerBound() > byPool->lowerBound() ? byClass : byPool;
}

auto SlotWaitEstimator::waitingSince(const WaitingRequest &request) const
    -> std::optional<TimePoint>
{
    const auto found = m_histories.find(request.pool());
    return found == m_histories.end() ? std::nullopt : found->second.waitingSince();
}

} // namespace Admission
