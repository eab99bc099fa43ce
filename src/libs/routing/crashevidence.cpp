#include "crashevidence.h"

#include "routingconstants.h"

#include <algorithm>
#include <vector>

namespace Routing {

namespace {

constexpr size_t MaxFeatures = 2048;
constexpr size_t MaxCrashesOfFeature = 16;

auto thresholdOf(CrashFeature::Kind kind) -> int
{
    switch (kind) {
    case CrashFeature::Kind::Request:
        return Constants::MaxCrashes;
    case CrashFeature::Kind::Run:
        return Constants::MaxCrashesOfRun;
    case CrashFeature::Kind::Part:
        break;
    }
    return Constants::MaxCrashesOfPart;
}

} // namespace

auto CrashEvidence::recordCrash(const CrashFeature &feature, const std::string &crash,
                                Utils::TimePoint at, Utils::TimePoint now) -> void
{
    if (m_records.count(feature) == 0)
        makeRoom(now);
    Record &record = m_records[feature];
    record.changedAt = now;
    if (record.crashes.size() < MaxCrashesOfFeature)
        record.crashes.emplace(crash, at);
}

auto CrashEvidence::makeRoom(Utils::TimePoint now) -> void
{
    std::erase_if(m_records, [now](const auto &item) {
        return now - item.second.changedAt > Constants::CrashRecordLifetime;
    });
    if (m_records.size() < MaxFeatures)
        return;
    m_records.erase(std::min_element(m_records.begin(), m_records.end(),
                                     [](const auto &left, const auto &right) {
                                         return left.second.changedAt < right.second.changedAt;
                                     }));
}

auto CrashEvidence::noteSurvived(const CrashFeature &feature, Utils::TimePoint at) -> void
{
    const auto found = m_records.find(feature);
    if (found == m_records.end())
        return;
    std::erase_if(found->second.crashes, [at](const auto &crash) { return crash.second <= at; });
    if (found->second.crashes.empty())
        m_records.erase(found);
}

auto CrashEvidence::remove(const CrashFeature &feature) -> void
{
    m_records.erase(feature);
}

auto CrashEvidence::crashes(const CrashFeature &feature, Utils::TimePoint now) const -> int
{
    const auto found = m_records.find(feature);
    if (found == m_records.end() || now - found->second.changedAt > Constants::CrashRecordLifetime)
        return 0;
    if (feature.kind != CrashFeature::Kind::Part)
        return static_cast<int>(found->second.crashes.size());
    std::vector<Utils::TimePoint> times;
    for (const auto &[crash, at] : found->second.crashes)
        times.push_back(at);
    std::sort(times.begin(), times.end());
    int count = 0;
    Utils::TimePoint last;
    for (const Utils::TimePoint at : times) {
        if (count > 0 && at - last < Constants::CommonCauseWindow)
            continue;
        ++count;
        last = at;
    }
    return count;
}

auto CrashEvidence::crashedServers(const CrashFeature &feature, Utils::TimePoint now) const -> int
{
    const auto found = m_records.find(feature);
    if (found == m_records.end() || now - found->second.changedAt > Constants::CrashRecordLifetime)
        return 0;
    return static_cast<int>(found->second.crashes.size());
}

auto CrashEvidence::isConvincing(const CrashFeature &feature, Utils::TimePoint now) const -> bool
{
    return crashes(feature, now) >= thresholdOf(feature.kind);
}

auto CrashEvidence::isConvincingIfNew(const CrashFeature &feature, Utils::TimePoint now) const
    -> bool
{
    return crashedServers(feature, now) >= thresholdOf(feature.kind);
}

auto CrashEvidence::firstCrashAt(const CrashFeature &feature) const -> Utils::TimePoint
{
    const auto found = m_records.find(feature);
    if (found == m_records.end() || found->second.crashes.empty())
        return {};
    return std::min_element(
               found->second.crashes.begin(), found->second.crashes.end(),
               [](const auto &left, const auto &right) { return left.second < right.second; })
        ->second;
}

} // namespace Routing
