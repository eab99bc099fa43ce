#include "unansweredorders.h"

namespace Placement {

using Utils::TimePoint;

namespace {

/// Maximum time after which an unanswered order may still be carried out.
constexpr std::chrono::seconds MaxExecutionDelay(12);

} // namespace

UnansweredOrders::UnansweredOrders(TimePoint startedAt)
    : m_startedAt(startedAt)
{ }

auto UnansweredOrders::noteSent(const std::string &engine, std::int64_t engineStartedAtMs,
                                const Load &load, TimePoint now) -> void
{
    auto &sent = m_sent[engine];
    std::erase_if(sent, [now](const SentLoad &one) { return one.until <= now; });
    sent.push_back({engineStartedAtMs, load, now + MaxExecutionDelay});
}

auto UnansweredOrders::noteAnswered(const std::string &engine, const Load &load) -> void
{
    const auto found = m_sent.find(engine);
    if (found == m_sent.end())
        return;
    // An engine gets one order at a time, so the answer belongs to the newest.
    auto &sent = found->second;
    if (!sent.empty() && sent.back().load.expectedOrders == load.expectedOrders)
        sent.pop_back();
    if (sent.empty())
        m_sent.erase(found);
}

auto UnansweredOrders::reserveFor(const std::string &engine, std::int64_t engineStartedAtMs,
                                  std::optional<TimePoint> restartedAt, TimePoint now) const
    -> Reserve
{
    Reserve reserve;
    const auto found = m_sent.find(engine);
    if (found != m_sent.end()) {
        for (const SentLoad &sent : found->second) {
            if (sent.until <= now)
                continue;
            reserve.lateMb += sent.load.memoryMb;
            reserve.lateAdapters += sent.load.isAdapter ? 1 : 0;
            // In the incarnation it was sent to, the count of orders prevents its execution after
            // others.
            if (sent.engineStartedAtMs >= engineStartedAtMs)
                continue;
            reserve.weightsMb += sent.load.memoryMb;
            reserve.adapters += sent.load.isAdapter ? 1 : 0;
        }
    }
    reserve.blocksAllLoads = restartedAt && *restartedAt > m_startedAt - MaxExecutionDelay
        && now < m_startedAt + MaxExecutionDelay;
    return reserve;
}

} // namespace Placement
