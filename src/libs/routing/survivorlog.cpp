#include "survivorlog.h"

#include <algorithm>

namespace Routing {

namespace {

/// Features in each of the two halves of the log.
constexpr size_t MaxFeatures = 16384;

} // namespace

auto SurvivorLog::note(const CrashFeature &feature, Utils::TimePoint at) -> void
{
    const auto known = lastAt(feature);
    if (m_newer.size() >= MaxFeatures && m_newer.count(feature) == 0) {
        m_older = std::move(m_newer);
        m_newer.clear();
    }
    m_newer[feature] = std::max(at, known.value_or(at));
}

auto SurvivorLog::lastAt(const CrashFeature &feature) const -> std::optional<Utils::TimePoint>
{
    for (const auto *half : {&m_newer, &m_older}) {
        const auto found = half->find(feature);
        if (found != half->end())
            return found->second;
    }
    return {};
}

} // namespace Routing
