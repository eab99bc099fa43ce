#pragma once

#include <utils/timepoint.h>

namespace Routing {

/// Limits retries to a fraction of the requests, so that retries do not overload a failing fleet.
class RetryBudget
{
public:
    /// Each request earns `ratio` of a retry; at most `maxSaved` retries are saved up.
    RetryBudget(double ratio, double maxSaved);

    auto noteRequest() -> void;
    /// Uses one saved retry; returns false if there is none.
    auto takeRetry() -> bool;
    /// Changes the limits; adds no retries.
    auto setLimits(double ratio, double maxSaved) -> void;

private:
    double m_ratio;
    double m_maxSaved;
    double m_saved;
};

} // namespace Routing
