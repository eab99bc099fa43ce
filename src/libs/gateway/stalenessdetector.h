#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <optional>

namespace Gateway {

/// Notices that others know a newer row of a table than this process, whose question to the store
/// may have been swallowed: no part of an answer arrives. Needs no network.
class StalenessDetector
{
public:
    /// Others may be ahead for `leastPatience`, as answers don't come everywhere at once.
    explicit StalenessDetector(Utils::Duration minTimeout);

    /// How long answers take here; one that takes a little longer is not lost yet.
    auto noteAnswerTime(Utils::Duration answerTime) -> void;

    /// Part of an answer arrived then; a repeat would share the link with the rest.
    auto noteProgress(Utils::TimePoint at) -> void { m_progressAt = at; }

    /// Version of the newest row that another gateway told of.
    auto newestPeerVersion() const -> std::uint64_t { return m_peerVersion; }
    /// The newest row that another gateway knows.
    auto notePeerVersion(std::uint64_t version, Utils::TimePoint now) -> void;
    /// True if the store should be asked anew. Repeats become rarer until something newer is known:
    /// each one is a load that may itself delay the answers.
    auto isRepeatDue(std::uint64_t ownVersion, Utils::TimePoint now) -> bool;

private:
    Utils::Duration m_minTimeout;
    Utils::Duration m_timeout;
    std::uint64_t m_peerVersion = 0;
    std::uint64_t m_ownVersion = 0;
    int m_repeats = 0; ///< Without anything newer since.
    std::optional<Utils::TimePoint> m_behindSince;
    Utils::TimePoint m_progressAt;
};

} // namespace Gateway
