#pragma once

#include "crashfeature.h"

#include <utils/timepoint.h>

#include <map>
#include <optional>

namespace Routing {

/// Remembers when requests with a feature last outlived the beginning of their answers. Limited in
/// size; the features that were not seen for longest are forgotten.
class SurvivorLog
{
public:
    auto note(const CrashFeature &feature, Utils::TimePoint at) -> void;
    auto lastAt(const CrashFeature &feature) const -> std::optional<Utils::TimePoint>;

private:
    std::map<CrashFeature, Utils::TimePoint> m_newer;
    std::map<CrashFeature, Utils::TimePoint> m_older;
};

} // namespace Routing
