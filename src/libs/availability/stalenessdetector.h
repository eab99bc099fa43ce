#pragma once

#include <utils/storeversion.h>
#include <utils/timepoint.h>

#include <optional>

namespace Availability {

/// Detects that other gateways know a newer row of a table than this process. Its poll of the store
/// may then have been lost, with no part of an answer arriving. Needs no network.
class StalenessDetector
{
public:
    /// Other gateways may be ahead for `minTimeout`, as answers don't arrive everywhere at once.
    explicit StalenessDetector(Utils::Duration minTimeout);

    /// Adapts the timeout to the usual answer time, so that a slightly slower answer does not count
    /// as lost.
    auto noteAnswerTime(Utils::Duration answerTime) -> void;

    /// Part of an answer arrived at that time; a repeated poll would slow down the rest.
    auto noteProgress(Utils::TimePoint at) -> void { m_progressAt = at; }

    /// Version of the newest row known to any other gateway.
    auto newestPeerVersion() const -> const Utils::StoreVersion & { return m_peerVersion; }
    /// Another gateway reported the version of its newest row.
    auto notePeerVersion(const Utils::StoreVersion &version, Utils::TimePoint now) -> void;
    /// True if the poll of the store should be repeated. Repeats back off until a newer row is
    /// known, because each repeat adds load that may itself delay the answers.
    auto isRepeatDue(const Utils::StoreVersion &ownVersion, Utils::TimePoint now) -> bool;

private:
    Utils::Duration m_minTimeout;
    Utils::Duration m_timeout;
    Utils::StoreVersion m_peerVersion;
    Utils::StoreVersion m_ownVersion;
    int m_repeats = 0; ///< Since the last newer row.
    std::optional<Utils::TimePoint> m_behindSince;
    Utils::TimePoint m_progressAt;
};

} // namespace Availability
