#pragma once

#include <utils/timepoint.h>

namespace Routing {

/// Limits retries to a part of the requests, so that a failing fleet is not loaded further.
class RetryBudget
{
public:
    /// Each request earns `ratio` of a retry; at most `most` are saved up.
    RetryBudget(double ratio, double maxSaved);

    auto noteRequest() -> void;
    /// Uses up one retry if there is one.
    auto takeRetry() -> bool;

private:
    double m_ratio;
    double m_maxSaved;
    double m_saved;
};

} // namespace Routing
