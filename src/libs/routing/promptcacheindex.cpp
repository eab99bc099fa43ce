#include "promptcacheindex.h"

#include "routingconstants.h"

#include <algorithm>

namespace Routing {

using Utils::TimePoint;

auto PromptCacheIndex::Holders::tokensAt(std::uint32_t server) const -> double
{
    const auto *end = m_holders.begin() + m_count;
    const auto *found = std::find_if(
        m_holders.begin(), end, [server](const Holder &holder) { return holder.server == server; });
    return found == end ? 0 : found->tokens;
}

auto PromptCacheIndex::Holders::add(std::uint32_t server, double tokens) -> void
{
    if (m_count < MaxHolders && tokensAt(server) <= 0)
        m_holders[m_count++] = {server, tokens};
}

auto PromptCacheIndex::note(const RequestProfile &request, std::uint32_t server, TimePoint now)
    -> void
{
    for (const auto &prefix : request.prefixes) {
        const auto found = m_byKey.find(prefix.key);
        if (found == m_byKey.end()) {
            if (m_entries.size() >= Constants::MaxPrefixEntries) {
                m_byKey.erase(m_entries.back().key);
                m_entries.pop_back();
            }
            m_entries.push_front({prefix.key, {}});
            m_byKey[prefix.key] = m_entries.begin();
        } else {
            m_entries.splice(m_entries.begin(), m_entries, found->second);
        }
        auto &readings = m_entries.front().readings;
        auto *slot = std::find_if(readings.begin(), readings.end(),
                                  [server](const Reading &item) { return item.server == server; });
        if (slot == readings.end()) {
            slot = std::min_element(
                readings.begin(), readings.end(),
                [](const Reading &left, const Reading &right) { return left.at < right.at; });
        }
        *slot = {server, now};
    }
}

auto PromptCacheIndex::find(const RequestProfile &request, TimePoint now) const -> Holders
{
    Holders holders;
    // The longest prefix that a server has read counts.
    for (auto prefix = request.prefixes.rbegin(); prefix != request.prefixes.rend(); ++prefix) {
        const auto found = m_byKey.find(prefix->key);
        if (found == m_byKey.end())
            continue;
        for (const Reading &reading : found->second->readings) {
            if (reading.server != 0 && now - reading.at < Constants::PrefixLifetime)
                holders.add(reading.server, prefix->tokens);
        }
    }
    return holders;
}

} // namespace Routing
