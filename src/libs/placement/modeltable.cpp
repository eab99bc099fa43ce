#include "modeltable.h"

#include "keepwarmpolicy.h"
#include "placementconstants.h"

#include <utils/softassert.h>

#include <algorithm>
#include <set>

namespace Placement {

using Utils::TimePoint;

ModelTable::ModelTable(std::uint64_t capacityBytes)
    : m_memory(capacityBytes)
{ }

auto ModelTable::stateOf(const std::string &model) const -> ModelState
{
    const auto found = m_entries.find(model);
    return found == m_entries.end() ? ModelState::Absent : found->second.state;
}

auto ModelTable::beginLoad(const std::string &model, std::uint64_t bytes) -> bool
{
    if (stateOf(model) != ModelState::Absent || !m_memory.reserve(model, bytes))
        return false;
    Entry &entry = m_entries[model];
    entry.state = ModelState::Loading;
    entry.bytes = bytes;
    return true;
}

auto ModelTable::finishLoad(const std::string &model, TimePoint now) -> void
{
    ACACIA_ASSERT(stateOf(model) == ModelState::Loading, return );
    m_entries[model].state = ModelState::Ready;
    m_entries[model].lastUse = now;
}

auto ModelTable::cancelLoad(const std::string &model) -> void
{
    ACACIA_ASSERT(stateOf(model) == ModelState::Loading, return );
    m_entries[model].state = ModelState::Absent;
    m_memory.release(model);
}

auto ModelTable::beginUnload(const std::string &model) -> bool
{
    if (stateOf(model) != ModelState::Ready || isInUse(model))
        return false;
    m_entries[model].state = ModelState::Unloading;
    return true;
}

auto ModelTable::finishUnload(const std::string &model) -> void
{
    ACACIA_ASSERT(stateOf(model) == ModelState::Unloading, return );
    for (auto &[name, entry] : m_entries) {
        if (name != model && entry.base != model)
            continue;
        entry.state = ModelState::Absent;
        m_memory.release(name);
    }
}

auto ModelTable::markUncertain(const std::string &model, TimePoint settledAt) -> void
{
    const auto found = m_entries.find(model);
    if (found == m_entries.end() || found->second.state == ModelState::Absent)
        return;
    found->second.state = ModelState::Uncertain;
    found->second.settledAt = settledAt;
}

auto ModelTable::setBase(const std::string &model, const std::string &base) -> void
{
    m_entries[model].base = base;
}

auto ModelTable::reconcile(const std::vector<ReportedModel> &reported, TimePoint now) -> void
{
    std::set<std::string> present;
    for (const auto &report : reported) {
        present.insert(report.name);
        Entry &entry = m_entries[report.name];
        if (entry.state != ModelState::Absent && entry.state != ModelState::Uncertain)
            continue;
        entry.state = report.isLoading ? ModelState::Uncertain : ModelState::Ready;
        entry.bytes = report.bytes;
        entry.lastUse = now;
        m_memory.adopt(report.name, report.bytes);
    }
    for (auto &[name, entry] : m_entries) {
        if (entry.state != ModelState::Uncertain || present.count(name) > 0
            || now < entry.settledAt)
            continue;
        entry.state = ModelState::Absent;
        m_memory.release(name);
    }
}

auto ModelTable::beginUse(const std::string &model, TimePoint now) -> void
{
    Entry &entry = m_entries[model];
    if (entry.users++ > 0 || entry.lastUse == TimePoint())
        return;
    entry.gaps.push_back(now - entry.lastUse);
    if (entry.gaps.size() > Constants::MaxRecordedGaps)
        entry.gaps.pop_front();
}

auto ModelTable::endUse(const std::string &model, TimePoint now) -> void
{
    Entry &entry = m_entries[model];
    ACACIA_ASSERT(entry.users > 0, return );
    --entry.users;
    entry.lastUse = now;
}

auto ModelTable::isInUse(const std::string &model) const -> bool
{
    const auto found = m_entries.find(model);
    return found != m_entries.end() && found->second.users > 0;
}

/// Higher for models that are likely to be requested soon and expensive to reload.
auto ModelTable::retentionValue(const Entry &entry, TimePoint now) const -> double
{
    const double idle = Utils::toSeconds(now - entry.lastUse);
    double typicalGap = Utils::toSeconds(Constants::MaxKeepWarm);
    if (!entry.gaps.empty()) {
        std::vector<Utils::Duration> sorted(entry.gaps.begin(), entry.gaps.end());
        std::nth_element(sorted.begin(),
                         sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2),
                         sorted.end());
        typicalGap = Utils::toSeconds(sorted[sorted.size() / 2]);
    }
    return static_cast<double>(entry.bytes) / (1.0 + std::max(typicalGap, idle));
}

auto ModelTable::evictionCandidates(std::uint64_t bytes, TimePoint now) const
    -> std::vector<std::string>
{
    std::vector<std::pair<double, std::string>> idle;
    for (const auto &[name, entry] : m_entries) {
        if (entry.state == ModelState::Ready && entry.users == 0)
            idle.emplace_back(retentionValue(entry, now), name);
    }
    std::sort(idle.begin(), idle.end());
    std::vector<std::string> victims;
    const std::uint64_t used = m_memory.usedBytes();
    std::uint64_t freed = 0;
    for (const auto &[value, name] : idle) {
        if (used - freed + bytes <= m_memory.capacityBytes())
            break;
        freed += m_entries.at(name).bytes;
        victims.push_back(name);
    }
    return used - freed + bytes <= m_memory.capacityBytes() ? victims : std::vector<std::string>();
}

auto ModelTable::idleTooLong(const KeepWarmPolicy &policy, TimePoint now) const
    -> std::vector<std::string>
{
    std::vector<std::string> idle;
    for (const auto &[name, entry] : m_entries) {
        const bool isIdle = entry.state == ModelState::Ready && entry.users == 0;
        if (isIdle && now - entry.lastUse > policy.idleLimit(entry.gaps))
            idle.push_back(name);
    }
    return idle;
}

auto ModelTable::names() const -> std::vector<std::string>
{
    std::vector<std::string> all;
    for (const auto &[name, entry] : m_entries) {
        if (entry.state != ModelState::Absent)
            all.push_back(name);
    }
    return all;
}

auto ModelTable::memory() const -> const MemoryLedger &
{
    return m_memory;
}

} // namespace Placement
