#pragma once

#include "crashfeature.h"

#include <utils/timepoint.h>

#include <map>
#include <string>

namespace Routing {

/// Collects for each feature the crashes of backend servers at which a request with it waited for
/// the beginning of its answer, or had just received it. A request with the feature that outlives
/// the beginning of its answer clears the feature of all crashes before. Limited in size.
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
    /// True if the feature should be refused unless another gateway knows of a request that
    /// survived.
    auto isConvincing(const CrashFeature &feature, Utils::TimePoint now) const -> bool;
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
