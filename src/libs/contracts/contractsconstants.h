#pragma once

#include <chrono>

namespace Contracts::Constants {

/// Time constant of the moving average of an entry's recent use of a contract.
constexpr std::chrono::seconds RecentUseWindow(5);
/// Upper limit on the Retry-After of a refusal, for contracts whose rate is almost zero.
constexpr std::chrono::seconds MaxRetryAfter(60);
/// Smaller amounts of tokens are treated as rounding errors and not transferred.
constexpr double TokenResidue = 1e-6;
/// Number of entries that hold base slices of one customer; other entries request tokens from
/// these.
constexpr int BaseEntriesPerCustomer = 8;

} // namespace Contracts::Constants
