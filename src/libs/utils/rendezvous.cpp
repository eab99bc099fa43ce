#include "rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace Utils {

auto stableHash(std::string_view text) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), 0);
}

auto rankByRendezvous(const std::string &key, std::vector<std::string> names)
    -> std::vector<std::string>
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(names.size());
    for (auto &name : names) {
        const std::uint64_t weight = stableHash(key + "\n" + name);
        weighted.emplace_back(weight, std::move(name));
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<std::string> ranked;
    ranked.reserve(weighted.size());
    for (auto &[weight, name] : weighted)
        ranked.push_back(std::move(name));
    return ranked;
}

} // namespace Utils
