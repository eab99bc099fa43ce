#pragma once

#include <utils/timepoint.h>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Soak {

/// Records which routes and keys versions of the configuration add and remove, and when. Routes and
/// keys that it doesn't list are part of every version.
class ConfigurationHistory
{
public:
    static auto isRoute(const std::string &name) -> bool { return name.starts_with('/'); }

    auto add(const std::string &name, Utils::TimePoint now) -> void { note(name, true, now); }
    auto remove(const std::string &name, Utils::TimePoint now) -> void { note(name, false, now); }
    auto isListed(const std::string &name) const -> bool { return m_entries.count(name) > 0; }
    /// Returns since when the route or key has been present without interruption; nothing if it is
    /// removed or not listed.
    auto presentSince(const std::string &name) const -> std::optional<Utils::TimePoint>;
    /// The same for a route or key that has never been removed: whoever knows it knows that
    /// version.
    auto neverRemovedSince(const std::string &name) const -> std::optional<Utils::TimePoint>;
    auto removedSince(const std::string &name) const -> std::optional<Utils::TimePoint>;
    /// Picks a listed route or key, half of the time one that changed recently; empty if there is
    /// none.
    auto pick(std::mt19937_64 &random) const -> std::string;

private:
    struct Entry
    {
        bool isPresent = false;
        bool wasRemoved = false;
        Utils::TimePoint since;
    };

    auto note(const std::string &name, bool isPresent, Utils::TimePoint now) -> void;
    auto since(const std::string &name, bool isPresent) const -> std::optional<Utils::TimePoint>;

    std::map<std::string, Entry> m_entries;
    std::vector<std::string> m_names;
    std::deque<std::string> m_recentChanges;
};

} // namespace Soak
