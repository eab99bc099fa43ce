#pragma once

#include <utils/timepoint.h>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Soak {

/// Routes and keys that versions of the configuration add and drop, and since when each is there or
/// gone. What it doesn't list is in all versions.
class ConfigurationHistory
{
public:
    static auto isRoute(const std::string &name) -> bool { return name.starts_with('/'); }

    auto add(const std::string &name, Utils::TimePoint now) -> void { note(name, true, now); }
    auto remove(const std::string &name, Utils::TimePoint now) -> void { note(name, false, now); }
    auto isListed(const std::string &name) const -> bool { return m_entries.count(name) > 0; }
    /// In force without a break since then; nothing if it is gone or not listed.
    auto presentSince(const std::string &name) const -> std::optional<Utils::TimePoint>;
    auto removedSince(const std::string &name) const -> std::optional<Utils::TimePoint>;
    /// One of the last changes or any earlier one; empty if there was none.
    auto pick(std::mt19937_64 &random) const -> std::string;

private:
    struct Entry
    {
        bool isPresent = false;
        Utils::TimePoint since;
    };

    auto note(const std::string &name, bool isPresent, Utils::TimePoint now) -> void;
    auto since(const std::string &name, bool isPresent) const -> std::optional<Utils::TimePoint>;

    std::map<std::string, Entry> m_entries;
    std::vector<std::string> m_names;
    std::deque<std::string> m_recentChanges;
};

} // namespace Soak
