#include "stalenessdetector.h"

#include <algorithm>

namespace Availability {

using Utils::Duration;
using Utils::StoreVersion;
using Utils::TimePoint;

namespace {

/// Multiple of the usual answer time after which an answer counts as lost.
constexpr int AnswerTimeFactor = 2;
/// Maximum time before a repeat, also while an answer arrives slowly; the client itself times out
/// soon after.
constexpr std::chrono::milliseconds MaxTimeout(2400);

} // namespace

StalenessDetector::StalenessDetector(Duration minTimeout)
    : m_minTimeout(minTimeout)
    , m_timeout(minTimeout)
{ }

auto StalenessDetector::noteAnswerTime(Duration answerTime) -> void
{
    m_timeout = std::clamp<Duration>(answerTime * AnswerTimeFactor, m_minTimeout, MaxTimeout);
}

auto StalenessDetector::notePeerVersion(const StoreVersion &version, TimePoint now) -> void
{
    if (version <= m_peerVersion)
        return;
    m_peerVersion = version;
    if (!m_behindSince)
        m_behindSince = now;
}

auto StalenessDetector::isRepeatDue(const StoreVersion &ownVersion, TimePoint now) -> bool
{
    if (ownVersion >= m_peerVersion) {
        m_ownVersion = ownVersion;
        m_behindSince.reset();
        m_repeats = 0;
        return false;
    }
    // Answers arrive, though late.
    if (ownVersion > m_ownVersion || !m_behindSince) {
        m_ownVersion = ownVersion;
        m_repeats = 0;
        m_behindSince = now;
    }
    // The first repeat may be lost like the original poll; after that, assume slow answers and back
    // off.
    const int doublings = std::max(m_repeats - 1, 0);
    Duration wait = m_timeout;
    for (int i = 0; i < doublings && wait < MaxTimeout; ++i)
        wait *= 2;
    const TimePoint silentSince = std::max(*m_behindSince, m_progressAt);
    if (now - silentSince < std::min<Duration>(wait, MaxTimeout)
        && now - *m_behindSince < MaxTimeout)
        return false;
    m_behindSince = now;
    ++m_repeats;
    return true;
}

} // namespace Availability
