#pragma once

#include <admission/requestscheduler.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace LoadModels {

/// The order without shares: by customer priority, route priority and objective. The tests show
/// that their load patterns starve requests in this order.
class StrictOrder : public Admission::RequestScheduler
{
public:
    auto noteArrived(const Admission::WaitingRequest &, Utils::TimePoint) -> void override { }
    auto noteSent(const Admission::WaitingRequest &, Utils::TimePoint) -> void override { }
    auto noteAnswered(const Admission::WaitingRequest &, Utils::Duration) -> void override { }
    auto add(const Admission::WaitingRequest &request) -> void override
    {
        m_requests[request.id] = request;
    }
    auto remove(std::uint64_t id, Utils::TimePoint) -> void override { m_requests.erase(id); }
    auto find(std::uint64_t id) const -> const Admission::WaitingRequest * override
    {
        const auto found = m_requests.find(id);
        return found == m_requests.end() ? nullptr : &found->second;
    }
    auto hasClaimBefore(const Admission::WaitingRequest &, Utils::TimePoint) const -> bool override
    {
        return false;
    }
    auto order(Utils::TimePoint) -> std::vector<std::uint64_t> override
    {
        std::vector<std::tuple<int, int, Utils::TimePoint, std::uint64_t>> sorted;
        for (const auto &[id, request] : m_requests)
            sorted.emplace_back(request.customerPriority, request.routePriority, request.objective,
                                id);
        std::sort(sorted.begin(), sorted.end());
        std::vector<std::uint64_t> ids;
        for (const auto &entry : sorted)
            ids.push_back(std::get<std::uint64_t>(entry));
        return ids;
    }
    auto waitingByRoute() const -> std::map<std::string, int> override { return {}; }
    auto oldestArrival() const -> std::optional<Utils::TimePoint> override { return {}; }

private:
    std::map<std::uint64_t, Admission::WaitingRequest> m_requests;
};

} // namespace LoadModels
