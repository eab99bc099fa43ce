#pragma once

#include "granthistory.h"
#include "waitestimator.h"

#include <map>
#include <string>

namespace Admission {

/// Uses the rate at which the pool's waiting requests got slots, and the rate for the request's own
/// urgency, which is lower where more urgent requests keep arriving; the longer wait counts.
class SlotWaitEstimator : public WaitEstimator
{
public:
    auto noteWaiting(const WaitingRequest &request, Utils::TimePoint now) -> void override;
    auto noteGranted(const WaitingRequest &request, Utils::TimePoint now) -> void override;
    auto noteEnded(const WaitingRequest &request, Utils::TimePoint now) -> void override;
    auto estimate(const WaitingRequest &request, const Ahead &ahead, Utils::TimePoint now)
        -> std::optional<WaitEstimate> override;
    auto waitingSince(const WaitingRequest &request) const
        -> std::optional<Utils::TimePoint> override;

private:
    std::map<std::string, GrantHistory> m_histories; ///< By pool, and by urgency class.
};

} // namespace Admission
