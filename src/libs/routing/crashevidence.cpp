#include "crashevidence.h"

#include "routingconstants.h"

#include <algorithm>

namespace Routing {

namespace {

constexpr size_t MaxFeatures = 2048;
constexpr size_t MaxCrashesOfFeature = 16;

} // namespace

auto CrashEvidence::recordCrash(const CrashFeature &feature, const std::string &crash,
                                Utils::TimePoint at, Utils::TimePoint now) -> void
{
    if (m_records.count(feature) == 0)
        makeRoom(now);
    Record &record = m_records[feature];
    record.changedAt = now;
    const bool isCounted =
        std::any_of(record.crashes.begin(), record.crashes.end(), [&](const auto &known) {
            const auto distance = std::max(at, known.second) - std::min(at, known.second);
            return known.first == crash
                || (feature.kind == CrashFeature::Kind::Part
                    && distance < Constants::CommonCauseWindow);
        });
    if (!isCounted && record.crashes.size() < MaxCrashesOfFeature)
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
    return static_cast<int>(found->second.crashes.size());
}

auto CrashEvidence::isConvincing(const CrashFeature &feature, Utils::TimePoint now) const -> bool
{
    return crashes(feature, now) >= (feature.kind == CrashFeature::Kind::Request
                                         ? Constants::MaxCrashes
                                         : Constants::MaxCrashesOfPart);
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
