#include "loadpacer.h"

#include "placementconstants.h"

#include <algorithm>

namespace Placement {

namespace {

/// Deadlines in the same bucket are ordered by served share.
constexpr std::chrono::milliseconds deadlineBucket(500);

auto hasPriorityOver(const LoadRequest &left, const LoadRequest &right) -> bool
{
    const auto leftBucket = left.deadline.time_since_epoch() / deadlineBucket;
    const auto rightBucket = right.deadline.time_since_epoch() / deadlineBucket;
    if (leftBucket != rightBucket)
        return leftBucket < rightBucket;
    if (left.servedShare != right.servedShare)
        return left.servedShare < right.servedShare;
    return left.id < right.id;
}

} // namespace

LoadPacer::LoadPacer(const LoadLimits &limits)
    : m_limits(limits)
{ }

auto LoadPacer::request(const LoadRequest &request) -> void
{
    if (m_granted.count(request.id) == 0)
        m_waiting[request.id] = request;
}

auto LoadPacer::withdraw(std::uint64_t id) -> void
{
    m_waiting.erase(id);
}

auto LoadPacer::finish(std::uint64_t id) -> void
{
    m_granted.erase(id);
}

auto LoadPacer::dropExpired(Utils::TimePoint now) -> void
{
    std::erase_if(m_granted, [now](const auto &entry) { return entry.second <= now; });
    std::erase_if(m_waiting, [now](const auto &entry) { return entry.second.deadline <= now; });
}

auto LoadPacer::grant(Utils::TimePoint now) -> std::vector<LoadRequest>
{
    dropExpired(now);
    std::vector<LoadRequest> granted;
    while (!m_waiting.empty() && now >= m_nextStart
           && m_granted.size() < static_cast<size_t>(m_limits.maxConcurrent)) {
        const auto first =
            std::min_element(m_waiting.begin(), m_waiting.end(), [](const auto &a, const auto &b) {
                return hasPriorityOver(a.second, b.second);
            });
        granted.push_back(first->second);
        m_granted[first->first] = now + Constants::SlotLease;
        m_waiting.erase(first);
        m_nextStart = now + Utils::fromSeconds(1.0 / m_limits.perSecond);
    }
    return granted;
}

auto LoadPacer::nextGrantAt() const -> std::optional<Utils::TimePoint>
{
    if (m_waiting.empty() || m_granted.size() >= static_cast<size_t>(m_limits.maxConcurrent))
        return std::nullopt;
    return m_nextStart;
}

auto LoadPacer::inFlight() const -> size_t
{
    return m_granted.size();
}

auto LoadPacer::waiting() const -> size_t
{
    return m_waiting.size();
}

} // namespace Placement
