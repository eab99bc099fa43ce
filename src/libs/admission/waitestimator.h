#pragma once

#include "waitestimate.h"
#include "waitingrequest.h"

#include <memory>
#include <optional>

namespace Admission {

/// Estimates from the slots that waiting requests got how long others have to wait. Opens no socket
/// and reads no clock.
class WaitEstimator
{
public:
    /// Number of requests that get a slot before another one.
    struct Ahead
    {
        int inPool = 0;
        int inClass = 0; ///< Of the same pool and urgency.
    };

    virtual ~WaitEstimator() = default;
    virtual auto noteWaiting(const WaitingRequest &request, Utils::TimePoint now) -> void = 0;
    /// A waiting request has got a slot; it still waits until `noteEnded`.
    virtual auto noteGranted(const WaitingRequest &request, Utils::TimePoint now) -> void = 0;
    virtual auto noteEnded(const WaitingRequest &request, Utils::TimePoint now) -> void = 0;
    /// Unset if too few requests got a slot lately.
    virtual auto estimate(const WaitingRequest &request, const Ahead &ahead, Utils::TimePoint now)
        -> std::optional<WaitEstimate> = 0;
    /// Since when requests of the pool wait without a break.
    virtual auto waitingSince(const WaitingRequest &request) const
        -> std::optional<Utils::TimePoint> = 0;
};

auto makeSlotWaitEstimator() -> std::unique_ptr<WaitEstimator>;

} // namespace Admission
