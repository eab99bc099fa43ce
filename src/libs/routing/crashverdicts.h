#pragma once

#include "crashfeature.h"

#include <utils/timepoint.h>

#include <map>
#include <vector>

namespace Routing {

/// A feature that all gateways refuse.
struct CrashVerdict
{
    CrashFeature feature;
    int crashes = 0;
    Utils::TimePoint since; ///< First crash that was counted.
    Utils::TimePoint decidedAt;
    int trials = 0; ///< Requests that were allowed since, in all gateways together.
};

/// The verdicts that a gateway knows. Limited in size and in time.
class CrashVerdicts
{
public:
    /// Adds a verdict, or merges it with what is known. Returns true if it was unknown.
    auto merge(const CrashVerdict &verdict, Utils::TimePoint now) -> bool;
    auto remove(const CrashFeature &feature) -> void;
    auto find(const CrashFeature &feature, Utils::TimePoint now) const -> const CrashVerdict *;
    /// Keeps a verdict that is still needed from expiring.
    auto noteUsed(const CrashFeature &feature, Utils::TimePoint now) -> void;
    /// True if one more request may show whether the feature still crashes servers.
    static auto isTrialDue(const CrashVerdict &verdict, Utils::TimePoint now) -> bool;
    auto noteTrial(const CrashFeature &feature) -> void;
    /// The verdicts that were used last.
    auto newest(size_t maxCount) const -> std::vector<CrashVerdict>;

private:
    struct Entry
    {
        CrashVerdict verdict;
        Utils::TimePoint usedAt;
    };

    std::map<CrashFeature, Entry> m_entries;
};

} // namespace Routing
