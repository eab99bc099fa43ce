#pragma once

#include <utils/timepoint.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gateway {

/// Versions at which streams began, by a key made of the service and the attempt that began each.
/// Keeps a bounded number of the newest ones. A key that was noted with several versions belongs to
/// several streams and has the empty version, which equals none.
class OriginLog
{
public:
    using Key = std::uint64_t;

    OriginLog(size_t maxEntries, Utils::Duration retention);

    static auto makeKey(const std::string &service, const std::string &attempt) -> Key;

    /// Returns true if the version is new for the key, or was noted longer than half the retention
    /// ago.
    auto note(Key key, const std::string &version, Utils::TimePoint now) -> bool;
    auto find(Key key) const -> std::optional<std::string>;
    auto removeExpired(Utils::TimePoint now) -> void;
    auto forEach(const std::function<void(Key, const std::string &)> &visit) const -> void;
    auto size() const -> size_t;

private:
    struct Entry
    {
        std::uint32_t version = 0; ///< Index of the version's name.
        Utils::TimePoint notedAt;
    };

    auto indexOf(const std::string &version) -> std::uint32_t;
    auto removeFirst() -> void;

    size_t m_maxEntries;
    Utils::Duration m_retention;
    std::vector<std::string> m_versions{{}};
    std::unordered_map<Key, Entry> m_entries;
    std::deque<std::pair<Utils::TimePoint, Key>> m_order; ///< Also former times of entries.
};

} // namespace Gateway
