#pragma once

#include <chrono>

namespace Contracts::Constants {

/// Time over which an entry's recent use of a contract is averaged.
constexpr std::chrono::seconds RecentUseWindow(5);
/// Longest wait that a refusal names, in case the rate that is left is almost nothing.
constexpr std::chrono::seconds MaxRetryAfter(60);
/// Amounts below this many tokens are rounding residue.
constexpr double TokenResidue = 1e-6;
/// Entries that hold base slices of one customer; others ask these.
constexpr int BaseEntriesPerCustomer = 8;

} // namespace Contracts::Constants
