#pragma once

#include "requestprofile.h"

#include <utils/timepoint.h>

#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace Routing {

/// Remembers which servers have read which leading parts of prompts. Limited in size; the least
/// recently used entry is evicted. Servers are known by a handle that changes with each
/// incarnation, so that nothing is assumed to be left after a restart.
class PromptCacheIndex
{
public:
    /// Servers that hold leading parts of one prompt, and how many tokens.
    class Holders
    {
    public:
        auto tokensAt(std::uint32_t server) const -> double;
        auto add(std::uint32_t server, double tokens) -> void;

    private:
        struct Holder
        {
            std::uint32_t server = 0;
            double tokens = 0;
        };
        static constexpr size_t MaxHolders = 16;
        std::array<Holder, MaxHolders> m_holders = {};
        size_t m_count = 0;
    };

    auto note(const RequestProfile &request, std::uint32_t server, Utils::TimePoint now) -> void;
    auto find(const RequestProfile &request, Utils::TimePoint now) const -> Holders;
    auto size() const -> size_t { return m_entries.size(); }

private:
    struct Reading
    {
        std::uint32_t server = 0;
        Utils::TimePoint at;
    };
    struct Entry
    {
        std::uint64_t key = 0;
        std::array<Reading, 4> readings = {}; ///< The oldest one is replaced.
    };

    std::list<Entry> m_entries; ///< The most recently used one first.
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_byKey;
};

} // namespace Routing
