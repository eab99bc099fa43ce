#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Utils {

/// A well-mixed 64-bit hash, the same on every machine.
auto stableHash(std::string_view text) -> std::uint64_t;

/// Sorts names by their highest-random-weight hash with `key`. All nodes compute the same order,
/// and removing a name does not change the order of the others.
auto rankByRendezvous(const std::string &key, std::vector<std::string> names)
    -> std::vector<std::string>;

} // namespace Utils
