#pragma once

#include "crashfeature.h"

#include <utils/timepoint.h>

#include <map>
#include <string>

namespace Routing {

/// Collects for each feature the crashes of backend servers at which it was a suspect. A request
/// that clears the feature does so of all crashes before. Limited in size.
class CrashEvidence
{
public:
    /// Each crash counts once, by its name. `at` is when it happened.
    auto recordCrash(const CrashFeature &feature, const std::string &crash, Utils::TimePoint at,
                     Utils::TimePoint now) -> void;
    /// A request with the feature was answered at that time.
    auto noteSurvived(const CrashFeature &feature, Utils::TimePoint at) -> void;
    auto remove(const CrashFeature &feature) -> void;
    /// Number of crashes that count: of crashes of different servers at the same time, which may
    /// have a common cause, only one counts against a part.
    auto crashes(const CrashFeature &feature, Utils::TimePoint now) const -> int;
    /// Number of crashes of servers, also of those at the same time.
    auto crashedServers(const CrashFeature &feature, Utils::TimePoint now) const -> int;
    /// True if the feature should be refused unless another gateway knows of a request that
    /// survived.
    auto isConvincing(const CrashFeature &feature, Utils::TimePoint now) const -> bool;
    /// The same for a feature that no request is known to have survived at any time: nothing speaks
    /// for a common cause then, so each crash counts.
    auto isConvincingIfNew(const CrashFeature &feature, Utils::TimePoint now) const -> bool;
    /// When the first crash that is counted happened.
    auto firstCrashAt(const CrashFeature &feature) const -> Utils::TimePoint;
    auto size() const -> size_t { return m_records.size(); }

private:
    struct Record
    {
        std::map<std::string, Utils::TimePoint> crashes;
        Utils::TimePoint changedAt;
    };

    auto makeRoom(Utils::TimePoint now) -> void;

    std::map<CrashFeature, Record> m_records;
};

} // namespace Routing
