#include "retrybudget.h"

#include <algorithm>

namespace Routing {

RetryBudget::RetryBudget(double ratio, double maxSaved)
    : m_ratio(ratio)
    , m_maxSaved(maxSaved)
    , m_saved(maxSaved)
{ }

auto RetryBudget::noteRequest() -> void
{
    m_saved = std::min(m_maxSaved, m_saved + m_ratio);
}

auto RetryBudget::takeRetry() -> bool
{
    if (m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

auto RetryBudget::setLimits(double ratio, double maxSaved) -> void
{
    m_ratio = ratio;
    m_maxSaved = maxSaved;
    m_saved = std::min(m_saved, maxSaved);
}

} // namespace Routing
