#include "retrybudget.h"

#include <algorithm>

namespace Routing {

RetryBudget::RetryBudget(double ratio, double most)
    : m_ratio(ratio)
    , m_most(most)
    , m_saved(most)
{ }

auto RetryBudget::noteRequest() -> void
{
    m_saved = std::min(m_most, m_saved + m_ratio);
}

auto RetryBudget::takeRetry() -> bool
{
    if (m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

} // namespace Routing
