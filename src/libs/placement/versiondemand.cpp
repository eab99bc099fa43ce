#include "versiondemand.h"

#include <utils/jsonfield.h>
#include <utils/name.h>

#include <algorithm>

namespace Placement {

using nlohmann::json;

namespace {

/// A gateway's report is counted for this long; it is repeated several times a second.
constexpr std::chrono::milliseconds ReportLifetime(1500);
/// Entries of one message, which has to fit into a datagram.
constexpr size_t MaxEntries = 128;
constexpr int MaxWaiting = 1000000;
constexpr size_t TextCount = 4;

auto decodeEntry(const json &entry) -> std::optional<std::pair<VersionDemand::Key, int>>
{
    if (!entry.is_array() || entry.size() != TextCount + 1)
        return {};
    for (size_t i = 0; i < TextCount; ++i) {
        if (!entry[i].is_string() || !Utils::isValidName(entry[i].get_ref<const std::string &>()))
            return {};
    }
    const auto waiting = Utils::wholeNumber<int>(entry[TextCount], 1, MaxWaiting);
    if (!waiting)
        return {};
    return std::pair(VersionDemand::Key{entry[0], entry[1], entry[2], entry[3]}, *waiting);
}

} // namespace

auto VersionDemand::noteWaiting(const Key &key, int change) -> void
{
    int &waiting = m_own[key];
    waiting += change;
    if (waiting <= 0)
        m_own.erase(key);
}

auto VersionDemand::toJson() const -> json
{
    json list = json::array();
    for (const auto &[key, waiting] : m_own) {
        if (list.size() < MaxEntries)
            list.push_back({key.service, key.model, key.adapter, key.softwareVersion, waiting});
    }
    return list;
}

auto VersionDemand::update(const std::string &gateway, const json &demand, Utils::TimePoint now)
    -> void
{
    std::map<Key, int> waiting;
    for (const json &entry : demand) {
        if (waiting.size() >= MaxEntries)
            break;
        if (const auto decoded = decodeEntry(entry))
            waiting.insert(*decoded);
    }
    if (waiting.empty())
        m_reports.erase(gateway);
    else
        m_reports[gateway] = {std::move(waiting), now};
}

auto VersionDemand::total(Utils::TimePoint now) -> std::map<Key, int>
{
    std::erase_if(m_reports,
                  [now](const auto &item) { return now - item.second.at >= ReportLifetime; });
    std::map<Key, int> sums = m_own;
    for (const auto &[gateway, report] : m_reports) {
        for (const auto &[key, waiting] : report.waiting) {
            int &sum = sums[key];
            sum = std::min(sum + waiting, MaxWaiting);
        }
    }
    return sums;
}

} // namespace Placement
