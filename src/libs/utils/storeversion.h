#pragma once

#include <cstdint>
#include <tuple>

namespace Utils {

/// Number of times that a store has come back from a copy. The copy lacks the newest writes, and
/// their version numbers are given out again.
enum class StoreEra : std::uint64_t {};

/// Names a state of a store, or of one of its rows. A number alone names nothing, as it may belong
/// to two eras.
struct StoreVersion
{
    StoreEra era{};
    std::uint64_t number = 0; ///< 0 while there is no such row.

    auto operator==(const StoreVersion &) const -> bool = default;
    auto operator<(const StoreVersion &other) const -> bool
    {
        return std::tie(era, number) < std::tie(other.era, other.number);
    }
    auto operator>(const StoreVersion &other) const -> bool { return other < *this; }
    auto operator<=(const StoreVersion &other) const -> bool { return !(other < *this); }
    auto operator>=(const StoreVersion &other) const -> bool { return !(*this < other); }
};

} // namespace Utils
