#include "decisionlog.h"

namespace Entry {

DecisionLog::DecisionLog(size_t maxDecisions)
    : m_maxDecisions(maxDecisions)
{ }

auto DecisionLog::add(const std::string &requestId, const nlohmann::json &decision) -> void
{
    if (m_decisions.insert_or_assign(requestId, decision).second)
        m_order.push_back(requestId);
    if (m_order.size() <= m_maxDecisions)
        return;
    m_decisions.erase(m_order.front());
    m_order.pop_front();
}

auto DecisionLog::find(const std::string &requestId) const -> nlohmann::json
{
    const auto found = m_decisions.find(requestId);
    return found == m_decisions.end() ? nlohmann::json() : found->second;
}

} // namespace Entry
