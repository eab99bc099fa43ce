#pragma once

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <string>

namespace Entry {

/// The latest decisions on requests, so that operators can look up why a request was refused.
class DecisionLog
{
public:
    explicit DecisionLog(size_t maxDecisions);

    auto add(const std::string &requestId, const nlohmann::json &decision) -> void;
    /// The decision on a request; null if there is none.
    auto find(const std::string &requestId) const -> nlohmann::json;

private:
    size_t m_maxDecisions;
    std::deque<std::string> m_order;
    std::map<std::string, nlohmann::json> m_decisions;
};

} // namespace Entry
