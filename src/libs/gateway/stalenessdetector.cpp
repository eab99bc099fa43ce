#include "stalenessdetector.h"

#include <algorithm>

namespace Gateway {

using Utils::Duration;
using Utils::TimePoint;

namespace {

/// Times the usual answer time after which an answer counts as lost.
constexpr int PatienceInAnswerTimes = 2;
/// Longest wait before a repeat, also while an answer drips in; the client gives a question up by
/// itself soon after.
constexpr std::chrono::milliseconds LongestPatience(2400);

} // namespace

StalenessDetector::StalenessDetector(Duration leastPatience)
    : m_leastPatience(leastPatience)
    , m_patience(leastPatience)
{ }

auto StalenessDetector::noteAnswerTime(Duration answerTime) -> void
{
    m_patience =
        std::clamp<Duration>(answerTime * PatienceInAnswerTimes, m_leastPatience, LongestPatience);
}

auto StalenessDetector::notePeer(std::uint64_t version, TimePoint now) -> void
{
    if (version <= m_peerVersion)
        return;
    m_peerVersion = version;
    if (!m_behindSince)
        m_behindSince = now;
}

auto StalenessDetector::isDue(std::uint64_t ownVersion, TimePoint now) -> bool
{
    if (ownVersion >= m_peerVersion) {
        m_ownVersion = ownVersion;
        m_behindSince.reset();
        m_repeats = 0;
        return false;
    }
    // Answers come, if late.
    if (ownVersion > m_ownVersion || !m_behindSince) {
        m_ownVersion = ownVersion;
        m_repeats = 0;
        m_behindSince = now;
    }
    // The first repeat may be lost like the question; from then on answers are slow.
    const int doublings = std::max(m_repeats - 1, 0);
    Duration wait = m_patience;
    for (int i = 0; i < doublings && wait < LongestPatience; ++i)
        wait *= 2;
    const TimePoint silentSince = std::max(*m_behindSince, m_progressAt);
    if (now - silentSince < std::min<Duration>(wait, LongestPatience)
        && now - *m_behindSince < LongestPatience)
        return false;
    m_behindSince = now;
    ++m_repeats;
    return true;
}

} // namespace Gateway
